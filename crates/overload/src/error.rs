//! Errors of overload control, each with advice for the operator.

/// Errors of overload control. The order of the variants is the order of their log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum OverloadError {
    #[error("malformed overload control message")]
    Malformed,
    #[error("overload control message of an unsupported version")]
    UnsupportedVersion,
    #[error(
        "load figures of a dispatcher exceed ten times the cluster's median and are limited to that"
    )]
    Outlier,
    #[error("a token rate in [cluster.overload] is not between 1 and 1e9")]
    InvalidTokenRate,
    #[error("wait_share in [cluster.overload] is not between 0.02 and 1")]
    InvalidWaitShare,
}

impl OverloadError {
    pub const ALL: [OverloadError; 5] = [
        OverloadError::Malformed,
        OverloadError::UnsupportedVersion,
        OverloadError::Outlier,
        OverloadError::InvalidTokenRate,
        OverloadError::InvalidWaitShare,
    ];

    /// What an operator can do about the error.
    pub fn advice(&self) -> &'static str {
        match self {
            OverloadError::Malformed => {
                "check for another program that uses the cluster's secret; its messages are dropped"
            }
            OverloadError::UnsupportedVersion => {
                "upgrade all dispatchers to the same version; until then each ignores messages that it cannot decode"
            }
            OverloadError::Outlier => {
                "check that dispatcher's machine, clock and clients; restart it if its figures stay high"
            }
            OverloadError::InvalidTokenRate => {
                "set the number of tokens that one server of weight 1 reads or writes per second"
            }
            OverloadError::InvalidWaitShare => {
                "remove wait_share, or set it to the fraction of a latency objective for which requests may wait"
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_error_has_its_own_advice() {
        let advice: std::collections::BTreeSet<_> =
            OverloadError::ALL.iter().map(|e| e.advice()).collect();
        assert_eq!(advice.len(), OverloadError::ALL.len());
        assert!(OverloadError::ALL.iter().all(|e| !e.to_string().is_empty()));
    }
}
