//! The decision module. Its types (settings, events, actions, ids) are in `src/interface.rs`.
//!
//! Sections: 1 tuned values; 2 servers; 3 requests; 4 events; 5 the list; 6 first-token estimates and the
//! prefix table; 7 writers; 8 admission; 9 the request machine (`launch` alone sends, `finish` alone ends);
//! 10 outcomes, health and learning; 11 cold servers; 12 timers.

use std::collections::{BTreeMap, VecDeque};

use crate::interface::*;

// ---- 1 tuned values -------------------------------------------------------------------------------

/// Prior of the read time: seconds, and seconds per 1,000 uncached and total tokens; a mid-range machine.
const READ_PRIOR: [f64; 3] = [0.02, 0.06, 0.003];
/// Uncached and total tokens of the read that stands for one whose prompt is not known.
const TYPICAL_TOKENS: (f64, f64) = (700.0, 2500.0);
/// Step of the online fit: slow enough to ride out noise, fast enough to settle within a minute.
const FIT_STEP: f64 = 0.08;
/// Weight of the newest sample in speed ratios and other moving averages.
const BLEND: f64 = 0.15;
/// Seconds an unused prefix entry is believed; readers evict at an unknown rate.
const PREFIX_AGE_S: f64 = 120.0;
/// A hit this much smaller than believed means that the reader has lost what it kept.
const LOST_SHARE: f64 = 0.5;
/// Seconds after which a load report no longer speaks for the present.
const REPORT_AGE_S: f64 = 1.5;
/// Seconds between probes of one server where reports come only on probes.
const PROBE_EVERY_S: f64 = 0.5;
/// Half-life, in seconds, of delay seen beyond prediction: about the time in which a queue turns over.
const EXCESS_HALF_S: f64 = 0.7;
/// The same for a cell's link, which carries fewer states.
const LINK_HALF_S: f64 = 2.0;
/// The same for delay beyond what was expected at admission.
const SLIP_HALF_S: f64 = 2.0;
/// Multiple of an estimate that it may add, so that a place which looks free is still tried.
const SLIP_MOST: f64 = 2.0;
/// Seconds a failure costs beyond the time it took: the next attempt's way and wait.
const FAILURE_COST_S: f64 = 0.1;
/// Seconds that the certain failure of an answer that may not be tried again stands for.
const UNSAFE_COST_S: f64 = 10.0;
/// Weight of the newest outcome in a server's trouble score.
const TROUBLE_BLEND: f64 = 0.3;
/// Expected loss, and mean time lost by a failure, in seconds, above which a server gets trials only.
const LOSS_BAR_S: (f64, f64) = (0.4, 0.2);
/// Half-life, in seconds, of expected loss at a server that gets nothing sent.
const LOSS_HALF_S: f64 = 3.0;
/// Seconds between trials of a barred server: the first, doubled with each trial that fails, and the most.
const TRIAL_EVERY_S: (f64, f64) = (1.0, 8.0);
/// Seconds of waiting that a full writer stands for, by share of its memory.
const WRITER_LOAD_S: f64 = 0.2;
/// Load by which another cell's writer must be lighter: a move costs a few points in a hundred.
const CELL_MARGIN: f64 = 0.08;
/// The same for another zone, where a token also takes several times as long.
const ZONE_MARGIN: f64 = 0.15;
/// Seconds by which another zone's reader must be quicker.
const ZONE_READ_S: f64 = 0.03;
/// Seconds by which a writer that reads must be quicker than a reader: it slows its running answers.
const WRITER_READ_S: f64 = 1.0;
/// Seconds for which a server that said `full` is passed over.
const FULL_PAUSE_S: f64 = 0.2;
/// Writer load at which answers begin to wait for memory.
const WRITER_FULL: f64 = 0.9;
/// Prior of the mean time an answer runs, in which a writer's memory turns over.
const TURNOVER_S: f64 = 5.0;
/// Share of the output ceiling that an answer holds of memory in the mean of its run.
const OUTPUT_SHARE: f64 = 0.2;
/// Refuse when the first token is expected later than this multiple of its aim.
const REFUSE_AT: f64 = 1.2;
/// The same for traffic over its tenant's share, which is worth little.
const REFUSE_OVER_AT: f64 = 0.35;
/// Further attempts earned by one arrival, and the most that can be saved up.
const RETRIES: (f64, f64) = (0.3, 20.0);
/// Share of the pin limit for which a state may wait for a writer.
const HOLD_SHARE: f64 = 0.5;
/// A time-out: multiple of the estimate, plus seconds. Long, since work that is dropped is work lost.
const PATIENCE: (f64, f64) = (3.0, 3.0);
/// Seconds past due after which an attempt is called back from a silent server; longer than a pause.
const SILENCE_S: f64 = 1.0;
/// Seconds between ticks.
const TICK_S: f64 = 0.05;
/// Share of the fall-over multiple that is used on the capacity a cold server surely has.
const COLD_CARE: f64 = 0.8;
/// Fall-over windows over which a cold server's budget is kept exactly; within one it is rounded up.
const COLD_MEMORY: f64 = 3.0;

// ---- 2 what is known of a server ------------------------------------------------------------------

/// One of this router's attempts that waits for its read or first token.
struct Pending {
    work_s: f64,
    due: f64,
    tokens: f64,
    link: Option<u16>, // The reader's cell, where the state crosses that cell's link.
}

/// The last load report.
struct Seen {
    at: f64,
    load: f64,   // Share of memory or slots in use, the larger.
    others: f64, // Requests of other dispatchers that wait or run.
    own_tokens: f64,
}

