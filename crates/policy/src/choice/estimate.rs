//! Estimates of the first-token time: the choice of the server that reads.

use super::*;

const PREFILL_BASE_S: f64 = 0.02; // Prior of the read time at a mid-range machine: seconds of any read.
const PREFILL_UNCACHED_S: f64 = 0.06; // The same: seconds for 1,000 tokens that are not cached.
const PREFILL_TOTAL_S: f64 = 0.003; // The same: seconds for 1,000 tokens, cached or not.
const DECODE_SERVER_PREFILL_RATIO: f64 = 3.0; // Times as long that a writer reads.
/// Half-life, in seconds, of a server's own load report against the mean of its kind.
const REPORT_HALF_LIFE_S: f64 = 1.5;
const ROLE_LOAD_HALF_LIFE_S: f64 = 5.0; // The same of a kind's mean report against the prior.
const MIN_PREFIX_REPLICAS: usize = 2; // Homes of a key, each of which reads it once, at least.
const PREFIX_REPLICA_FRACTION: f64 = 0.1; // The same as a share of readers.
/// Share of a prompt past its prefix that a session's first home is taken to hold.
const SESSION_CACHED_FRACTION: f64 = 0.6;
const FEW_DISPATCHERS: f64 = 4.0; // Routers that count as few: each knows the sessions that it has served.
/// Multiple of its read time that a read costs those behind it: spilled reads, uncached, feed a jam.
const PREFILL_CONGESTION_WEIGHT: f64 = 1.0;
const SAME_SERVER_PENALTY_S: f64 = 1.0; // Seconds that a server costs where it has failed this request.
const FAILURE_COST_WEIGHT: f64 = 4.0; // What a server's mean loss counts, as failures come in spells.
const SINGLE_ATTEMPT_FAILURE_COST_WEIGHT: f64 = 40.0; // The same for what may not be tried again.
/// Seconds by which a writer that reads must be quicker than a reader: it slows its running answers.
const DECODE_SERVER_PREFILL_PENALTY_S: f64 = 1.0;
const MAX_LIVE_SILENCE_S: f64 = 1.0; // Seconds of silence past which a server does not count as live.

pub(super) struct Estimate {
    pub server: ServerId,
    pub queue_s: f64,
    pub prefill_s: f64,
    pub total_s: f64, // The first-token time.
    pub price_s: f64, // The same with what it costs elsewhere.
}

#[derive(Default)]
pub(super) struct Cell {
    pub wait: Option<f64>, // Least wait at its writers that the request may go to.
    pub link: f64,         // Delay of states over its link.
}

/// What the candidates of one decision share, worked out once for it.
#[derive(Default)]
pub(super) struct DecisionContext {
    pub cells: BTreeMap<u16, Cell>,
    pub all: Cell,
    pub ready: [(f64, f64); 3], // By role: how many there are, and how many warm ones could do as much.
    pub prefix_replicas: usize, // Number of homes that a key has.
}

impl Router {
    /// The mean of its like: one over both would make warm writers look empty, and cold readers jammed,
    /// to routers that have not heard of them, which rush to the ones and pass by the others.
    fn similar_load(&self, server: &Server, now: f64) -> Report {
        let cold = usize::from(self.capacity(server, now) < 1.0);
        let (mean, at) = self.role_load[usize::from(server.entry.kind)][cold];
        mean.blend(
            [WARM_PRIOR, WARMING_PRIOR][cold],
            decayed((1.0, at), now, ROLE_LOAD_HALF_LIFE_S),
        )
    }

    /// The last report, weighed by age against its kind's mean; without any, own part times dispatchers.
    pub(super) fn report(&self, server: &Server, now: f64) -> Report {
        let (own, many) = (
            server.own(|t| t.0) / server.memory,
            f64::from(self.settings.dispatchers),
        );
        if self.settings.report_mode == ReportMode::Off {
            return Report {
                load: own * many,
                others: server.in_flight.len() as f64 * (many - 1.0) * 0.5,
            };
        }
        let load = (server.report.load + own - server.tokens_at_report / server.memory).max(0.0);
        let seen = Report {
            load,
            ..server.report
        };
        seen.blend(
            self.similar_load(server, now),
            decayed((1.0, server.reported_at), now, REPORT_HALF_LIFE_S),
        )
    }

