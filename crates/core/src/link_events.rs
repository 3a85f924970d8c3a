//! Connections to model servers: opened and closed by the server list, and what follows where one comes up or ends.

use bitternlatch_inventory::ModelServer;
use bitternlatch_policy::interface::{Event, ListForm, Outcome, RequestId, ServerId};
use bitternlatch_protocol::engine::EngineState;

use crate::links::{retry_at, Queued};
use crate::machine::{log, Machine};
use crate::requests::{parse_wire_id, Attempt, Purpose, Stage};
use crate::timers::Timer;
use crate::types::{Level, LinkId, Micros, Output};

impl Machine {
    pub(crate) fn on_link_up(&mut self, link: LinkId, out: &mut Vec<Output>) {
        if !self.links.up(link) {
            out.push(Output::CloseLink { link });
        }
    }

    pub(crate) fn on_link_down(
        &mut self,
        now: Micros,
        link: LinkId,
        was_up: bool,
        why: &str,
        out: &mut Vec<Output>,
    ) {
        if was_up {
            self.end_over_link(now, link, out);
        }
        let jitter = self.chance();
        let Some((queued, pause_s)) = self.links.down(link, jitter) else {
            return;
        };
        self.return_unsent(now, queued, out);
        if let Some(at) = retry_at(now, pause_s) {
            self.timers.set(
                at,
                Timer::Link {
                    server: link.server,
                    epoch: link.epoch,
                },
            );
        }
        let name = self
            .servers
            .get(link.server)
            .map_or("a host that left the list", |k| k.server.name.as_str());
        log(out, Level::Warn, format!("link to {name} is down: {why}"));
    }

