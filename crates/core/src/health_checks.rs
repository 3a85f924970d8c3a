//! Probes of model servers, this dispatcher's own and those shared in the cluster, and load shedding's inputs.

use bitternlatch_overload::{Ask, Told};
use bitternlatch_policy::interface::{Event, Observation, Outcome, Role, ServerId};
use bitternlatch_protocol::engine::{encode, ToEngine};

use crate::load_shedding::REPORT_INTERVAL_S;
use crate::machine::{Machine, PendingHealthCheck, HEALTH_CHECK_TIMEOUT_S};
use crate::timers::Timer;
use crate::types::{Micros, Output};

impl Machine {
    /// What all are to do together, and what was heard of servers for this one.
    pub(crate) fn on_overload(&mut self, now: Micros, told: Told, out: &mut Vec<Output>) {
        match told {
            Told::Cut(cut) => self.load_shedding.set_threshold(cut),
            Told::Trial {
                host: server,
                many,
                until,
            } => {
                self.load_shedding.set_trial(server, many, until);
                // The module does better to choose another one: several saw it fail, or this one did in a row.
                if self.load_shedding.max_in_flight(now, server).is_some() {
                    let sight = Observation::Failing;
                    self.events.push_back(Event::PeerReport {
                        server,
                        observation: sight,
                        reporters: 2,
                        peers: 2,
                        age_s: 0.0,
                    });
                }
            }
            Told::Probe { host: server } => {
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
            Told::Report {
                host: server,
                report,
                ..
            } => {
                let mine = self
                    .health_checks
                    .iter()
                    .filter(|(_, p)| p.link.server == server)
                    .map(|(id, _)| *id);
                let report: Vec<f64> = report.iter().map(|v| v.get()).collect();
                for id in mine.collect::<Vec<u64>>() {
                    self.end_health_check(now, id, Outcome::Served, report.clone());
                }
            }
        }
    }

    /// Tells what was seen of the load, for what all shed together.
    pub(crate) fn report_load(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.timers
            .set(now.after(REPORT_INTERVAL_S), Timer::LoadShedding);
        let reads = |role: Role| matches!(role, Role::Prefill | Role::Mixed);
        let open = |id: &ServerId| self.links.open_link(*id).is_some();
        let servers = self
            .servers
            .listed()
            .filter(|(id, k)| k.accepts_work() && reads(k.role) && open(id));
        let weight = servers.map(|(_, known)| known.server.weight).sum();
        out.extend(
            self.load_shedding
                .load_report(now, weight)
                .map(Output::Overload),
        );
    }

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
            // One of all asks; the answer, whoever is given it, ends this probe.
            return out.push(Output::Overload(Ask::Probe { host: server }));
        }
        out.push(Output::SendToServer {
            link,
            text: encode(&ToEngine::Probe { id }),
            deadline: None,
        });
    }

    pub(crate) fn end_health_check(
        &mut self,
        now: Micros,
        id: u64,
        outcome: Outcome,
        report: Vec<f64>,
    ) {
        let Some(probe) = self.health_checks.remove(&id) else {
            return;
        };
        let (server, elapsed_s) = (probe.link.server, now.since(probe.sent));
        self.events.push_back(Event::ProbeEnded {
            server,
            outcome,
            elapsed_s,
            report,
        });
    }
}
