//! What this router may send, and has sent, to one warming server.
//!
//! Costs are counted in requests of mean work, see
//! [`TrafficMean::slow_start_cost`](super::traffic_mean::TrafficMean::slow_start_cost).

/// Most work that a router may have left unused at a warming server and still send later, in
/// requests of mean work. It covers the requests that come out of turn: retries, and requests for
/// several placement keys of which the server is a prefix replica.
const MAX_ALLOWANCE: f64 = 2.0;
/// Most work that a server earns while no request arrives at this router, in requests of mean work:
/// requests come at uneven distances.
const MAX_EARNED: f64 = 2.0;
/// Work by which the assumption on what a server receives outweighs what this router has sent, in
/// requests of mean work. A router that sends a server less than that has hardly any evidence.
const ASSUMPTION_WEIGHT: f64 = 2.0;
/// Fraction of the granted work that a server is assumed to receive.
const ASSUMED_RECEIVED_FRACTION: f64 = 0.85;

/// Account of one warming server at this router.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct SlowStartAccount {
    /// Sum of the admission probabilities since the last request that got a turn. The next one gets
    /// a turn as the sum reaches 1; `None` before the first request.
    turn: Option<f64>,
    /// Work that may be sent.
    allowance: f64,
    /// Work that the server could have done since the first request, and that was not granted.
    earned: f64,
    earned_at: Option<f64>,
    granted: f64,
    sent: f64,
    /// Progress of the warm-up, from 0 to 1, if the server receives all work that is granted.
    granted_progress: f64,
}

impl Default for SlowStartAccount {
    fn default() -> Self {
        SlowStartAccount {
            turn: None,
            allowance: MAX_ALLOWANCE,
            earned: 0.0,
            earned_at: None,
            granted: 0.0,
            sent: 0.0,
            granted_progress: 0.0,
        }
    }
}

/// What one request adds to an account.
#[derive(Clone, Copy, Debug)]
pub(super) struct Grant {
    /// Probability with which the request gets a turn at the server.
    pub turn_probability: f64,
    /// Work that the server may receive for each request of the role.
    pub work: f64,
    /// Part of the warm-up that this work completes.
    pub progress: f64,
    /// Offset of the first turn, from 0 to 1: routers that learn of a start together must not
    /// choose the server together.
    pub first_turn: f64,
}

impl SlowStartAccount {
    /// Returns how much of the work `wanted` may be granted, if the server can bear `work_per_s`.
    pub fn earn(&mut self, work_per_s: f64, wanted: f64, now: f64) -> f64 {
        let elapsed_s = self.earned_at.map_or(0.0, |at| (now - at).max(0.0));
        self.earned = (self.earned + work_per_s * elapsed_s).min(MAX_EARNED);
        self.earned_at = Some(now);
        let work = wanted.min(self.earned);
        self.earned -= work;
        work
    }

    /// Adds a grant and returns whether the request gets a turn. Requests get turns at even
    /// distances of the summed probability instead of by independent draws, which keeps the sum of
    /// what one router sends close to its mean.
    pub fn grant(&mut self, grant: Grant) -> bool {
        self.allowance = (self.allowance + grant.work).min(MAX_ALLOWANCE);
        self.granted += grant.work;
        self.granted_progress += grant.progress;
        let turn = self.turn.unwrap_or(grant.first_turn) + grant.turn_probability;
        let has_turn = turn >= 1.0;
        self.turn = Some(turn - f64::from(has_turn));
        has_turn
    }

    /// Returns whether any work may be sent. One request may exceed the allowance, which is then
    /// used up for longer.
    pub fn has_allowance(&self) -> bool {
        self.allowance > 0.0
    }

    /// Counts an attempt at the server, whatever it was sent for.
    pub fn record_sent(&mut self, cost: f64) {
        self.allowance -= cost;
        self.sent += cost;
    }

    /// Takes back an attempt that never reached the server: it warms nothing up. Its allowance stays
    /// used.
    pub fn record_not_received(&mut self, cost: f64) {
        self.sent = (self.sent - cost).max(0.0);
    }

    /// Progress of the warm-up, from 0 to 1, as far as it follows from what the server receives.
    pub fn progress(&self) -> f64 {
        let assumed = ASSUMPTION_WEIGHT * ASSUMED_RECEIVED_FRACTION;
        let received_fraction = (self.sent + assumed) / (self.granted + ASSUMPTION_WEIGHT);
        (self.granted_progress * received_fraction).clamp(0.0, 1.0)
    }

    /// Cost of the attempts sent so far.
    pub fn sent(&self) -> f64 {
        self.sent
    }

    /// Work granted so far.
    pub fn granted(&self) -> f64 {
        self.granted
    }
}

#[cfg(test)]
#[path = "../part_tests/slow_start_account.rs"]
mod tests;