#[derive(Default)]
struct Server {
    entry: ServerEntry,
    role: Role,
    memory: f64,
    pending: BTreeMap<RequestId, Pending>,
    streams: BTreeMap<RequestId, f64>,
    trouble: f64, // Share of late outcomes that failed.
    lost_s: f64,  // Mean time that its failures took.
    last_trial: f64,
    trial_gap: f64,
    heard: f64,         // When anything was last heard of it.
    excess: (f64, f64), // Delay beyond prediction, and when it was seen.
    pace: f64,          // Time taken against the fit, over both stages' own samples.
    seen: Option<Seen>,
    full_until: f64,
    next_probe: f64,
    recent: VecDeque<f64>, // Times of the sends within the cold rule's window.
}

impl Server {
    fn new(entry: ServerEntry, kind: &KindSettings, now: f64) -> Self {
        let memory = kind.memory_tokens.max(1.0);
        Server { entry, role: kind.role, memory, pace: 1.0, next_probe: now, ..Server::default() }
    }

    /// One outcome: 0 good, 1 bad.
    fn mark(&mut self, now: f64, bad: f64, took: f64) {
        self.lost_s += bad * 0.5 * (sane(took) - self.lost_s);
        if bad == 0.0 {
            (self.heard, self.trial_gap) = (now, TRIAL_EVERY_S.0);
        } else if self.costly() {
            self.trial_gap = (2.0 * self.trial_gap).clamp(TRIAL_EVERY_S.0, TRIAL_EVERY_S.1);
        }
        self.trouble += TROUBLE_BLEND * (bad - self.trouble);
    }

    /// Seconds that its failures (errors, resets, silence alike) add to an attempt: quick ones empty a queue
    /// and would make it look the best choice, yet lose little of a read, so that it still takes some load.
    fn loss_s(&self) -> f64 {
        self.trouble / (1.05 - self.trouble) * (self.lost_s + FAILURE_COST_S)
    }

    /// Whether it is worth trials only: its failures take long. One that fails at once is priced instead, as
    /// the state still waits and the next server is a moment away: shut out, it would jam the others.
    fn costly(&self) -> bool {
        self.loss_s() > LOSS_BAR_S.0 && self.lost_s > LOSS_BAR_S.1
    }

    fn own_tokens(&self) -> f64 {
        self.pending.values().map(|p| p.tokens).sum::<f64>() + self.streams.values().sum::<f64>()
    }

    fn excess(&self, now: f64) -> f64 {
        fade(self.excess, now, EXCESS_HALF_S)
    }

    /// Age beyond its due time of the oldest own attempt that has not been heard of. A paused, slow, dead
    /// or cut-off server shows first as this, whatever the cause; it harms a server only while it is late.
    fn overdue(&self, now: f64) -> f64 {
        self.late(now, None)
    }

    fn sends_since(&self, then: f64) -> f64 {
        self.recent.iter().filter(|&&t| t > then).count() as f64
    }

    /// The oldest own attempt's age beyond its due time, of those over a cell's link or over none.
    fn late(&self, now: f64, link: Option<u16>) -> f64 {
        self.pending.values().filter(|p| p.link == link).map(|p| now - p.due).fold(0.0, f64::max)
    }

    fn report(&self, now: f64) -> Option<&Seen> {
        self.seen.as_ref().filter(|s| now - s.at < REPORT_AGE_S)
    }
}

/// Online linear fit of the read time for one kind of server.
struct Fit([f64; 3]);

impl Fit {
    fn features(uncached: f64, total: f64) -> [f64; 3] {
        [1.0, uncached / 1000.0, total / 1000.0]
    }

    fn predict(&self, uncached: f64, total: f64) -> f64 {
        let x = Self::features(uncached, total);
        self.0.iter().zip(x).map(|(w, x)| w * x).sum::<f64>().max(0.001)
    }

    /// Surprises upwards are mostly other traffic's queue, so that they pull less than those downwards.
    fn learn(&mut self, uncached: f64, total: f64, took: f64) {
        let x = Self::features(uncached, total);
        let guess = self.predict(uncached, total);
        let err = (took - guess).clamp(-guess, guess);
        let step = FIT_STEP * if err > 0.0 { 0.4 } else { 1.0 } * err / x.iter().map(|v| v * v).sum::<f64>();
        for (w, x) in self.0.iter_mut().zip(x) {
            *w = (*w + step * x).clamp(0.0, 2.0);
        }
    }
}

// ---- 3 requests -----------------------------------------------------------------------------------

#[derive(Clone, Copy, Default, PartialEq)]
enum Stage {
    Out, // An attempt is out whose server reads, writes or does both.
    Held {
        since: f64,
    }, // A state waits at this reader and no attempt is out.
    Streaming, // The answer runs; it is the client's.
    /// Nothing is out and nothing is held.
    #[default]
    Idle,
}

#[derive(Clone, Default)]
struct Job {
    ask: Request,
    deadline: f64,
    stage: Stage,
    attempts: u32,
    at: ServerId, // Server of the attempt that is out, or that streams, and when it was sent.
    sent: f64,
    state_at: Option<ServerId>, // The reader that holds the state.
    believed_hit: f64,
    queue_s: f64,
    failed_at: Vec<ServerId>, // Servers that failed it.
    /// The first attempt that may have had an effect: server and time of sending.
    may_have_run: Option<(ServerId, f64)>,
    over: bool, // The final answer is given; only an outcome is waited for.
    first_after: f64,
    promised: f64, // When its first token was expected, at admission.
}

struct Estimate {
    server: ServerId,
    queue_s: f64,
    read_s: f64,
    hit: f64,
    total_s: f64,
}

/// Prefix table key: sessions and shared prefixes have number spaces of their own.
type PrefixKey = (bool, u64);

