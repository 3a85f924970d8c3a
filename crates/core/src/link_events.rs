//! Connections to model servers: opening and closing them as the server list changes, and handling their establishment,
//! hello messages, failure and loss.

use bitternlatch_inventory::ModelServer;
use bitternlatch_policy::interface::{Event, ListForm, Outcome, RequestId, ServerId};
use bitternlatch_protocol::engine::EngineState;

use crate::links::{reconnect_at, QueuedMessage};
use crate::machine::{log, Machine};
use crate::requests::{parse_wire_id, Attempt, Purpose, Stage};
use crate::timers::Timer;
use crate::types::{Level, LinkId, Micros, Output};

impl Machine {
    pub(crate) fn on_link_up(&mut self, link: LinkId, out: &mut Vec<Output>) {
        if !self.links.mark_up(link) {
            out.push(Output::CloseLink { link });
        }
    }

    pub(crate) fn on_link_down(
        &mut self,
        now: Micros,
        link: LinkId,
        was_up: bool,
        reason: &str,
        out: &mut Vec<Output>,
    ) {
        if was_up {
            self.end_attempts_on_link(now, link, out);
        }
        let jitter = self.random_fraction();
        let Some((queued, delay_s)) = self.links.mark_down(link, jitter) else {
            return;
        };
        self.report_unsent(now, queued, out);
        if let Some(at) = reconnect_at(now, delay_s) {
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
        log(
            out,
            Level::Warn,
            format!("link to {name} is down: {reason}"),
        );
    }

    /// Ends all attempts and health checks that were in flight over a link that was closed. An attempt whose finish
    /// reason had been received counts as served, any other as reset.
    pub(crate) fn end_attempts_on_link(
        &mut self,
        now: Micros,
        link: LinkId,
        out: &mut Vec<Output>,
    ) {
        let sent_over = |a: &Attempt| a.link == link && a.stage != Stage::Queued;
        let interrupted: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, r)| r.attempt.as_ref().is_some_and(sent_over))
            .map(|(id, _)| *id)
            .collect();
        for id in interrupted {
            match self.received_finish_reason(id) {
                Some(reason) => self.end_served(now, id, &reason, Vec::new(), out),
                None => self.end_attempt(now, id, Outcome::Reset, 0, Vec::new(), out),
            }
        }
        let health_checks: Vec<u64> = self
            .health_checks
            .iter()
            .filter(|(_, p)| p.link == link)
            .map(|(id, _)| *id)
            .collect();
        for id in health_checks {
            self.end_health_check(now, id, Outcome::Reset, Vec::new());
        }
    }

    /// The finish reason that the current attempt's server has sent; `None` for a prefill.
    pub(crate) fn received_finish_reason(&self, id: RequestId) -> Option<String> {
        let attempt = self.requests.get(&id)?.attempt.as_ref()?;
        attempt
            .finish_reason
            .clone()
            .filter(|_| attempt.purpose != Purpose::Prefill)
    }

    /// Ends attempts whose message was never sent as failed to connect.
    pub(crate) fn report_unsent(
        &mut self,
        now: Micros,
        queued: Vec<QueuedMessage>,
        out: &mut Vec<Output>,
    ) {
        for message in queued {
            if let Some((id, number)) = parse_wire_id(self.instance, &message.attempt) {
                self.end_unsent(now, id, number, out);
            }
        }
    }

    pub(crate) fn report_queued_unsent(
        &mut self,
        now: Micros,
        server: ServerId,
        out: &mut Vec<Output>,
    ) {
        let queued = self.links.take_queue(server);
        self.report_unsent(now, queued, out);
    }

    pub(crate) fn on_link_timer(&mut self, now: Micros, link: LinkId, out: &mut Vec<Output>) {
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
                .apply_hello(now, link.server, uptime_s, state, warm_after_s)
        else {
            return;
        };
        let form = bitternlatch_policy::interface::ListForm::Delta;
        self.events.push_back(Event::Servers {
            form,
            entries: vec![entry],
        });
        let queued = self.links.mark_open(link);
        if restarted || state == EngineState::Draining {
            // The queued attempts were sent here before the restart was known; a server that has just started accepts
            // less load, and a draining one accepts none. The decision module chooses again.
            return self.report_unsent(now, queued, out);
        }
        for message in queued {
            let Some(id) = self.mark_sent(now, link, &message.attempt) else {
                // The workflow coordinator's permission to send expired while the message waited for the link.
                self.report_unsent(now, vec![message], out);
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
        let permitted = self.workflows.may_send_step(now, id);
        let current = self.requests.get_mut(&id).and_then(|r| r.attempt.as_mut());
        if let Some(a) = current.filter(|a| a.number == number) {
            if a.purpose != Purpose::Prefill && !permitted {
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
        if let Some(entry) = self.servers.set_reported_state(link.server, state) {
            let form = bitternlatch_policy::interface::ListForm::Delta;
            self.events.push_back(Event::Servers {
                form,
                entries: vec![entry],
            });
            if state == EngineState::Draining {
                self.report_queued_unsent(now, link.server, out);
            }
        }
    }

    pub(crate) fn on_server_list(
        &mut self,
        now: Micros,
        list: Vec<ModelServer>,
        out: &mut Vec<Output>,
    ) {
        let change = self.servers.apply_list(list, &self.settings);
        change
            .skipped
            .into_iter()
            .for_each(|reason| log(out, Level::Error, reason));
        // The decision module receives the list first, so that returned attempts do not go to the same server again.
        self.events.push_back(Event::Servers {
            form: ListForm::Full,
            entries: change.entries,
        });
        for server in change.closed {
            self.report_queued_unsent(now, server, out);
        }
        for server in change.disconnect {
            let address_changed = change.connect.contains(&server);
            self.close_link(server, address_changed, out);
        }
        for server in change.connect {
            self.connect(now, server, out);
        }
    }

    /// Marks a server's link for closing. It closes now if no attempt is in flight over it or if `at_once` is set,
    /// which is the case when the server's address has changed; otherwise a later sweep closes it.
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
        let timeout_s =
            self.settings.engines.connect_timeout_s + self.settings.engines.hello_timeout_s;
        self.timers.set(
            now.after(timeout_s),
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
