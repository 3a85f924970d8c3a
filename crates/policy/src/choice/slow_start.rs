//! What a cold server may be sent.

use super::*;

const COLD_PART: f64 = 0.8; // Share of the fall-over multiple used on what a cold server likely has.
const COLD_GROWTH: f64 = 1.3; // Growth of what a cold server likely has, by what it is sent until it is warm.
const COLD_KEYS_PART: f64 = 0.6; // Part of a cold reader for the keys of which it is a home.
const ANSWERS_KEPT: f64 = 0.9; // What a choice leaves of the most answers, for servers back from an outage.

impl Router {
    /// Share of its capacity that a server likely has: a straight line from the told start to the warm time.
    pub(super) fn capacity(&self, s: &Server, now: f64) -> f64 {
        let cold = &self.set.slow_start;
        if s.entry.booted_at <= 0.0 || now >= s.entry.booted_at + cold.warm_after_s {
            return 1.0;
        }
        let age = (now - s.entry.booted_at).max(0.0) / cold.warm_after_s.max(0.1);
        (cold.start_capacity + (1.0 - cold.start_capacity) * age).clamp(0.05, 1.0)
    }

    /// Counts a choice among a role's servers and mixed ones.
    pub(super) fn count_choice(&mut self, role: Role) {
        for role in [role, Role::Mixed] {
            let (fresh, held) = &mut self.answers[role as usize];
            (*fresh, *held) = (
                *fresh * (1.0 - BLEND),
                (*held * ANSWERS_KEPT).max(*fresh * (1.0 - BLEND)),
            );
        }
    }

    /// Whether it is this request's turn at a cold server: by chance, so that the sum over all routers keeps
    /// the told multiple. An even part of what its like are seen to answer, and of what is asked at most; for
    /// its keys mostly, at a reader, as often as they come. What it is sent warms it: more may follow.
    pub(super) fn cold_turn(
        &self,
        s: &Server,
        job: &Job,
        scene: &Scene,
        home: bool,
        now: f64,
    ) -> bool {
        if self.capacity(s, now) >= 1.0 {
            return true;
        }
        let (cold, (ready, able)) = (&self.set.slow_start, scene.ready[s.role as usize]);
        let age = ((now - s.told_at) / cold.warm_after_s.max(0.1)).clamp(0.0, 1.0);
        let likely = (cold.start_capacity * (COLD_GROWTH * age).exp()).min(1.0);
        let answers = self.answers[s.role as usize].1 * BLEND / (1.0 - BLEND);
        let even = (answers / able).min(1.0 / ready);
        let often = job.alike + scene.homes as f64 / ready;
        let keys = if home {
            COLD_KEYS_PART / often
        } else {
            1.0 - COLD_KEYS_PART
        };
        let part = even * if s.role == Role::Prefill { keys } else { 1.0 };
        self.draw(job, s) < COLD_PART * cold.overload_factor * likely * part
    }
}
