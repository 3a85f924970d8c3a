//! Estimates of the first-token time: the choice of the server that reads.

use super::*;

const READ_BASE_S: f64 = 0.02; // Prior of the read time at a mid-range machine: seconds of any read.
const READ_UNCACHED_S: f64 = 0.06; // The same: seconds for 1,000 tokens that are not cached.
const READ_TOTAL_S: f64 = 0.003; // The same: seconds for 1,000 tokens, cached or not.
const WRITER_READS: f64 = 3.0; // Times as long that a writer reads.
/// Half-life, in seconds, of a server's own load report against the mean of its kind.
const REPORT_HALF_S: f64 = 1.5;
const KIND_HALF_S: f64 = 5.0; // The same of a kind's mean report against the prior.
const FEWEST_HOMES: usize = 2; // Homes of a key, each of which reads it once, at least.
const HOMES_SHARE: f64 = 0.1; // The same as a share of readers.
/// Share of a prompt past its prefix that a session's first home is taken to hold.
const SESSION_SHARE: f64 = 0.6;
const FEW_ROUTERS: f64 = 4.0; // Routers that count as few: each knows the sessions that it has served.
/// Multiple of its read time that a read costs those behind it: spilled reads, uncached, feed a jam.
const READ_CARE: f64 = 1.0;
const SAME_SERVER_S: f64 = 1.0; // Seconds that a server costs where it has failed this request.
const LOSS_CARE: f64 = 4.0; // What a server's mean loss counts, as failures come in spells.
const ONCE_LOSS_CARE: f64 = 40.0; // The same for what may not be tried again.
/// Seconds by which a writer that reads must be quicker than a reader: it slows its running answers.
const WRITER_READ_S: f64 = 1.0;
const LIVE_SILENCE_S: f64 = 1.0; // Seconds of silence past which a server does not count as live.

pub(super) struct Estimate {
    pub server: ServerId,
    pub queue_s: f64,
    pub read_s: f64,
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
pub(super) struct Scene {
    pub cells: BTreeMap<u16, Cell>,
    pub all: Cell,
    pub ready: [(f64, f64); 3], // By role: how many there are, and how many warm ones could do as much.
    pub homes: usize,           // Number of homes that a key has.
}

impl Router {
    /// The mean of its like: one over both would make warm writers look empty, and cold readers jammed,
    /// to routers that have not heard of them, which rush to the ones and pass by the others.
    fn pool(&self, s: &Server, now: f64) -> Report {
        let cold = usize::from(self.capacity(s, now) < 1.0);
        let (mean, at) = self.pools[usize::from(s.entry.kind)][cold];
        mean.blend(
            [WARM_PRIOR, COLD_PRIOR][cold],
            fade((1.0, at), now, KIND_HALF_S),
        )
    }

    /// The last report, weighed by age against its kind's mean; without any, own part times dispatchers.
    pub(super) fn report(&self, s: &Server, now: f64) -> Report {
        let (own, many) = (s.own(|t| t.0) / s.memory, f64::from(self.set.dispatchers));
        if self.set.report_mode == ReportMode::Off {
            return Report {
                load: own * many,
                others: s.pending.len() as f64 * (many - 1.0) * 0.5,
            };
        }
        let load = (s.report.load + own - s.seen_tokens / s.memory).max(0.0);
        let seen = Report { load, ..s.report };
        seen.blend(
            self.pool(s, now),
            fade((1.0, s.seen_at), now, REPORT_HALF_S),
        )
    }

    /// Other dispatchers' reads at a server, in seconds; or delay lately seen beyond prediction, if larger.
    pub(super) fn others_s(&self, s: &Server, now: f64) -> f64 {
        let reads = if s.role == Role::Prefill {
            self.report(s, now).others
        } else {
            0.0
        };
        (reads * self.read_s(s, self.typical.0, self.typical.1)).max(s.excess(now))
    }

    /// Read time at a warm server: the prior for uncached and all tokens, times the pace that it has shown.
    pub(super) fn read_s(&self, s: &Server, uncached: f64, total: f64) -> f64 {
        let (fresh, all) = (
            READ_UNCACHED_S * uncached / 1000.0,
            READ_TOTAL_S * total / 1000.0,
        );
        let slower = if s.role == Role::Decode {
            WRITER_READS
        } else {
            1.0
        };
        (READ_BASE_S + fresh + all) * slower * s.pace
    }

    fn lightest_wait(scene: &Scene, from: &Server) -> f64 {
        let Some(cell) = scene.cells.get(&from.entry.cell) else {
            return 0.0;
        };
        let far = scene
            .all
            .wait
            .map(|wait| wait + cell.link + CELL_MARGIN * WRITER_LOAD_S);
        [cell.wait, far]
            .into_iter()
            .flatten()
            .min_by(f64::total_cmp)
            .unwrap_or(0.0)
    }