    /// All that was out over a link that has ended. A stream whose engine had said its end is served.
    pub(crate) fn end_over_link(&mut self, now: Micros, link: LinkId, out: &mut Vec<Output>) {
        let over = |a: &Attempt| a.link == link && a.stage != Stage::Queued;
        let hit: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, r)| r.attempt.as_ref().is_some_and(over))
            .map(|(id, _)| *id)
            .collect();
        for id in hit {
            match self.ended_reason(id) {
                Some(reason) => self.end_served(now, id, &reason, Vec::new(), out),
                None => self.end_attempt(now, id, Outcome::Reset, 0, Vec::new(), out),
            }
        }
        let probes: Vec<u64> = self
            .probes
            .iter()
            .filter(|(_, p)| p.link == link)
            .map(|(id, _)| *id)
            .collect();
        for id in probes {
            self.end_probe(now, id, Outcome::Reset, Vec::new());
        }
    }

    pub(crate) fn ended_reason(&self, id: RequestId) -> Option<String> {
        let attempt = self.requests.get(&id)?.attempt.as_ref()?;
        attempt
            .finish_reason
            .clone()
            .filter(|_| attempt.purpose != Purpose::Prefill)
    }

    /// Attempts whose message never left are told as not connected.
    pub(crate) fn return_unsent(
        &mut self,
        now: Micros,
        queued: Vec<Queued>,
        out: &mut Vec<Output>,
    ) {
        for message in queued {
            if let Some((id, number)) = parse_wire_id(self.instance, &message.attempt) {
                self.end_unsent(now, id, number, out);
            }
        }
    }

    pub(crate) fn return_queued(&mut self, now: Micros, server: ServerId, out: &mut Vec<Output>) {
        let queued = self.links.take_queue(server);
        self.return_unsent(now, queued, out);
    }

    pub(crate) fn on_link_time(&mut self, now: Micros, link: LinkId, out: &mut Vec<Output>) {
        if self.links.is_opening(link) {
            out.push(Output::CloseLink { link });
            self.on_link_down(now, link, false, "it did not greet in time", out);
        } else if self.links.is_backing_off(link) {
            self.connect(now, link.server, out);
        }
    }

    pub(crate) fn on_hello(
        &mut self,
        now: Micros,
        link: LinkId,
        uptime_s: f64,
        state: EngineState,
        out: &mut Vec<Output>,
    ) {
        if !self.links.is_current(link) {
            return;
        }
        let warm_after_s = self.settings.rules.slow_start.warm_after_s;
        let Some((entry, restarted)) =
            self.servers
                .greeted(now, link.server, uptime_s, state, warm_after_s)
        else {
            return;
        };
        let form = bitternlatch_policy::interface::ListForm::Delta;
        self.events.push_back(Event::Servers {
            form,
            entries: vec![entry],
        });
        let queued = self.links.greeted(link);
        if restarted || state == EngineState::Draining {
            // What was decided for the server before its restart was known does not hold: a cold server takes less.
            return self.return_unsent(now, queued, out);
        }
        for message in queued {
            let Some(id) = self.mark_sent(now, link, &message.attempt) else {
                // Its permission has passed while it waited for the link.
                self.return_unsent(now, vec![message], out);
                continue;
            };
            out.push(self.attempt_message(now, id, link, message));
        }
    }

    pub(crate) fn mark_sent(
        &mut self,
        now: Micros,
        link: LinkId,
        attempt: &str,
    ) -> Option<RequestId> {
        let (id, number) = parse_wire_id(self.instance, attempt)?;
        let may = self.workflows.may_send_step(now, id);
        let current = self.requests.get_mut(&id).and_then(|r| r.attempt.as_mut());
        if let Some(a) = current.filter(|a| a.number == number) {
            if a.purpose != Purpose::Prefill && !may {
                return None;
            }
            (a.stage, a.link, a.last_received_at) = (Stage::InFlight, link, now);
        }
        Some(id)
    }

    pub(crate) fn on_state(
        &mut self,
        now: Micros,
        link: LinkId,
        state: EngineState,
        out: &mut Vec<Output>,
    ) {
        if !self.links.is_current(link) {
            return;
        }
        if let Some(entry) = self.servers.reported(link.server, state) {
            let form = bitternlatch_policy::interface::ListForm::Delta;
            self.events.push_back(Event::Servers {
                form,
                entries: vec![entry],
            });
            if state == EngineState::Draining {
                self.return_queued(now, link.server, out);
            }
        }
    }

    pub(crate) fn on_server_list(
        &mut self,
        now: Micros,
        list: Vec<ModelServer>,
        out: &mut Vec<Output>,
    ) {
        let change = self.servers.take_list(list, &self.settings);
        change
            .skipped
            .into_iter()
            .for_each(|why| log(out, Level::Error, why));
        // The module is told first, so that what is handed back does not go to the same server again.
        self.events.push_back(Event::Servers {
            form: ListForm::Full,
            entries: change.entries,
        });
        for server in change.closed {
            self.return_queued(now, server, out);
        }
        for server in change.disconnect {
            let moved = change.connect.contains(&server);
            self.close_link(server, moved, out);
        }
        for server in change.connect {
            self.connect(now, server, out);
        }
    }

    /// Closes a link once nothing is out over it, or at once where its server has moved.
    pub(crate) fn close_link(&mut self, server: ServerId, at_once: bool, out: &mut Vec<Output>) {
        let busy = self
            .requests
            .values()
            .any(|r| r.attempt.as_ref().is_some_and(|a| a.server == server));
        if let Some(link) = self.links.close_when_idle(server, busy && !at_once) {
            out.push(Output::CloseLink { link });
        }
    }

    pub(crate) fn connect(&mut self, now: Micros, server: ServerId, out: &mut Vec<Output>) {
        let Some(known) = self.servers.get(server) else {
            return;
        };
        let (endpoint, name) = (known.server.endpoint(), known.server.name.clone());
        let link = self.links.connect(server);
        let within_s =
            self.settings.engines.connect_timeout_s + self.settings.engines.hello_timeout_s;
        self.timers.set(
            now.after(within_s),
            Timer::Link {
                server,
                epoch: link.epoch,
            },
        );
        out.push(Output::Connect {
            link,
            endpoint,
            name,
        });
    }
}
