//! Health checks of model servers, sent for this dispatcher alone or for the whole cluster, and the inputs of load
//! shedding.

use bitternlatch_overload::{Command, Event as OverloadEvent};
use bitternlatch_policy::interface::{Event, Observation, Outcome, Role, ServerId};
use bitternlatch_protocol::engine::{encode, ToEngine};

use crate::load_shedding::REPORT_INTERVAL_S;
use crate::machine::{Machine, PendingHealthCheck, HEALTH_CHECK_TIMEOUT_S};
use crate::timers::Timer;
use crate::types::{Micros, Output};

impl Machine {
    /// Handles an event from the cluster's load shedding: a new admission threshold, a limit for a recovering server,
    /// an order to send a health check for the cluster, or the load report that a server sent in reply to one.
    pub(crate) fn on_overload(&mut self, now: Micros, event: OverloadEvent, out: &mut Vec<Output>) {
        match event {
            OverloadEvent::Threshold(threshold) => self.load_shedding.set_threshold(threshold),
            OverloadEvent::RecoveryLimit {
                server,
                max_in_flight,
                until,
            } => {
                self.load_shedding.set_trial(server, max_in_flight, until);
                // The decision module should prefer other servers: several dispatchers saw this one fail, or this
                // dispatcher saw consecutive failures.
                if self.load_shedding.max_in_flight(now, server).is_some() {
                    let observation = Observation::Failing;
                    self.events.push_back(Event::PeerReport {
                        server,
                        observation,
                        reporters: 2,
                        peers: 2,
                        age_s: 0.0,
                    });
                }
            }
            OverloadEvent::SendHealthCheck { server } => {
                let Some(link) = self
                    .links
                    .open_link(server)
                    .filter(|_| self.load_shedding.is_on())
                else {
                    return;
                };
                let id = self.next_health_check;
                self.next_health_check += 1;
                self.load_shedding.health_check_sent(now, id, server);
                out.push(Output::SendToServer {
                    link,
                    text: encode(&ToEngine::Probe { id }),
                    deadline: None,
                });
            }
            OverloadEvent::ServerReport { server, report, .. } => {
                let pending = self
                    .health_checks
                    .iter()
                    .filter(|(_, check)| check.link.server == server)
                    .map(|(id, _)| *id);
                let report: Vec<f64> = report.iter().map(|v| v.get()).collect();
                for id in pending.collect::<Vec<u64>>() {
                    self.end_health_check(now, id, Outcome::Served, report.clone());
                }
            }
        }
    }

    /// Sends this dispatcher's load report to the cluster's load shedding, with the total weight of the ready,
    /// connected servers that can prefill.
    pub(crate) fn report_load(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.timers
            .set(now.after(REPORT_INTERVAL_S), Timer::LoadShedding);
        let prefills = |role: Role| matches!(role, Role::Prefill | Role::Mixed);
        let is_open = |id: &ServerId| self.links.open_link(*id).is_some();
        let servers = self
            .servers
            .listed()
            .filter(|(id, k)| k.accepts_work() && prefills(k.role) && is_open(id));
        let weight = servers.map(|(_, known)| known.server.weight).sum();
        out.extend(
            self.load_shedding
                .load_report(now, weight)
                .map(Output::Overload),
        );
    }

    /// Starts a health check of a server. With load shedding on, the cluster decides which dispatcher sends it.
    pub(crate) fn start_health_check(
        &mut self,
        now: Micros,
        server: ServerId,
        out: &mut Vec<Output>,
    ) {
        let Some(link) = self.links.open_link(server) else {
            let outcome = Outcome::ConnectFailed;
            return self.events.push_back(Event::ProbeEnded {
                server,
                outcome,
                elapsed_s: 0.0,
                report: vec![],
            });
        };
        let id = self.next_health_check;
        self.next_health_check += 1;
        self.health_checks
            .insert(id, PendingHealthCheck { link, sent: now });
        self.timers
            .set(now.after(HEALTH_CHECK_TIMEOUT_S), Timer::HealthCheck { id });
        if self.load_shedding.is_on() {
            // One dispatcher of the cluster sends the health check; its result is shared and ends this one as well.
            return out.push(Output::Overload(Command::RequestHealthCheck { server }));
        }
        out.push(Output::SendToServer {
            link,
            text: encode(&ToEngine::Probe { id }),
            deadline: None,
        });
    }

    /// Ends a health check and reports its outcome to the decision module; does nothing if it has already ended.
    pub(crate) fn end_health_check(
        &mut self,
        now: Micros,
        id: u64,
        outcome: Outcome,
        report: Vec<f64>,
    ) {
        let Some(check) = self.health_checks.remove(&id) else {
            return;
        };
        let (server, elapsed_s) = (check.link.server, now.since(check.sent));
        self.events.push_back(Event::ProbeEnded {
            server,
            outcome,
            elapsed_s,
            report,
        });
    }
}
