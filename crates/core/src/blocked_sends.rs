//! Sends of workflow steps that wait for their permission.

use bitternlatch_policy::interface::{Outcome, RequestId};

use crate::machine::{Machine, HEALTH_CHECK_TIMEOUT_S};
use crate::requests::Request;
use crate::timers::Timer;
use crate::types::{Micros, Output};
use crate::workflows::BlockedSend;

/// Fraction of the longest time that a KV cache is held, for which a send that would fetch it waits for its permission.
const KV_HOLD_SHARE: f64 = 0.5;

impl Machine {
    pub(crate) fn block_send(
        &mut self,
        now: Micros,
        id: RequestId,
        send: BlockedSend,
        out: &mut Vec<Output>,
    ) {
        let live = self
            .requests
            .get(&id)
            .filter(|r| !r.answered && r.attempt.is_none());
        // A state that waits to be fetched keeps its place for so long at the most, whatever time the request has left.
        let pinned = now.after(self.settings.rules.kv_hold_limit_s * KV_HOLD_SHARE);
        let ends = |r: &Request| {
            if r.state.is_some() {
                pinned
            } else {
                r.deadline.max(now.after(HEALTH_CHECK_TIMEOUT_S))
            }
        };
        let asked = live
            .map(|r| (r.may_run(), ends(r)))
            .and_then(|(may_have_run, ends)| {
                self.workflows
                    .wait(id, send, may_have_run, ends)
                    .map(|(call, tell)| (call, tell, ends))
            });
        let Some((call, tell, ends)) = asked else {
            return self.abandon_send(id, send);
        };
        self.timers.set(ends, Timer::WorkflowQuery { call });
        out.extend(tell.into_iter().map(Output::Workflow));
    }

    /// A send that waited for its permission has it, or is refused.
    pub(crate) fn resume_send(
        &mut self,
        now: Micros,
        id: RequestId,
        send: BlockedSend,
        may: bool,
        out: &mut Vec<Output>,
    ) {
        match may {
            true => self.send(now, id, send.server, send.timeout_s, out),
            false => self.abandon_send(id, send),
        }
    }

    /// A request ends while its send waits: the module is told that it never left.
    pub(crate) fn cancel_blocked_send(&mut self, id: RequestId) {
        if let Some(send) = self.workflows.unblock(id) {
            self.abandon_send(id, send);
        }
    }

    pub(crate) fn abandon_send(&mut self, id: RequestId, send: BlockedSend) {
        let number = self.requests.get_mut(&id).map_or(0, |r| {
            r.attempts += 1;
            r.attempts - 1
        });
        self.not_sent(id, number, send.server, Outcome::NotSent);
    }
}