/// One dispatcher's decisions.
pub struct Router {
    set: Settings,
    seed: u64,
    servers: BTreeMap<ServerId, Server>,
    jobs: BTreeMap<RequestId, Job>,
    prefixes: BTreeMap<PrefixKey, BTreeMap<ServerId, (f64, f64)>>,
    fits: Vec<Fit>,
    /// Per cell: delay of states over its link beyond prediction, and when it was seen.
    links: BTreeMap<u16, (f64, f64)>,
    turnover_s: f64,            // Mean time that answers run.
    allowance: Vec<(f64, f64)>, // Per tenant: requests in hand within the share, and when counted.
    lateness: (f64, f64),       // Mean first-token delay beyond promise, and when it was seen.
    retries: f64,
    ticking: bool,
    next_sweep: f64,
}

fn mix(a: u64, b: u64) -> u64 {
    let z = (a ^ b.wrapping_mul(0x9E37_79B9_7F4A_7C15)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let z = (z ^ (z >> 31)).wrapping_mul(0x94D0_49BB_1331_11EB);
    z ^ (z >> 32)
}

/// A value seen some time ago, faded by its half-life.
fn fade((value, at): (f64, f64), now: f64, half_s: f64) -> f64 {
    value * 0.5f64.powf((now - at).max(0.0) / half_s)
}

fn sane(v: f64) -> f64 {
    Some(v).filter(|v| v.is_finite() && *v > 0.0).unwrap_or(0.0)
}

const TICK_LABEL: u64 = u64::MAX;

// ---- 4 entry and events ---------------------------------------------------------------------------

impl Router {
    pub fn new(settings: Settings, seed: u64) -> Self {
        let slower = |k: &KindSettings| if k.role == Role::Writer { 3.0 } else { 1.0 };
        Router {
            fits: settings.kinds.iter().map(|k| Fit(READ_PRIOR.map(|w| w * slower(k)))).collect(),
            allowance: vec![(f64::INFINITY, 0.0); settings.tenants.len()],
            set: settings,
            seed,
            servers: BTreeMap::new(),
            jobs: BTreeMap::new(),
            prefixes: BTreeMap::new(),
            links: BTreeMap::new(),
            turnover_s: TURNOVER_S,
            lateness: (0.0, 0.0),
            retries: RETRIES.1 / 2.0,
            ticking: false,
            next_sweep: 0.0,
        }
    }

    /// Takes one event at clock time `now` and appends what is to be done.
    pub fn handle(&mut self, now: f64, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Servers { form, entries } => self.on_list(now, form, entries, out),
            Event::Arrival(ask) => self.on_arrival(now, ask, out),
            Event::FirstToken { request, server, elapsed_s: t, .. } => {
                self.on_first_token(now, request, server, t)
            }
            Event::AttemptEnded(end) => self.on_end(now, end, out),
            Event::ClientGone { request } => {
                self.cancel(request, out);
                self.finish(request, None, out);
            }
            Event::Timer { label } => self.on_timer(now, label, out),
            Event::ProbeEnded { server, outcome, elapsed_s, report } => {
                self.take_report(now, server, &report);
                self.on_probe(now, server, outcome, elapsed_s);
            }
            Event::PlaceAnswer { .. } | Event::PeerMessage { .. } => {}
        }
        self.keep_ticking(now, out);
    }

    // ---- 5 the server list ------------------------------------------------------------------------

    fn on_list(&mut self, now: f64, form: ListForm, entries: Vec<ServerEntry>, out: &mut Vec<Action>) {
        if self.set.must_subscribe && matches!(form, ListForm::Cached | ListForm::Failed) {
            out.push(Action::Subscribe);
        }
        if form == ListForm::Failed {
            return;
        }
        if form != ListForm::Delta {
            let missing = |s: &&mut Server| !entries.iter().any(|e| e.id == s.entry.id);
            self.servers.values_mut().filter(missing).for_each(|s| s.entry.standing = Standing::Gone);
        }
        for entry in entries {
            self.on_entry(now, entry);
        }
        let idle = |s: &Server| s.pending.is_empty() && s.streams.is_empty();
        self.servers.retain(|_, s| s.entry.standing != Standing::Gone || !idle(s));
    }

    fn on_entry(&mut self, now: f64, mut entry: ServerEntry) {
        let Some(kind) = self.set.kinds.get(usize::from(entry.kind)) else { return };
        entry.weight = if sane(entry.weight) > 0.0 { entry.weight } else { 1.0 };
        entry.booted_at = sane(entry.booted_at);
        let (id, fresh) = (entry.id, Server::new(entry.clone(), kind, now));
        let server = match self.servers.remove(&id) {
            Some(old) if old.entry.booted_at == entry.booted_at => Server { entry, ..old },
            Some(old) => {
                self.forget(id); // A new process: what the old one kept and how it behaved is gone.
                Server { pending: old.pending, streams: old.streams, ..fresh }
            }
            None => fresh,
        };
        self.servers.insert(id, server);
    }

    /// Drops all that the prefix table credits to a server.
    fn forget(&mut self, id: ServerId) {
        self.prefixes.retain(|_, held| {
            held.remove(&id);
            !held.is_empty()
        });
    }

    // ---- 6 first-token estimates and the prefix table ----------------------------------------------

    fn keys(ask: &Request) -> [(PrefixKey, f64); 2] {
        [((true, ask.session), ask.prompt_tokens), ((false, ask.prefix), ask.prefix_tokens)]
    }

    /// Home of a key not known to be held: the highest hash over the readers of this zone, else over all.
    fn home(&self, now: f64, ask: &Request) -> Option<ServerId> {
        let key = if ask.prefix != 0 { ask.prefix } else { ask.session };
        let ready = |s: &&Server| s.role == Role::Reader && s.entry.standing == Standing::Ready;
        let warm = self.servers.values().filter(ready).filter(|s| self.capacity(s, now) >= 1.0);
        let rank = |e: &&ServerEntry| (e.zone == self.set.zone, mix(key, u64::from(e.id)));
        warm.map(|s| &s.entry).max_by_key(rank).map(|e| e.id)
    }

    fn known_hit(&self, id: ServerId, ask: &Request) -> f64 {
        let held =
            |(key, most)| self.prefixes.get(&key).and_then(|h| h.get(&id)).map_or(0.0, |h| h.0.min(most));
        Self::keys(ask).into_iter().map(held).fold(0.0, f64::max)
    }

    /// Other dispatchers' reads at a server, in seconds: the last report where there is one, else this
    /// router's own share scaled by their number; or delay lately seen beyond prediction, if larger.
    fn others_s(&self, s: &Server, own_s: f64, now: f64) -> f64 {
        let mean = self.typical_read(s) * s.pace;
        let scaled = own_s * f64::from(self.set.dispatchers - 1) * 0.5;
        s.report(now).map_or(scaled, |seen| seen.others * mean).max(s.excess(now))
    }

    fn typical_read(&self, s: &Server) -> f64 {
        self.fits[usize::from(s.entry.kind)].predict(TYPICAL_TOKENS.0, TYPICAL_TOKENS.1)
    }

    fn estimate(&self, s: &Server, job: &Job, home: Option<ServerId>, now: f64) -> Estimate {
        let ask = &job.ask;
        let known = self.known_hit(s.entry.id, ask);
        let at_home =
            home.filter(|h| *h == s.entry.id).map(|_| ask.prefix_tokens.max(0.1 * ask.prompt_tokens));
        let hit = known.max(at_home.unwrap_or(0.0)).min((ask.prompt_tokens - 1.0).max(0.0));
        let slow = s.pace / self.capacity(s, now);
        let fit = &self.fits[usize::from(s.entry.kind)];
        let read_s = fit.predict(ask.prompt_tokens - hit, ask.prompt_tokens) * slow;
        let own_s = s.pending.values().map(|p| p.work_s).sum::<f64>();
        let queue_s = own_s + self.others_s(s, own_s, now) + s.overdue(now);
        let far = if s.entry.zone == self.set.zone { 0.0 } else { ZONE_READ_S };
        let whole = s.role != Role::Reader;
        let far = far + if s.role == Role::Writer { WRITER_READ_S } else { 0.0 };
        let write = if whole { self.write_wait(self.load(s, now)) } else { self.lightest_wait(s, now) };
        let total_s = queue_s + read_s + far + write + self.risk_s(s, job, now);
        Estimate { server: s.entry.id, queue_s, read_s, hit: known, total_s }
    }

    fn risk_s(&self, s: &Server, job: &Job, now: f64) -> f64 {
        let once = self.class(job).effect == Effect::Unsafe && s.role != Role::Reader;
        let again = if job.failed_at.contains(&s.entry.id) { FAILURE_COST_S } else { 0.0 };
        // A trial that is due goes at no price; other losses fade, so that nobody is priced out for good.
        let trial = s.costly() && now - s.last_trial >= s.trial_gap;
        let loss = if trial { 0.0 } else { fade((s.loss_s(), s.last_trial), now, LOSS_HALF_S) };
        again + loss + if once { s.trouble * UNSAFE_COST_S } else { 0.0 }
    }

    /// The mechanism: the lowest estimated first-token time among readers and mixed servers.
    fn best_reader(&self, job: &Job, now: f64) -> Option<Estimate> {
        let known = |(key, _): (PrefixKey, f64)| key.1 != 0 && self.prefixes.contains_key(&key);
        let seen = Self::keys(&job.ask).into_iter().any(known);
        let home = if seen { None } else { self.home(now, &job.ask) };
        let price = |s: &Server| {
            let e = self.estimate(s, job, home, now);
            (e.total_s, e)
        };
        let whole = self.set.writers_read && self.class(job).effect != Effect::Unsafe;
        let not = if whole { None } else { Some(Role::Writer) };
        self.cheapest(job, now, not, price)
    }

    /// The usable server of the least price; barred ones when nothing else is left: never exclude everybody.
    fn cheapest<T>(
        &self,
        job: &Job,
        now: f64,
        not: Option<Role>,
        price: impl Fn(&Server) -> (f64, T),
    ) -> Option<T> {
        let fits = |s: &&Server| Some(s.role) != not && self.usable(s, job, now);
        let rank = |s: &Server| (self.barred(s, job, now), price(s));
        let least =
            |a: &(bool, (f64, T)), b: &(bool, (f64, T))| a.0.cmp(&b.0).then(a.1 .0.total_cmp(&b.1 .0));
        self.servers.values().filter(fits).map(rank).min_by(least).map(|r| r.1 .1)
    }

    // ---- 7 writers --------------------------------------------------------------------------------

    /// Load of a writer: the last report plus what was sent since, or own streams scaled by the number of
    /// dispatchers; in shares of memory, or of slots where those are scarcer.
    fn load(&self, s: &Server, now: f64) -> f64 {
        let own = s.own_tokens();
        let since = |seen: &Seen| (seen.load + (own - seen.own_tokens) / s.memory).max(own / s.memory);
        let scaled = own * f64::from(self.set.dispatchers) / s.memory;
        s.report(now).map_or(scaled, since) / self.capacity(s, now)
    }

    /// Seconds that an answer would wait at a writer's load: little, until memory or slots run out.
    fn write_wait(&self, load: f64) -> f64 {
        load * WRITER_LOAD_S + (load - WRITER_FULL).max(0.0) * self.turnover_s
    }

    /// Delay seen on a cell's link, or the age of an overdue move over it. Far moves are laid at the link,
    /// near ones at the writer: a slow link keeps traffic in its cell and bars no writer. Harm: a slow writer
    /// that gets far moves alone makes a link look slow for some seconds.
    fn link_delay(&self, cell: u16, now: f64) -> f64 {
        let seen = self.links.get(&cell).map_or(0.0, |l| fade(*l, now, LINK_HALF_S));
        self.servers.values().map(|s| s.late(now, Some(cell))).fold(seen, f64::max)
    }

    /// The least wait for a first token that a read at a server can count on.
    fn lightest_wait(&self, from: &Server, now: f64) -> f64 {
        let link = self.link_delay(from.entry.cell, now);
        let writes = |s: &&Server| s.role == Role::Writer && s.entry.standing == Standing::Ready;
        let wait = |s: &Server| {
            let far = if s.entry.cell == from.entry.cell { 0.0 } else { link };
            self.write_wait(self.load(s, now)) + s.overdue(now) + s.excess(now) + far
        };
        self.servers.values().filter(writes).map(wait).min_by(f64::total_cmp).unwrap_or(0.0)
    }

    fn best_writer(&self, job: &Job, now: f64) -> Option<ServerId> {
        let from = job.state_at.and_then(|id| self.servers.get(&id)).map(|s| (s.entry.cell, s.entry.zone));
        let link = from.map_or(0.0, |(cell, _)| self.link_delay(cell, now));
        let writers = || self.servers.values().filter(|s| s.role == Role::Writer).map(|s| s.entry.weight);
        let mean = writers().sum::<f64>() / writers().count().max(1) as f64;
        let price = |s: &Server| {
            let apart = match from {
                Some((cell, _)) if cell == s.entry.cell => 0.0,
                Some((_, zone)) if zone != s.entry.zone => ZONE_MARGIN + link,
                _ => CELL_MARGIN + link,
            };
            let (size, mixed) = if s.role == Role::Mixed { (1.0, 0.3) } else { (s.entry.weight / mean, 0.0) };
            let tie = (mix(self.seed ^ u64::from(job.ask.id), u64::from(s.entry.id)) % 1000) as f64 * 1e-5;
            let delay = s.overdue(now) + s.excess(now) + self.risk_s(s, job, now);
            let load = self.load(s, now);
            let price = load / size + self.write_wait(load) + delay + apart + mixed + tie;
            (price, s.entry.id)
        };
        self.cheapest(job, now, Some(Role::Reader), price)
    }

    // ---- 8 admission ------------------------------------------------------------------------------

    fn on_arrival(&mut self, now: f64, mut ask: Request, out: &mut Vec<Action>) {
        ask.class = ask.class.min(self.set.classes.len().saturating_sub(1) as u16);
        ask.prompt_tokens = sane(ask.prompt_tokens).max(1.0);
        ask.prefix_tokens = sane(ask.prefix_tokens).min(ask.prompt_tokens);
        ask.max_output_tokens = sane(ask.max_output_tokens).max(1.0);
        let (id, left) = (ask.id, sane(ask.time_left_s));
        let class = &self.set.classes[usize::from(ask.class)];
        let aim = class.ttft_aim_s + class.ttft_aim_per_token_s * ask.prompt_tokens;
        let over = self.over_share(now, ask.tenant);
        let job = Job { ask, deadline: now + left, ..Job::default() };
        self.retries = (self.retries + RETRIES.0).min(RETRIES.1);
        let late = if over { aim * REFUSE_OVER_AT } else { aim * REFUSE_AT };
        let guess = self.best_reader(&job, now);
        let slip = self.slip(now).min(SLIP_MOST * guess.as_ref().map_or(0.0, |e| e.total_s));
        let promised = now + guess.as_ref().map_or(0.0, |e| e.total_s);
        self.jobs.insert(id, Job { promised, ..job });
        let at = now + (left - 2.0 * self.set.tick_s).max(0.0);
        out.push(Action::SetTimer { at, label: u64::from(id) });
        match guess {
            Some(e) if e.total_s + slip <= late.min(left) => self.send_read(now, id, e, out),
            Some(e) => self.give_up(id, (e.total_s + slip - late).max(0.2), out),
            None => self.give_up(id, 1.0, out),
        }
    }

    /// Seconds by which first tokens come later than was expected at admission: as seen of late, or the mean
    /// age past it of those that wait. Corrects the estimate for whatever it does not see (other routers'
    /// traffic, an unknown trouble). Harm: refuses some that a healthy part of the fleet could have served.
    fn slip(&self, now: f64) -> f64 {
        let waits = |j: &&Job| !j.over && j.stage != Stage::Streaming;
        let ages = || self.jobs.values().filter(waits).map(|j| (now - j.promised).max(0.0));
        fade(self.lateness, now, SLIP_HALF_S).max(ages().sum::<f64>() / ages().count().max(1) as f64)
    }

    /// Whether a tenant's traffic here runs above this router's part of its share.
    fn over_share(&mut self, now: f64, tenant: u32) -> bool {
        let Some(slot) = self.allowance.get_mut(tenant as usize) else { return false };
        let part = self.set.tenants[tenant as usize].quota_rps / f64::from(self.set.dispatchers);
        let burst = (2.0 * part).max(1.0);
        let left = (slot.0 + (now - slot.1) * part).min(burst);
        *slot = ((left - 1.0).max(0.0), now);
        left < 1.0
    }

    // ---- 9 the request machine --------------------------------------------------------------------

    fn class(&self, job: &Job) -> &ClassSettings {
        &self.set.classes[usize::from(job.ask.class)]
    }

    /// Whether the rules let a request go to a server now.
    fn usable(&self, s: &Server, job: &Job, now: f64) -> bool {
        s.entry.standing == Standing::Ready
            && now >= s.full_until
            && self.cold_room(s, now)
            && self.may_repeat_at(s, job, now)
    }

    fn may_repeat_at(&self, s: &Server, job: &Job, now: f64) -> bool {
        let Some((first, since)) = job.may_have_run else { return true };
        match self.class(job).effect {
            Effect::Safe => true,
            Effect::Unsafe => false,
            Effect::Keyed { scope, window_s } => {
                let group = |e: &ServerEntry| if scope == KeyScope::Zone { e.zone } else { e.cell };
                let same = self.servers.get(&first).is_some_and(|f| group(&f.entry) == group(&s.entry));
                (same || scope == KeyScope::All) && now - since < window_s * 0.9
            }
        }
    }

    fn may_refuse(&self, job: &Job) -> bool {
        let any = matches!(self.class(job).effect, Effect::Safe | Effect::Keyed { scope: KeyScope::All, .. });
        any || job.may_have_run.is_none() && job.stage != Stage::Out
    }

    /// Trial traffic only: the score is high and a trial was made of late. Unsafe answers are no trials.
    fn barred(&self, s: &Server, job: &Job, now: f64) -> bool {
        let once = self.class(job).effect == Effect::Unsafe && s.role != Role::Reader;
        s.costly() && (once || now - s.last_trial < s.trial_gap)
    }

    fn send_read(&mut self, now: f64, id: RequestId, e: Estimate, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        (job.believed_hit, job.queue_s) = (e.hit, e.queue_s);
        let expected = e.queue_s + e.read_s;
        self.launch(now, id, (e.server, e.read_s, expected), out);
    }

    fn send_write(&mut self, now: f64, id: RequestId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id) else { return };
        let patience = self.set.pin_limit_s * HOLD_SHARE;
        match self.best_writer(job, now) {
            Some(w) => {
                let wait = 0.15 + self.servers.get(&w).map_or(0.0, |s| self.write_wait(self.load(s, now)));
                self.launch(now, id, (w, 0.02, wait), out);
            }
            // No writer can take the state now: it waits a little within the pin limit.
            None if matches!(job.stage, Stage::Held { since } if now - since <= patience) => {}
            None => self.give_up(id, 0.5, out),
        }
    }

    /// The one place that sends. Refuses what a rule forbids, whatever the caller chose.
    fn launch(&mut self, now: f64, id: RequestId, plan: (ServerId, f64, f64), out: &mut Vec<Action>) {
        let (to, work_s, expected) = plan;
        let patience = expected * PATIENCE.0 + PATIENCE.1;
        let (Some(job), Some(s)) = (self.jobs.get(&id), self.servers.get(&to)) else { return };
        let tokens = job.ask.prompt_tokens + OUTPUT_SHARE * job.ask.max_output_tokens;
        let allowed = !job.over
            && matches!(job.stage, Stage::Idle | Stage::Held { .. })
            && job.attempts < self.set.limits.max_attempts
            && now < job.deadline
            && self.usable(s, job, now);
        if !allowed {
            return self.give_up(id, 0.5, out);
        }
        let holder = job.state_at.and_then(|id| self.servers.get(&id)).map(|r| r.entry.cell);
        let link = holder.filter(|cell| *cell != s.entry.cell);
        let unsafe_write = self.class(job).effect == Effect::Unsafe && s.role != Role::Reader;
        let timeout_s = if unsafe_write { 0.0 } else { patience.min(job.deadline - now) };
        let (Some(job), Some(s)) = (self.jobs.get_mut(&id), self.servers.get_mut(&to)) else { return };
        (job.stage, job.at, job.sent, job.attempts) = (Stage::Out, to, now, job.attempts + 1);
        s.pending.insert(id, Pending { work_s, due: now + expected, tokens, link });
        s.recent.push_back(now);
        s.recent.retain(|t| now - t <= COLD_MEMORY * self.set.cold.window_s);
        s.last_trial = now;
        out.push(Action::Send { request: id, server: to, timeout_s });
    }

    fn give_up(&mut self, id: RequestId, retry_after_s: f64, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id) else { return };
        let retry_after_s = retry_after_s.min(self.set.limits.max_retry_after_s.max(0.0));
        let refusal = Action::Refuse { request: id, retry_after_s };
        let answer = if self.may_refuse(job) { refusal } else { Action::Fail { request: id } };
        self.finish(id, Some(answer), out);
    }

    /// The one place that ends a request: gives the final answer, if it is owed, and lets go of its state.
    fn finish(&mut self, id: RequestId, answer: Option<Action>, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if !std::mem::replace(&mut job.over, true) {
            out.extend(answer);
        }
        if matches!(job.stage, Stage::Out | Stage::Streaming) {
            return;
        }
        if job.state_at.is_some() {
            out.push(Action::Release { request: id });
        }
        self.jobs.remove(&id);
    }

    fn cancel(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let cancellable = |j: &&Job| j.stage == Stage::Out && !j.over && self.set.limits.may_cancel;
        if let Some(job) = self.jobs.get(&id).filter(cancellable) {
            out.push(Action::Cancel { request: id, attempt: (job.attempts - 1) as u16 });
        }
    }

    // ---- 10 outcomes, health and learning ---------------------------------------------------------

    fn on_first_token(&mut self, now: f64, id: RequestId, server: ServerId, elapsed: f64) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.stage = Stage::Streaming;
        let slip = (now - job.promised).max(0.0);
        let before = fade(self.lateness, now, SLIP_HALF_S);
        self.lateness = (before + 0.5 * BLEND * (slip - before), now);
        job.first_after = sane(elapsed);
        job.state_at = None;
        let Some(s) = self.servers.get_mut(&server) else { return };
        if let Some(p) = s.pending.remove(&id) {
            let (seen, half) = match p.link {
                None => (&mut s.excess, EXCESS_HALF_S),
                Some(cell) => (self.links.entry(cell).or_default(), LINK_HALF_S),
            };
            *seen = (0.5 * fade(*seen, now, half) + 0.5 * (now - p.due).max(0.0), now);
            s.streams.insert(id, p.tokens);
        }
        s.mark(now, 0.0, elapsed);
    }

    fn on_end(&mut self, now: f64, end: AttemptEnd, out: &mut Vec<Action>) {
        let s = self.servers.get_mut(&end.server);
        let waited = s.is_some_and(|s| {
            s.streams.remove(&end.request);
            s.pending.remove(&end.request).is_some()
        });
        self.take_report(now, end.server, &end.report);
        let Some(job) = self.jobs.get(&end.request).filter(|j| j.at == end.server) else { return };
        let (id, job) = (end.request, job.clone());
        self.judge(now, &end, &job, waited);
        let Some(j) = self.jobs.get_mut(&id) else { return };
        let reader = self.servers.get(&end.server).is_some_and(|s| s.role == Role::Reader);
        use Outcome::{ConnectFailed, Full, Moot, ReadDone};
        let never_ran = matches!(end.outcome, ReadDone | Full { .. } | ConnectFailed | Moot);
        if !never_ran && !reader && j.may_have_run.is_none() {
            j.may_have_run = Some((end.server, j.sent));
        }
        j.state_at = match end.outcome {
            Outcome::ReadDone => Some(end.server),
            Outcome::Full { state_gone: true } => None,
            _ => j.state_at,
        };
        j.stage = if j.state_at.is_some() { Stage::Held { since: now } } else { Stage::Idle };
        if end.finished || j.over {
            j.over = true;
            return self.finish(id, None, out);
        }
        if end.outcome != Outcome::ReadDone {
            j.failed_at.push(end.server);
        }
        self.go_on(now, id, end.outcome, out);
    }

    /// The next step after an outcome that did not finish the request.
    fn go_on(&mut self, now: f64, id: RequestId, outcome: Outcome, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id) else { return };
        let spent = self.class(job).effect == Effect::Unsafe && job.may_have_run.is_some();
        if spent || now + 2.0 * self.set.tick_s >= job.deadline || outcome == Outcome::Moot {
            return self.give_up(id, 0.2, out);
        }
        if outcome != Outcome::ReadDone {
            if self.retries < 1.0 {
                return self.give_up(id, 0.5, out);
            }
            self.retries -= 1.0;
        }
        if job.state_at.is_some() {
            return self.send_write(now, id, out);
        }
        match self.best_reader(job, now) {
            Some(e) if now + e.total_s < job.deadline => self.send_read(now, id, e, out),
            _ => self.give_up(id, 0.5, out),
        }
    }

    /// Health, speed, prefix table and fits from one outcome.
    fn judge(&mut self, now: f64, end: &AttemptEnd, job: &Job, waited: bool) {
        let cut = now + 2.0 * self.set.tick_s >= job.deadline;
        let mark = match end.outcome {
            Outcome::Served | Outcome::ReadDone => Some(0.0),
            Outcome::Error | Outcome::Reset | Outcome::ConnectFailed => Some(1.0),
            Outcome::TimedOut | Outcome::Cancelled if !cut && !job.over && waited => Some(1.0),
            _ => None,
        };
        let Some(s) = self.servers.get_mut(&end.server) else { return };
        let whole = s.role != Role::Reader && job.state_at.is_none();
        mark.into_iter().for_each(|bad| s.mark(now, bad, end.elapsed_s));
        if matches!(end.outcome, Outcome::Full { state_gone: false }) {
            s.full_until = now + FULL_PAUSE_S;
        }
        if end.outcome == Outcome::Served {
            let ran = (sane(end.elapsed_s) - job.first_after).max(0.1);
            self.turnover_s += 0.1 * BLEND * (ran - self.turnover_s);
        }
        match end.outcome {
            Outcome::ReadDone => self.learn_read(now, end, job, sane(end.elapsed_s)),
            Outcome::Served if whole => self.learn_read(now, end, job, job.first_after),
            _ => {}
        }
    }

    fn learn_read(&mut self, now: f64, end: &AttemptEnd, job: &Job, took: f64) {
        let hit = sane(end.prefix_hit_tokens).min(job.ask.prompt_tokens);
        if hit < LOST_SHARE * job.believed_hit {
            // The reader lost what it kept (flush, silent restart, eviction): believe nothing of it that
            // has not been read again. Eviction of one text alone costs the others' credit for one read.
            self.forget(end.server);
        }
        for (key, tokens) in Self::keys(&job.ask).into_iter().filter(|(key, n)| key.1 != 0 && *n > 0.0) {
            self.prefixes.entry(key).or_default().insert(end.server, (tokens, now));
        }
        let capacity = self.servers.get(&end.server).map_or(1.0, |s| self.capacity(s, now));
        let Some(s) = self.servers.get_mut(&end.server) else { return };
        let fit = &mut self.fits[usize::from(s.entry.kind)];
        let total = job.ask.prompt_tokens;
        let alone = fit.predict(total - hit, total);
        if job.queue_s < 0.5 * alone {
            // Only reads that met no queue of ours tell of speed; a queue unseen is the excess's part.
            fit.learn(total - hit, total, took * capacity / s.pace);
            let ratio = ((took - job.queue_s) * capacity / alone).clamp(0.3, 8.0);
            let step = if ratio > s.pace { 0.5 * BLEND } else { BLEND };
            s.pace = (s.pace + step * (ratio - s.pace)).clamp(0.6, 8.0);
        }
        let surprise = (took - job.queue_s - alone * s.pace / capacity).max(0.0);
        s.excess = (0.5 * s.excess(now) + 0.5 * surprise, now);
    }

    fn take_report(&mut self, now: f64, id: ServerId, report: &[f64]) {
        let told = !report.is_empty() && report.iter().all(|v| v.is_finite());
        let Some(s) = self.servers.get_mut(&id).filter(|_| told) else { return };
        let reads = s.role == Role::Reader;
        let own_held = (s.pending.len() + s.streams.len()) as f64;
        let mut seen = Seen { at: now, load: 0.0, others: 0.0, own_tokens: s.own_tokens() };
        for (field, &value) in self.set.report_fields.iter().zip(report) {
            match field {
                ReportField::SlotShare if !reads => seen.load = seen.load.max(value),
                ReportField::MemoryShare => seen.load = seen.load.max(value),
                ReportField::Concurrent if reads => seen.others = (0.5 * (value - own_held)).max(0.0),
                ReportField::Queue if reads => seen.others = (value - own_held).max(0.0),
                _ => {}
            }
        }
        s.seen = Some(seen);
    }

    fn on_probe(&mut self, now: f64, id: ServerId, outcome: Outcome, elapsed: f64) {
        let dead = matches!(outcome, Outcome::ConnectFailed | Outcome::Reset);
        self.servers.get_mut(&id).filter(|_| dead).into_iter().for_each(|s| s.mark(now, 1.0, elapsed));
    }

    // ---- 11 cold servers --------------------------------------------------------------------------

    /// Share of its capacity that a server likely has: a straight line from the told start to the warm time.
    fn capacity(&self, s: &Server, now: f64) -> f64 {
        let cold = &self.set.cold;
        if s.entry.booted_at <= 0.0 || now >= s.entry.booted_at + cold.warm_after_s {
            return 1.0;
        }
        let age = (now - s.entry.booted_at).max(0.0) / cold.warm_after_s.max(0.1);
        (cold.start_capacity + (1.0 - cold.start_capacity) * age).clamp(0.05, 1.0)
    }

    /// Own-share budget of sends to a cold server: what warm servers of its role get from this router, times
    /// the told multiple of the capacity that it surely has. Every router doing so keeps the sum, with
    /// nothing agreed; within the budget its price decides, which counts the capacity it likely has.
    fn cold_room(&self, s: &Server, now: f64) -> bool {
        let capacity = self.capacity(s, now);
        if capacity >= 1.0 {
            return true;
        }
        let cold = &self.set.cold;
        let ready = |o: &&Server| o.role == s.role && o.entry.standing == Standing::Ready;
        let warm = || self.servers.values().filter(ready).filter(|o| self.capacity(o, now) >= 1.0);
        let count = warm().count().max(1) as f64;
        let usual =
            |windows: f64| warm().map(|o| o.sends_since(now - windows * cold.window_s)).sum::<f64>() / count;
        let busy = match s.role {
            Role::Reader => {
                usual(1.0) / cold.window_s * self.typical_read(s) * f64::from(self.set.dispatchers)
            }
            _ => warm().map(|o| self.load(o, now)).sum::<f64>() / count,
        };
        let share = COLD_CARE * cold.overload_factor * cold.start_capacity / busy.clamp(0.5, 2.0);
        let room = |windows: f64, slack: f64| {
            let spent = s.sends_since(now - windows * cold.window_s) + 1.0;
            spent <= (usual(COLD_MEMORY) * share * windows / COLD_MEMORY + slack).max(1.0)
        };
        room(1.0, 0.9) && room(COLD_MEMORY, 0.0)
    }

    // ---- 12 timers --------------------------------------------------------------------------------

    fn keep_ticking(&mut self, now: f64, out: &mut Vec<Action>) {
        if !self.ticking && (!self.jobs.is_empty() || self.probes_pay()) {
            self.ticking = true;
            out.push(Action::SetTimer { at: now + TICK_S, label: TICK_LABEL });
        }
    }

    /// Probes pay only where they are the one source of load reports.
    fn probes_pay(&self) -> bool {
        self.set.report_mode == ReportMode::OnProbe && self.set.limits.may_probe
    }

    fn on_timer(&mut self, now: f64, label: u64, out: &mut Vec<Action>) {
        if label == TICK_LABEL {
            self.ticking = false;
            return self.on_tick(now, out);
        }
        let id = label as RequestId;
        let due = |j: &&Job| now + 3.0 * self.set.tick_s >= j.deadline && j.stage != Stage::Streaming;
        if self.jobs.get(&id).filter(due).is_some() {
            self.cancel(id, out);
            self.finish(id, Some(Action::Fail { request: id }), out);
        }
    }

    /// Calls attempts back from servers that have said nothing since: dead but listed, cut off, hung. Other
    /// answers from it in the meantime mean a queue, where calling back would only waste work. Harm: a
    /// server with one long read of ours and no other traffic may lose that read.
    fn call_back_silent(&mut self, now: f64, out: &mut Vec<Action>) {
        let silent = |(id, j): (&RequestId, &Job)| {
            let s = self.servers.get(&j.at).filter(|s| j.stage == Stage::Out && s.heard < j.sent)?;
            let once = self.class(j).effect == Effect::Unsafe && s.role != Role::Reader;
            let due = s.pending.get(id)?.due;
            (!once && now - due > SILENCE_S + (due - j.sent)).then_some(*id)
        };
        let calls: Vec<RequestId> = self.jobs.iter().filter_map(silent).collect();
        calls.into_iter().for_each(|id| self.cancel(id, out));
    }

    fn on_tick(&mut self, now: f64, out: &mut Vec<Action>) {
        let held = |(id, j): (&RequestId, &Job)| matches!(j.stage, Stage::Held { .. }).then_some(*id);
        let waiting: Vec<RequestId> = self.jobs.iter().filter_map(held).collect();
        for id in waiting {
            self.send_write(now, id, out);
        }
        self.call_back_silent(now, out);
        if self.probes_pay() {
            let due = |s: &&mut Server| s.entry.standing == Standing::Ready && now >= s.next_probe;
            for s in self.servers.values_mut().filter(due) {
                s.next_probe = now + PROBE_EVERY_S;
                out.push(Action::Probe { server: s.entry.id });
            }
        }
        if now >= self.next_sweep {
            self.next_sweep = now + 5.0;
            self.prefixes.retain(|_, held| {
                held.retain(|_, h| now - h.1 < PREFIX_AGE_S);
                !held.is_empty()
            });
        }
    }
}