    /// Other dispatchers' reads at a server, in seconds; or delay lately seen beyond prediction, if larger.
    pub(super) fn others_s(&self, server: &Server, now: f64) -> f64 {
        let reads = if server.role == Role::Prefill {
            self.report(server, now).others
        } else {
            0.0
        };
        (reads * self.prefill_s(server, self.typical_prompt.0, self.typical_prompt.1))
            .max(server.excess_delay(now))
    }

    /// Read time at a warm server: the prior for uncached and all tokens, times the pace that it has shown.
    pub(super) fn prefill_s(&self, server: &Server, uncached: f64, total: f64) -> f64 {
        let (fresh, all) = (
            PREFILL_UNCACHED_S * uncached / 1000.0,
            PREFILL_TOTAL_S * total / 1000.0,
        );
        let slower = if server.role == Role::Decode {
            DECODE_SERVER_PREFILL_RATIO
        } else {
            1.0
        };
        (PREFILL_BASE_S + fresh + all) * slower * server.pace
    }

    fn lightest_wait(context: &DecisionContext, from: &Server) -> f64 {
        let Some(cell) = context.cells.get(&from.entry.cell) else {
            return 0.0;
        };
        let far = context
            .all
            .wait
            .map(|wait| wait + cell.link + CELL_MARGIN * DECODE_LOAD_S);
        [cell.wait, far]
            .into_iter()
            .flatten()
            .min_by(f64::total_cmp)
            .unwrap_or(0.0)
    }

    fn estimate(
        &self,
        server: &Server,
        state: &RequestState,
        (prefix_replicas, known): (&[ServerId], &KnownPrefixes),
        context: &DecisionContext,
        now: f64,
    ) -> Estimate {
        let request = &state.request;
        let replica = prefix_replicas.iter().position(|h| *h == server.entry.id);
        let capacity = self.capacity(server, now);
        // Among many routers a session unknown here has mostly had turns elsewhere; a few know their own.
        let turns = SESSION_CACHED_FRACTION
            * (1.0 - FEW_DISPATCHERS / f64::from(self.settings.dispatchers)).max(0.0);
        let past = if replica == Some(0) {
            request.prompt_tokens - request.prefix_tokens
        } else {
            0.0
        };
        let believed = (request.prefix_tokens + turns * past).max(0.1 * request.prompt_tokens);
        let at_home = if replica.is_some() && capacity >= 1.0 {
            believed
        } else {
            0.0
        };
        let hit = known
            .hit(server)
            .max(at_home)
            .min((request.prompt_tokens - 1.0).max(0.0));
        let prefill_s =
            self.prefill_s(server, request.prompt_tokens - hit, request.prompt_tokens) / capacity;
        let own_s = server.in_flight.values().map(|p| p.work_s).sum::<f64>();
        let queue_s = own_s + self.others_s(server, now) + server.overdue(now);
        let far = if server.entry.zone == self.settings.zone {
            0.0
        } else {
            2.0 * CELL_MARGIN * DECODE_LOAD_S
        };
        let (write, dear) = match server.role {
            Role::Prefill => (Self::lightest_wait(context, server), 0.0),
            Role::Decode => (
                self.decode_wait_s(server, now),
                DECODE_SERVER_PREFILL_PENALTY_S + self.eviction_cost_s(server, state, now),
            ),
            Role::Mixed => (
                self.decode_wait_s(server, now),
                self.eviction_cost_s(server, state, now),
            ),
        };
        let total_s = queue_s + prefill_s + write + self.risk_s(server, state, now);
        let step = replica.map_or(2.0 + self.draw(state, server), |h| h as f64) * SPREAD;
        // A slow read at a cold server holds up no more than a quick one, as the guard lets few behind it.
        let care_s = (PREFILL_CONGESTION_WEIGHT + self.similar_load(server, now).others)
            * prefill_s
            * capacity;
        let price_s = total_s + care_s + far + dear + step;
        Estimate {
            server: server.entry.id,
            queue_s,
            prefill_s,
            total_s,
            price_s,
        }
    }