    fn estimate(
        &self,
        s: &Server,
        job: &Job,
        (homes, known): (&[ServerId], &KnownPrefixes),
        scene: &Scene,
        now: f64,
    ) -> Estimate {
        let ask = &job.ask;
        let home = homes.iter().position(|h| *h == s.entry.id);
        let capacity = self.capacity(s, now);
        // Among many routers a session unknown here has mostly had turns elsewhere; a few know their own.
        let turns = SESSION_SHARE * (1.0 - FEW_ROUTERS / f64::from(self.set.dispatchers)).max(0.0);
        let past = if home == Some(0) {
            ask.prompt_tokens - ask.prefix_tokens
        } else {
            0.0
        };
        let believed = (ask.prefix_tokens + turns * past).max(0.1 * ask.prompt_tokens);
        let at_home = if home.is_some() && capacity >= 1.0 {
            believed
        } else {
            0.0
        };
        let hit = known
            .hit(s)
            .max(at_home)
            .min((ask.prompt_tokens - 1.0).max(0.0));
        let read_s = self.read_s(s, ask.prompt_tokens - hit, ask.prompt_tokens) / capacity;
        let own_s = s.pending.values().map(|p| p.work_s).sum::<f64>();
        let queue_s = own_s + self.others_s(s, now) + s.overdue(now);
        let far = if s.entry.zone == self.set.zone {
            0.0
        } else {
            2.0 * CELL_MARGIN * WRITER_LOAD_S
        };
        let (write, dear) = match s.role {
            Role::Prefill => (Self::lightest_wait(scene, s), 0.0),
            Role::Decode => (
                self.write_wait(s, now),
                WRITER_READ_S + self.crowd(s, job, now),
            ),
            Role::Mixed => (self.write_wait(s, now), self.crowd(s, job, now)),
        };
        let total_s = queue_s + read_s + write + self.risk_s(s, job, now);
        let step = home.map_or(2.0 + self.draw(job, s), |h| h as f64) * SPREAD;
        // A slow read at a cold server holds up no more than a quick one, as the guard lets few behind it.
        let care_s = (READ_CARE + self.pool(s, now).others) * read_s * capacity;
        let price_s = total_s + care_s + far + dear + step;
        Estimate {
            server: s.entry.id,
            queue_s,
            read_s,
            total_s,
            price_s,
        }
    }

    /// What all candidates share, without the waits at decode servers: a choice of prefill server alone needs
    /// those.
    pub(super) fn scene(&self, now: f64) -> Scene {
        let links = self
            .links
            .iter()
            .map(|(cell, seen)| (*cell, fade(*seen, now, FADE_HALF_S)));
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
        let mut scene = Scene {
            cells,
            ..Scene::default()
        };
        for s in self.servers.values() {
            for (link, due) in s.pending.values().filter_map(|p| Some((p.link?, p.due))) {
                let cell = scene.cells.entry(link).or_default();
                cell.link = cell.link.max(now - due);
            }
            let (ready, able) = &mut scene.ready[s.role as usize];
            let live = f64::from(s.ready() && s.overdue(now).min(now - s.heard) < LIVE_SILENCE_S);
            (*ready, *able) = (*ready + live, *able + live * self.capacity(s, now));
            scene.homes +=
                usize::from(s.ready() && s.role == Role::Prefill && s.entry.zone == self.set.zone);
        }
        scene.homes = FEWEST_HOMES.max((scene.homes as f64 * HOMES_SHARE).round() as usize);
        scene
    }

    /// The same with the least waits at decode servers that a request may go to.
    fn scene_with_waits(&self, job: &Job, now: f64) -> Scene {
        let mut scene = self.scene(now);
        // Whoever may not go to an idle cold writer waits for another.
        let counted = Scene {
            ready: scene.ready,
            ..Scene::default()
        };
        let writes = |s: &&Server| s.role == Role::Decode && self.usable(s, job, now);
        let turn = |s: &&Server| self.cold_turn(s, job, &counted, false, now);
        for s in self.servers.values().filter(writes).filter(turn) {
            let wait =
                self.write_wait(s, now) + self.crowd(s, job, now) + s.overdue(now) + s.excess(now);
            for cell in [&mut scene.all, scene.cells.entry(s.entry.cell).or_default()] {
                cell.wait = Some(cell.wait.map_or(wait, |least| least.min(wait)));
            }
        }
        scene
    }

    pub(super) fn risk_s(&self, s: &Server, job: &Job, now: f64) -> f64 {
        let again = if job.attempts > 0 && job.at == s.entry.id {
            SAME_SERVER_S
        } else {
            0.0
        };
        again
            + fade(s.loss, now, FADE_HALF_S)
                * if self.once(job, s) {
                    ONCE_LOSS_CARE
                } else {
                    LOSS_CARE
                }
    }

    /// The mechanism: the lowest estimated first-token time among readers and mixed servers.
    pub(super) fn best_reader(&self, job: &Job, now: f64) -> Option<Estimate> {
        let scene = self.scene_with_waits(job, now);
        let homes = self.homes(now, job, &scene);
        let known = self.prefixes.known(&job.ask);
        let whole =
            self.set.decode_servers_prefill && self.class(job).effect != Effect::NonIdempotent;
        let may = |s: &&Server| {
            (whole || s.role != Role::Decode)
                && self.usable(s, job, now)
                && self.cold_turn(s, job, &scene, homes.contains(&s.entry.id), now)
        };
        let estimates = self
            .servers
            .values()
            .filter(may)
            .map(|s| self.estimate(s, job, (&homes, &known), &scene, now));
        estimates.min_by(|a, b| a.price_s.total_cmp(&b.price_s))
    }

    pub(super) fn draw(&self, job: &Job, s: &Server) -> f64 {
        (mix(mix(self.seed, u64::from(job.ask.id)), u64::from(s.entry.id)) >> 40) as f64
            / (1u64 << 24) as f64
    }
}
