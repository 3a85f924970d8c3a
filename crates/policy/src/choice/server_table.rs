//! What is known of each server, and the list that says which there are.

use super::*;

const UNANSWERED: f64 = 4.0; // Multiple of its age that a probe unanswered after that time stands for.
const FAILURE_COST_S: f64 = 0.1; // Seconds a failure costs beyond its time: the next attempt's way and wait.

/// One of this router's attempts that waits for its read or first token.
pub(super) struct Pending {
    pub work_s: f64,
    pub due: f64,
    pub tokens: (f64, f64),
    pub link: Option<u16>, // The reader's cell, where the state crosses that cell's link.
}

#[derive(Clone, Copy, Default)]
pub(super) struct Report {
    pub load: f64,   // Share of memory or slots in use, the larger.
    pub others: f64, // Requests of other dispatchers that wait or run.
}

impl Report {
    pub(super) fn blend(self, old: Report, w: f64) -> Report {
        let mean = |new: f64, old: f64| w * new + (1.0 - w) * old;
        Report {
            load: mean(self.load, old.load),
            others: mean(self.others, old.others),
        }
    }
}

#[derive(Default)]
pub(super) struct Server {
    pub entry: ServerEntry,
    pub role: Role,
    pub memory: f64,
    pub pending: BTreeMap<RequestId, Pending>,
    pub streams: BTreeMap<RequestId, (f64, f64)>,
    pub loss: (f64, f64), // Mean time lost by failures of late, and when it was seen.
    pub heard: f64,       // When anything was last heard of it.
    pub excess: (f64, f64), // Delay beyond prediction, and when it was seen.
    pub pace: f64,        // Time taken against the fit, over both stages' own samples.
    pub report: Report,
    pub seen_at: f64, // When that report came, and the tokens that this router held there then.
    pub seen_tokens: f64,
    pub shut_until: f64, // It said that it is full, or others' lists have it draining.
    pub told_failing: f64, // When others told last that it fails.
    pub probed_at: f64,
    pub probe_out: bool,
    pub told_at: f64, // When its last start was told here.
}

impl Server {
    /// One outcome. A failure is priced by the time it loses, as quick ones leave a short queue; it fades.
    pub(super) fn mark(&mut self, now: f64, bad: bool, took: f64) {
        self.heard = if bad { self.heard } else { now };
        let lost = if bad {
            sane(took) + FAILURE_COST_S
        } else {
            0.0
        };
        let before = fade(self.loss, now, FADE_HALF_S);
        self.loss = (before + 2.0 * BLEND * (lost - before), now);
    }

    pub(super) fn own(&self, part: fn(&(f64, f64)) -> f64) -> f64 {
        let waiting = self.pending.values().map(|p| part(&p.tokens)).sum::<f64>();
        waiting + self.streams.values().map(part).sum::<f64>()
    }

    pub(super) fn excess(&self, now: f64) -> f64 {
        fade(self.excess, now, EXCESS_HALF_S)
    }

    /// Age past due of own attempts or probes: a paused, slow, dead or cut-off server shows first as this.
    pub(super) fn overdue(&self, now: f64) -> f64 {
        let age = if self.probe_out {
            now - self.probed_at
        } else {
            0.0
        };
        let unanswered = if age < 0.9 * ASK_WAIT_S {
            0.0
        } else {
            UNANSWERED * age
        };
        self.pending
            .values()
            .filter(|p| p.link.is_none())
            .map(|p| now - p.due)
            .fold(unanswered, f64::max)
    }

    pub(super) fn ready(&self) -> bool {
        self.entry.status == ServerStatus::Ready
    }
}

impl Router {
    pub(super) fn on_list(
        &mut self,
        now: f64,
        form: ListForm,
        entries: Vec<ServerEntry>,
        out: &mut Actions,
    ) {
        let lost = self.set.must_subscribe && matches!(form, ListForm::Cached | ListForm::Failed);
        out.extend(lost.then_some(Action::Subscribe));
        if form == ListForm::Failed {
            return;
        }
        if form != ListForm::Delta {
            let missing = |s: &&mut Server| !entries.iter().any(|e| e.id == s.entry.id);
            self.servers
                .values_mut()
                .filter(missing)
                .for_each(|s| s.entry.status = ServerStatus::Removed);
        }
        entries
            .into_iter()
            .for_each(|entry| self.on_entry(now, entry));
        self.servers.retain(|_, s| {
            s.entry.status != ServerStatus::Removed || s.pending.len() + s.streams.len() > 0
        });
    }

    fn on_entry(&mut self, now: f64, mut entry: ServerEntry) {
        let Some(kind) = self.set.kinds.get(usize::from(entry.kind)) else {
            return;
        };
        entry.booted_at = sane(entry.booted_at);
        let (id, memory) = (entry.id, kind.memory_tokens.max(1.0));
        let told = Server {
            entry: entry.clone(),
            told_at: now,
            pace: 1.0,
            ..Server::default()
        };
        let fresh = Server {
            role: kind.role,
            memory,
            ..told
        };
        let server = match self.servers.remove(&id) {
            Some(old) if old.entry.booted_at == entry.booted_at => Server { entry, ..old },
            Some(old) => Server {
                pending: old.pending,
                streams: old.streams,
                ..fresh
            },
            None => fresh,
        };
        self.servers.insert(id, server);
    }
}