    /// What all candidates share, without the waits at decode servers: a choice of prefill server alone needs
    /// those.
    pub(super) fn context(&self, now: f64) -> DecisionContext {
        let links = self
            .links
            .iter()
            .map(|(cell, seen)| (*cell, decayed(*seen, now, HALF_LIFE_S)));
        let cells = links
            .map(|(cell, link)| {
                (
                    cell,
                    Cell {
                        link,
                        ..Cell::default()
                    },
                )
            })
            .collect();
        let mut context = DecisionContext {
            cells,
            ..DecisionContext::default()
        };
        for server in self.servers.values() {
            for (link, due) in server
                .in_flight
                .values()
                .filter_map(|p| Some((p.link?, p.due)))
            {
                let cell = context.cells.entry(link).or_default();
                cell.link = cell.link.max(now - due);
            }
            let (ready, able) = &mut context.ready[server.role as usize];
            let live = f64::from(
                server.ready()
                    && server.overdue(now).min(now - server.last_success_at) < MAX_LIVE_SILENCE_S,
            );
            (*ready, *able) = (*ready + live, *able + live * self.capacity(server, now));
            context.prefix_replicas += usize::from(
                server.ready()
                    && server.role == Role::Prefill
                    && server.entry.zone == self.settings.zone,
            );
        }
        context.prefix_replicas = MIN_PREFIX_REPLICAS
            .max((context.prefix_replicas as f64 * PREFIX_REPLICA_FRACTION).round() as usize);
        context
    }

    /// The same with the least waits at decode servers that a request may go to.
    fn context_with_waits(&self, state: &RequestState, now: f64) -> DecisionContext {
        let mut context = self.context(now);
        // Whoever may not go to an idle cold writer waits for another.
        let counted = DecisionContext {
            ready: context.ready,
            ..DecisionContext::default()
        };
        let writes =
            |server: &&Server| server.role == Role::Decode && self.usable(server, state, now);
        let turn = |server: &&Server| self.slow_start_admits(server, state, &counted, false, now);
        for server in self.servers.values().filter(writes).filter(turn) {
            let wait = self.decode_wait_s(server, now)
                + self.eviction_cost_s(server, state, now)
                + server.overdue(now)
                + server.excess_delay(now);
            for cell in [
                &mut context.all,
                context.cells.entry(server.entry.cell).or_default(),
            ] {
                cell.wait = Some(cell.wait.map_or(wait, |least| least.min(wait)));
            }
        }
        context
    }

    pub(super) fn risk_s(&self, server: &Server, state: &RequestState, now: f64) -> f64 {
        let again = if state.attempts > 0 && state.at == server.entry.id {
            SAME_SERVER_PENALTY_S
        } else {
            0.0
        };
        again
            + decayed(server.failure_cost, now, HALF_LIFE_S)
                * if self.single_attempt(state, server) {
                    SINGLE_ATTEMPT_FAILURE_COST_WEIGHT
                } else {
                    FAILURE_COST_WEIGHT
                }
    }

    /// The mechanism: the lowest estimated first-token time among readers and mixed servers.
    pub(super) fn best_prefill_server(&self, state: &RequestState, now: f64) -> Option<Estimate> {
        let context = self.context_with_waits(state, now);
        let prefix_replicas = self.prefix_replicas(now, state, &context);
        let known = self.prefixes.known(&state.request);
        let whole = self.settings.decode_servers_prefill
            && self.class(state).effect != Effect::NonIdempotent;
        let may = |server: &&Server| {
            (whole || server.role != Role::Decode)
                && self.usable(server, state, now)
                && self.slow_start_admits(
                    server,
                    state,
                    &context,
                    prefix_replicas.contains(&server.entry.id),
                    now,
                )
        };
        let estimates =
            self.servers.values().filter(may).map(|server| {
                self.estimate(server, state, (&prefix_replicas, &known), &context, now)
            });
        estimates.min_by(|a, b| a.price_s.total_cmp(&b.price_s))
    }

    pub(super) fn draw(&self, state: &RequestState, server: &Server) -> f64 {
        (hash_pair(
            hash_pair(self.seed, u64::from(state.request.id)),
            u64::from(server.entry.id),
        ) >> 40) as f64
            / (1u64 << 24) as f64
    }
}
