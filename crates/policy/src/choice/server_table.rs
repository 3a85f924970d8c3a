//! What is known of each server, and the list that says which there are.

use super::*;

const UNANSWERED_PROBE_RATIO: f64 = 4.0; // Multiple of its age that a probe unanswered after that time stands for.
const FAILURE_EXTRA_COST_S: f64 = 0.1; // Seconds a failure costs beyond its time: the next attempt's way and wait.

/// One of this router's attempts that waits for its read or first token.
pub(super) struct InFlightAttempt {
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
    pub in_flight: BTreeMap<RequestId, InFlightAttempt>,
    pub streaming: BTreeMap<RequestId, (f64, f64)>,
    pub failure_cost: (f64, f64), // Mean time lost by failures of late, and when it was seen.
    pub last_success_at: f64,     // When anything was last heard of it.
    pub excess_delay: (f64, f64), // Delay beyond prediction, and when it was seen.
    pub pace: f64,                // Time taken against the fit, over both stages' own samples.
    pub report: Report,
    pub reported_at: f64, // When that report came, and the tokens that this router held there then.
    pub tokens_at_report: f64,
    pub closed_until: f64, // It said that it is full, or others' lists have it draining.
    pub reported_failing_at: f64, // When others told last that it fails.
    pub probed_at: f64,
    pub probe_in_flight: bool,
    pub start_known_at: f64, // When its last start was told here.
}

impl Server {
    /// One outcome. A failure is priced by the time it loses, as quick ones leave a short queue; it fades.
    pub(super) fn mark(&mut self, now: f64, bad: bool, took: f64) {
        self.last_success_at = if bad { self.last_success_at } else { now };
        let lost = if bad {
            non_negative(took) + FAILURE_EXTRA_COST_S
        } else {
            0.0
        };
        let before = decayed(self.failure_cost, now, HALF_LIFE_S);
        self.failure_cost = (before + 2.0 * NEWEST_WEIGHT * (lost - before), now);
    }

    pub(super) fn own(&self, quota_fraction: fn(&(f64, f64)) -> f64) -> f64 {
        let waiting = self
            .in_flight
            .values()
            .map(|p| quota_fraction(&p.tokens))
            .sum::<f64>();
        waiting + self.streaming.values().map(quota_fraction).sum::<f64>()
    }

    pub(super) fn excess_delay(&self, now: f64) -> f64 {
        decayed(self.excess_delay, now, EXCESS_HALF_LIFE_S)
    }

    /// Age past due of own attempts or probes: a paused, slow, dead or cut-off server shows first as this.
    pub(super) fn overdue(&self, now: f64) -> f64 {
        let age = if self.probe_in_flight {
            now - self.probed_at
        } else {
            0.0
        };
        let unanswered = if age < 0.9 * PROBE_WAIT_S {
            0.0
        } else {
            UNANSWERED_PROBE_RATIO * age
        };
        self.in_flight
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
        actions: &mut Actions,
    ) {
        let lost =
            self.settings.must_subscribe && matches!(form, ListForm::Cached | ListForm::Failed);
        actions.extend(lost.then_some(Action::Subscribe));
        if form == ListForm::Failed {
            return;
        }
        if form != ListForm::Delta {
            let missing = |server: &&mut Server| !entries.iter().any(|e| e.id == server.entry.id);
            self.servers
                .values_mut()
                .filter(missing)
                .for_each(|server| server.entry.status = ServerStatus::Removed);
        }
        entries
            .into_iter()
            .for_each(|entry| self.on_entry(now, entry));
        self.servers.retain(|_, server| {
            server.entry.status != ServerStatus::Removed
                || server.in_flight.len() + server.streaming.len() > 0
        });
    }

    fn on_entry(&mut self, now: f64, mut entry: ServerEntry) {
        let Some(kind) = self.settings.kinds.get(usize::from(entry.kind)) else {
            return;
        };
        entry.booted_at = non_negative(entry.booted_at);
        let (id, memory) = (entry.id, kind.memory_tokens.max(1.0));
        let told = Server {
            entry: entry.clone(),
            start_known_at: now,
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
                in_flight: old.in_flight,
                streaming: old.streaming,
                ..fresh
            },
            None => fresh,
        };
        self.servers.insert(id, server);
    }
}
