//! Health checks that are in flight.

use std::collections::BTreeMap;

use bitternlatch_core::Micros;
use bitternlatch_policy::interface::ServerId;

/// HTTP request of a health check; the response also carries the load report.
pub(crate) const HEALTH_CHECK_REQUEST: &[u8] =
    b"GET /status/load HTTP/1.1\r\nHost: origin.svc\r\n\r\n";

/// Start time of the health check in flight to each model server.
#[derive(Debug, Default)]
pub(crate) struct HealthChecks {
    sent: BTreeMap<ServerId, Micros>,
}

impl HealthChecks {
    pub(crate) fn begin(&mut self, now: Micros, server: ServerId) {
        self.sent.insert(server, now);
    }

    /// Ends a health check and returns its duration, seconds, or 0 if none was in flight.
    pub(crate) fn finish(&mut self, now: Micros, server: ServerId) -> f64 {
        let sent = self.sent.remove(&server);
        sent.map_or(0.0, |sent| now.since(sent))
    }
}
