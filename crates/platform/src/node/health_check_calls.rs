//! Runs the health checks of model servers that the decision module requests.

use bitternlatch_core::Micros;
use bitternlatch_policy::interface::{Event, Outcome, ServerId};

use super::Node;
use crate::health_checks::HEALTH_CHECK_REQUEST;
use crate::pool::{ConnectionUse, ServerAddress};
use crate::types::Command;

impl Node {
    pub(super) fn start_health_check(
        &mut self,
        now: Micros,
        server: ServerId,
        commands: &mut Vec<Command>,
    ) {
        let Some(endpoint) = self.discovery.endpoints().get(server) else {
            return self.finish_health_check(now, server, Outcome::ConnectFailed, Vec::new());
        };
        let target = ServerAddress {
            server,
            address: endpoint.address,
        };
        let call = HEALTH_CHECK_REQUEST.to_vec();
        if self
            .start_exchange(
                now,
                target,
                ConnectionUse::HealthCheck { server },
                call,
                commands,
            )
            .is_none()
        {
            return self.finish_health_check(now, server, Outcome::NotSent, Vec::new());
        }
        self.health_checks.begin(now, server);
    }

    pub(super) fn finish_health_check(
        &mut self,
        now: Micros,
        server: ServerId,
        outcome: Outcome,
        report: Vec<f64>,
    ) {
        let elapsed_s = self.health_checks.finish(now, server);
        self.events.push_back(Event::ProbeEnded {
            server,
            outcome,
            elapsed_s,
            report,
        });
    }
}
