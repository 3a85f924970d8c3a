//! Sends of workflow steps that wait for the coordinator's permission because the previous one has expired.

use bitternlatch_policy::interface::{Outcome, RequestId};

use crate::machine::{Machine, HEALTH_CHECK_TIMEOUT_S};
use crate::requests::Request;
use crate::timers::Timer;
use crate::types::{Micros, Output};
use crate::workflows::BlockedSend;

/// Longest wait of a blocked send that would fetch a held KV cache, as a fraction of the limit on holding one
/// (`rules.pin_limit_s`).
const BLOCKED_SEND_KV_HOLD_FRACTION: f64 = 0.5;

impl Machine {
    /// Holds a send back and asks the coordinator to permit the step again. A send that cannot wait, as its request is
    /// answered or is no step in flight, is reported as not sent.
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
        // A KV cache that a prefill server holds for the request occupies memory there, so the blocked send waits no
        // longer than this for the coordinator's permission, even if the request's deadline is later.
        let kv_hold_ends =
            now.after(self.settings.rules.kv_hold_limit_s * BLOCKED_SEND_KV_HOLD_FRACTION);
        let wait_ends = |r: &Request| {
            if r.held_kv_cache.is_some() {
                kv_hold_ends
            } else {
                r.deadline.max(now.after(HEALTH_CHECK_TIMEOUT_S))
            }
        };
        let waiting =
            live.map(|r| (r.may_have_run(), wait_ends(r)))
                .and_then(|(may_have_run, ends)| {
                    self.workflows
                        .block_send(id, send, may_have_run, ends)
                        .map(|(call, commands)| (call, commands, ends))
                });
        let Some((call, commands, ends)) = waiting else {
            return self.abandon_send(id, send);
        };
        self.timers.set(ends, Timer::WorkflowQuery { call });
        out.extend(commands.into_iter().map(Output::Workflow));
    }

    /// Carries out a blocked send once its step is permitted again, or reports it as not sent where the permission is
    /// denied or did not come in time.
    pub(crate) fn resume_send(
        &mut self,
        now: Micros,
        id: RequestId,
        send: BlockedSend,
        permitted: bool,
        out: &mut Vec<Output>,
    ) {
        match permitted {
            true => self.send_attempt(now, id, send.server, send.timeout_s, out),
            false => self.abandon_send(id, send),
        }
    }

    /// Drops the blocked send of a request that has ended, and reports it as not sent.
    pub(crate) fn cancel_blocked_send(&mut self, id: RequestId) {
        if let Some(send) = self.workflows.take_blocked_send(id) {
            self.abandon_send(id, send);
        }
    }

    /// Notifies the decision module that a send was not carried out; it counts as an attempt all the same.
    pub(crate) fn abandon_send(&mut self, id: RequestId, send: BlockedSend) {
        let number = self.requests.get_mut(&id).map_or(0, |r| {
            r.attempt_count += 1;
            r.attempt_count - 1
        });
        self.report_not_sent(id, number, send.server, Outcome::NotSent);
    }
}
