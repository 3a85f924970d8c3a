//! What the servers answer for this router: the rate of a mean warm server of each role, and the
//! speed of each server against that mean.
//!
//! The budget of a warming server depends on what that server can do by itself. Neither the demand
//! nor the number of servers that are away changes it.

use std::collections::BTreeMap;

use super::decay::age_weight;
use super::selection::DecisionContext;
use super::slow_start::RoleCapacity;
use crate::interface::{Role, ServerId};

/// Half-life, in seconds of one server's answering, of an answer in the rate of its role.
const RATE_HALF_LIFE_S: f64 = 60.0;
/// Answers of a role before its rate is known.
const MIN_ANSWERS: f64 = 8.0;
/// Half-life, in answers of a mean server, of an answer in the speed of a server.
const SPEED_HALF_LIFE_ANSWERS: f64 = 200.0;
/// Answers of a mean server by which the assumption that all servers are alike counts.
const ALIKE_ANSWERS: f64 = 8.0;
/// Lower bound of the speed of a server.
const MIN_SPEED: f64 = 0.3;
/// Servers whose speeds are kept, also while they are away.
const MAX_SPEEDS: usize = 8192;

/// Answers of one role, and the time in which its servers gave them.
#[derive(Clone, Copy, Debug, Default)]
struct RoleAnswers {
    answers: f64,
    /// Seconds of answering, summed over the role's servers, each by its capacity.
    server_seconds: f64,
    /// Capacity of the role's live servers, as a number of warm ones.
    warm_equivalents: f64,
    /// Answers that a mean server of the role has given so far.
    mean_server_answers: f64,
    observed_at: Option<f64>,
}

impl RoleAnswers {
    fn observe(&mut self, now: f64, capacity: RoleCapacity) {
        let elapsed_s = self.observed_at.map_or(0.0, |at| (now - at).max(0.0));
        // While no server of the role is live, nothing is learned and nothing is forgotten.
        let answering_s = elapsed_s * f64::from(self.warm_equivalents > 0.0);
        let weight = age_weight(0.0, answering_s, RATE_HALF_LIFE_S);
        self.answers *= weight;
        self.server_seconds = self.server_seconds * weight + elapsed_s * self.warm_equivalents;
        self.warm_equivalents = capacity.warm_equivalents;
        self.observed_at = Some(now);
    }

    fn per_server_s(&self) -> Option<f64> {
        let is_known = self.answers >= MIN_ANSWERS && self.server_seconds > 0.0;
        is_known.then(|| self.answers / self.server_seconds)
    }
}

/// Answers of one server while it was warm, and those of a mean server of its role meanwhile.
#[derive(Clone, Copy, Debug, Default)]
struct ServerAnswers {
    own: f64,
    mean: f64,
    /// [`RoleAnswers::mean_server_answers`] at the server's latest answer; `None` after a start.
    counted_to: Option<f64>,
}

/// Rates of the roles, and speeds of the servers.
#[derive(Debug, Default)]
pub(super) struct AnswerRates {
    /// Indexed by [`Role`].
    roles: [RoleAnswers; 3],
    servers: BTreeMap<ServerId, ServerAnswers>,
}

impl AnswerRates {
    /// Notes which servers of each role are live from now on.
    pub fn observe(&mut self, now: f64, context: &DecisionContext) {
        for (role, capacity) in self.roles.iter_mut().zip(context.role_capacities) {
            role.observe(now, capacity);
        }
    }

    /// Counts an answer of a server.
    pub fn record_answer(&mut self, id: ServerId, role: Role, is_warm: bool) {
        let of_role = &mut self.roles[role as usize];
        of_role.answers += 1.0;
        of_role.mean_server_answers += 1.0 / of_role.warm_equivalents.max(1.0);
        let mean_now = of_role.mean_server_answers;
        if !self.servers.contains_key(&id) && self.servers.len() >= MAX_SPEEDS {
            self.servers.pop_first();
        }
        let server = self.servers.entry(id).or_default();
        if !is_warm {
            server.counted_to = None;
            return;
        }
        if let Some(counted_to) = server.counted_to.replace(mean_now) {
            let mean = mean_now - counted_to;
            let weight = age_weight(0.0, mean, SPEED_HALF_LIFE_ANSWERS);
            server.own = server.own * weight + 1.0;
            server.mean = server.mean * weight + mean;
        }
    }

    /// Speed of a server as a multiple of the mean of its role, at most 1: what it answered when it
    /// was warm, also in an earlier process, is no more than it can do.
    pub fn speed(&self, id: ServerId) -> f64 {
        let Some(server) = self.servers.get(&id) else {
            return 1.0;
        };
        ((server.own + ALIKE_ANSWERS) / (server.mean + ALIKE_ANSWERS)).clamp(MIN_SPEED, 1.0)
    }

    /// Requests per second that this router's requests let a mean warm server of a role answer;
    /// `None` until some were answered.
    pub fn per_server_s(&self, role: Role) -> Option<f64> {
        self.roles[role as usize].per_server_s()
    }
}

#[cfg(test)]
#[path = "../part_tests/answer_rate.rs"]
mod tests;
