//! Timers: deadlines, held states and attempts that are silent.

use super::*;

impl Router {
    pub(super) fn on_timer(&mut self, now: f64, label: u64, out: &mut Actions) {
        let id = label as RequestId;
        self.release_due(now, id, out);
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        if now + 3.0 * self.set.tick_s >= job.deadline && job.stage != Stage::Streaming {
            self.last_failure = Some(FailedRequest {
                request: id,
                cause: Cause::Deadline,
            });
            self.cancel(id, out);
            return self.finish(id, Some(Action::Fail { request: id }), out);
        }
        match job.stage {
            Stage::Asking(until) if now >= until => self.place(now, id, out),
            Stage::Held => self.send_write(now, id, out),
            Stage::Out => self.call_back_silent(now, id, out),
            _ => {}
        }
    }

    /// Calls an attempt back from a silent server: dead, cut off, hung, or its answer lost. A queue is told
    /// apart by other answers, or by a probe whose report explains the wait: calling back would add to it.
    /// Harm: where a report is too rosy a prompt is read twice, within the budget of further attempts.
    fn call_back_silent(&mut self, now: f64, id: RequestId, out: &mut Actions) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let (Some(s), at, sent) = (self.servers.get(&job.at), job.at, job.sent) else {
            return;
        };
        let Some(due) = s.pending.get(&id).map(|p| p.due) else {
            return;
        };
        if self.once(job, s) || self.retries < 1.0 {
            return;
        }
        let silence_s = self.silence_s(&job.ask, s, sent);
        let fresh = s.seen_at > due;
        let wait = if s.role == Role::Prefill {
            Self::others_s
        } else {
            Self::write_wait
        };
        let queue_s = if fresh { wait(self, s, now) } else { 0.0 };
        let patient = sent + 2.0 * (queue_s + due - sent) + silence_s;
        if now < patient || s.heard > sent {
            wake(id, patient.max(now + silence_s), out);
        } else if fresh || self.probe(now, &[at], out).is_empty() {
            self.cancel(id, out);
        } else {
            wake(id, now + 2.0 * ASK_WAIT_S, out);
        }
    }
}
