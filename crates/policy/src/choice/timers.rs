//! Timers: deadlines, held states and attempts that are silent.

use super::*;

impl Router {
    pub(super) fn on_timer(&mut self, now: f64, label: u64, actions: &mut Actions) {
        let id = label as RequestId;
        self.release_if_due(now, id, actions);
        let Some(state) = self.requests.get(&id) else {
            return;
        };
        if now + 3.0 * self.settings.tick_s >= state.deadline && state.stage != Stage::Streaming {
            self.last_failure = Some(FailedRequest {
                request: id,
                cause: Cause::Deadline,
            });
            self.cancel(id, actions);
            return self.finish(id, Some(Action::Fail { request: id }), actions);
        }
        match state.stage {
            Stage::Probing(until) if now >= until => self.place(now, id, actions),
            Stage::AwaitingDecode => self.send_decode(now, id, actions),
            Stage::InFlight => self.call_back_silent(now, id, actions),
            _ => {}
        }
    }

    /// Calls an attempt back from a silent server: dead, cut off, hung, or its answer lost. A queue is told
    /// apart by other answers, or by a probe whose report explains the wait: calling back would add to it.
    /// Harm: where a report is too rosy a prompt is read twice, within the budget of further attempts.
    fn call_back_silent(&mut self, now: f64, id: RequestId, actions: &mut Actions) {
        let Some(state) = self.requests.get(&id) else {
            return;
        };
        let (Some(server), at, sent) = (self.servers.get(&state.at), state.at, state.sent) else {
            return;
        };
        let Some(due) = server.in_flight.get(&id).map(|p| p.due) else {
            return;
        };
        if self.single_attempt(state, server) || self.retry_tokens < 1.0 {
            return;
        }
        let silence_s = self.silence_s(&state.request, server, sent);
        let fresh = server.reported_at > due;
        let wait = if server.role == Role::Prefill {
            Self::others_s
        } else {
            Self::decode_wait_s
        };
        let queue_s = if fresh { wait(self, server, now) } else { 0.0 };
        let patient = sent + 2.0 * (queue_s + due - sent) + silence_s;
        if now < patient || server.last_success_at > sent {
            set_timer(id, patient.max(now + silence_s), actions);
        } else if fresh || self.probe(now, &[at], actions).is_empty() {
            self.cancel(id, actions);
        } else {
            set_timer(id, now + 2.0 * PROBE_WAIT_S, actions);
        }
    }
}
