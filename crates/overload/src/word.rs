//! The load report that dispatchers send each other, one datagram each, and its encoding.

use crate::order::LEVELS;
use crate::OverloadError;

/// First byte of an encoded load report.
const VERSION: u8 = 1;
/// Number of values in a load report besides the demand by priority level.
const SINGLE_VALUES: usize = 11;
/// Length of an encoded load report in bytes: version, sequence number and 16 bits for each value.
pub const LOAD_REPORT_BYTES: usize = 1 + 8 + 2 * (LEVELS + SINGLE_VALUES);

/// The load of one dispatcher. Work is in seconds of a server of weight 1, rates are per second.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Increases with each report of the same process.
    pub sequence: u64,
    /// Work, per second, of all requests that are not retries, whether admitted or not, by priority level.
    pub demand: Vec<f64>,
    /// Work of admitted requests per second.
    pub admitted: f64,
    /// Work of requests whose first token was received, per second.
    pub completed: f64,
    /// Work of admitted requests that wait for their first token.
    pub backlog: f64,
    /// Mean work of the requests in `backlog`; 0 without any.
    pub mean_request_work: f64,
    /// Work queued at all servers according to the servers' own load reports.
    pub queued_at_servers: f64,
    /// Total weight of the ready servers that can prefill.
    pub server_weight: f64,
    /// Mean time to first token as a fraction of the latency objective, weighted by the requests' work.
    pub ttft_ratio: f64,
    /// Admitted work of the last 5 s that retries nothing.
    pub new_work: f64,
    /// Work of the last 5 s that was charged to the retry budget.
    pub retry_work: f64,
    /// Rank below which this dispatcher rejects requests.
    pub threshold: f64,
    /// This dispatcher's estimate of the work that the servers can do per second.
    pub capacity: f64,
}

/// Encodes a value by its logarithm, with a relative precision of 1 in 4,000 up to a million, so that every code stands for a finite
/// number that is not negative. NaN, infinity and what is not above 0 become 0.
fn encode(value: f64) -> u16 {
    if !(value.is_finite() && value > 0.0) {
        return 0;
    }
    (1.0 + ((value.log2() + 20.0) * 1600.0).clamp(0.0, 65_000.0)).round() as u16
}

/// Reverses [`encode`].
fn decode(code: u16) -> f64 {
    match code {
        0 => 0.0,
        code => ((f64::from(code) - 1.0) / 1600.0 - 20.0).exp2(),
    }
}

impl LoadReport {
    /// The values after the demand, in the order of the encoding.
    fn single_values(&self) -> [f64; SINGLE_VALUES] {
        [
            self.admitted,
            self.completed,
            self.backlog,
            self.mean_request_work,
            self.queued_at_servers,
            self.server_weight,
            self.ttft_ratio,
            self.new_work,
            self.retry_work,
            self.threshold,
            self.capacity,
        ]
    }

    /// Encodes the report: version, sequence number, demand by level, then the single values.
    pub fn write(&self) -> Vec<u8> {
        let mut bytes = vec![VERSION];
        bytes.extend(self.sequence.to_le_bytes());
        let level = |i: usize| self.demand.get(i).copied().unwrap_or(0.0);
        let values = (0..LEVELS).map(level).chain(self.single_values());
        values.for_each(|v| bytes.extend(encode(v).to_le_bytes()));
        bytes
    }

    /// Decodes a report.
    ///
    /// # Errors
    /// If the bytes have another version or length.
    pub fn read(bytes: &[u8]) -> Result<LoadReport, OverloadError> {
        match bytes.first() {
            Some(&VERSION) if bytes.len() == LOAD_REPORT_BYTES => {}
            Some(&VERSION) | None => return Err(OverloadError::Malformed),
            Some(_) => return Err(OverloadError::UnsupportedVersion),
        }
        let mut sequence = [0; 8];
        sequence.copy_from_slice(&bytes[1..9]);
        let mut values = bytes[9..]
            .chunks_exact(2)
            .map(|b| decode(u16::from_le_bytes([b[0], b[1]])));
        let demand = values.by_ref().take(LEVELS).collect();
        let mut next = || values.next().unwrap_or(0.0);
        Ok(LoadReport {
            sequence: u64::from_le_bytes(sequence),
            demand,
            admitted: next(),
            completed: next(),
            backlog: next(),
            mean_request_work: next(),
            queued_at_servers: next(),
            server_weight: next(),
            ttft_ratio: next(),
            new_work: next(),
            retry_work: next(),
            threshold: next(),
            capacity: next(),
        })
    }

    /// Demand summed over all priority levels, work per second.
    pub fn total_demand(&self) -> f64 {
        self.demand.iter().sum()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn load_report_fits_a_datagram_and_round_trips() {
        let report = LoadReport {
            sequence: 7,
            demand: (0..LEVELS).map(|i| i as f64 * 3.7).collect(),
            threshold: 31.25,
            capacity: f64::NAN,
            ..LoadReport::default()
        };
        let bytes = report.write();
        assert!(
            bytes.len() <= bitternlatch_membership::MAX_PAYLOAD,
            "{}",
            bytes.len()
        );
        let read = LoadReport::read(&bytes).expect("a load report");
        assert_eq!((read.sequence, read.capacity), (7, 0.0));
        assert!((read.threshold - 31.25).abs() < 0.01 && (read.demand[40] - 148.0).abs() < 0.05);
    }

    proptest! {
        #[test]
        fn arbitrary_bytes_are_rejected_or_decode_to_finite_values(mut bytes in prop::collection::vec(any::<u8>(), 0..130), whole: bool) {
            if whole {
                bytes.resize(LOAD_REPORT_BYTES, 0xFF);
                bytes[0] = VERSION;
            }
            if let Ok(report) = LoadReport::read(&bytes) {
                prop_assert!(report.demand.iter().chain(&report.single_values()).all(|v| v.is_finite() && *v >= 0.0));
            }
        }
    }
}
