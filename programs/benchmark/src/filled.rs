//! The same as [`crate::engines`] in simulated time, with lengths known as well as they can be: the decision module's routers before
//! engines, without sockets. It shows what the use of lengths is worth, whatever learning adds or loses.

use std::collections::BTreeMap;

use bitternlatch_engine::{Constants, Engine, Id, Input, Output, Prompt, Request as Job, Work};
use bitternlatch_policy::choice::Router;
use bitternlatch_policy::interface::*;

use crate::engines::{
    fill, mean, patience_s, plan, row, take, writer, Asked, Got, Seen, DISPATCHERS, KINDS, MEMORY,
    READERS, WARM_S, WRITERS,
};

const BOOKING: u16 = 1;

fn settings() -> Settings {
    let class = |effect, aim, thousand, gap, deadline_s, worth, late_worth| ClassSettings {
        effect,
        ttft_objective_s: aim,
        ttft_objective_per_token_s: thousand * 1e-6,
        inter_token_objective_s: gap,
        deadline_s,
        priority_weight: worth,
        late_weight_fraction: late_worth,
    };
    let kind = |role, memory_tokens| KindSettings {
        role,
        memory_tokens,
    };
    Settings {
        dispatchers: DISPATCHERS as u32,
        zone: 0,
        classes: vec![
            class(Effect::Idempotent, 1.5, 40.0, 0.07, 6.0, 1.0, 0.3),
            class(Effect::NonIdempotent, 2.5, 120.0, 0.08, 12.0, 2.0, 0.2),
        ],
        tenants: vec![],
        kinds: vec![
            kind(Role::Prefill, 200_000.0),
            kind(Role::Decode, MEMORY as f64),
        ],
        report_fields: vec![
            ReportField::SlotUtilization,
            ReportField::Queue,
            ReportField::MemoryUtilization,
        ],
        report_mode: ReportMode::WithResponses,
        slow_start: SlowStart {
            start_capacity: 0.25,
            overload_factor: 2.5,
            window_s: 3.0,
            warm_after_s: 14.0,
        },
        limits: Limits {
            max_attempts: 4,
            may_cancel: true,
            may_probe: false,
            max_retry_after_s: 5.0,
            connect_timeout_s: 0.25,
        },
        kv_hold_limit_s: 1.0,
        over_quota_weight_fraction: 1.0,
        must_subscribe: false,
        lost_prefill_may_have_run: false,
        decode_servers_prefill: false,
        tick_s: 0.002,
    }
}

enum Due {
    Arrival(usize),
    Engine(usize),
    Timer(usize, u64),
    Told(usize, Box<Event>),
}

/// One attempt at an engine.
struct Attempt {
    request: usize,
    number: u16,
    host: usize,
    sent: f64,
}

#[derive(Default)]
struct Asking {
    attempts: u16,
    /// Where its state waits.
    state: Option<(usize, Id)>,
    out: Option<(usize, Id)>,
    first: Option<f64>,
    over: bool,
}

struct Play<'a> {
    asked: &'a [Asked],
    lengths: bool,
    ceiling: u32,
    routers: Vec<Router>,
    engines: Vec<Engine>,
    wakes: Vec<Option<(u64, u64)>>,
    due: BTreeMap<(u64, u64), Due>,
    serial: u64,
    attempts: BTreeMap<Id, Attempt>,
    asking: Vec<Asking>,
    seen: Seen,
    gap_aim_s: f64,
}

/// Seconds on the way between a dispatcher and a host.
const WAY_S: f64 = 0.0003;

impl Play<'_> {
    fn after(&mut self, at: f64, due: Due) -> (u64, u64) {
        self.serial += 1;
        let key = (at.max(0.0).to_bits(), self.serial);
        self.due.insert(key, due);
        key
    }

    fn run(&mut self) {
        while let Some(((bits, _), due)) = self.due.pop_first() {
            let now = f64::from_bits(bits);
            match due {
                Due::Arrival(n) => self.arrive(now, n),
                Due::Engine(host) => {
                    self.wakes[host] = None;
                    self.tell(now, host, Input::Time);
                }
                Due::Timer(router, label) => self.handle(now, router, Event::Timer { label }),
                Due::Told(router, event) => self.handle(now, router, *event),
            }
        }
    }

    fn arrive(&mut self, now: f64, n: usize) {
        let asked = &self.asked[n];
        let kind = &KINDS[asked.kind];
        let [from, to] = kind.answer.map(|t| t as f64);
        let told = ExpectedTokens {
            mean: mean(kind.answer),
            p90: from + 0.9 * (to - from),
        };
        let class = if kind.class == "slot-query" {
            0
        } else {
            BOOKING
        };
        let ask = Request {
            id: n as u32 + 1,
            class,
            session: n as u64 + 1,
            prompt_tokens: asked.prompt as f64,
            max_output_tokens: f64::from(self.ceiling),
            output_tokens: self.lengths.then_some(told),
            time_left_s: if class == BOOKING { 12.0 } else { 6.0 },
            ..Request::default()
        };
        if now >= WARM_S {
            for (i, engine) in self.engines[READERS..].iter().enumerate() {
                let facts = engine.facts();
                let used = facts.used_blocks as f64 / facts.memory_blocks as f64;
                self.seen.used.push(used);
                if i == 0 {
                    self.seen.most_used.push(used);
                } else if let Some(most) = self.seen.most_used.last_mut() {
                    *most = most.max(used);
                }
            }
        }
        self.handle(now, n % DISPATCHERS, Event::Arrival(ask));
    }

    fn handle(&mut self, now: f64, router: usize, event: Event) {
        let mut out = Vec::new();
        self.routers[router].handle(now, event, &mut out);
        for action in out {
            match action {
                Action::Send {
                    request, server, ..
                } => self.send(now, request as usize - 1, server as usize),
                Action::Cancel { request, .. } => {
                    let out = self.asking[request as usize - 1].out.take();
                    if let Some((host, id)) = out {
                        self.tell(now, host, Input::Cancel(id));
                        self.ended(now, host, id, Outcome::Cancelled);
                    }
                }
                Action::Reject { request, .. } => {
                    self.over(request as usize - 1, Err("refused".into()))
                }
                Action::Fail { request } => self.over(request as usize - 1, Err("failed".into())),
                // What an attempt waits for is not let go of.
                Action::Release { request, .. }
                    if self.asking[request as usize - 1].out.is_some() => {}
                Action::Release { request, .. } => {
                    if let Some((host, id)) = self.asking[request as usize - 1].state.take() {
                        self.tell(now, host, Input::Release(id));
                    }
                }
                Action::SetTimer { at, label } => {
                    self.after(at.max(now), Due::Timer(router, label));
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, now: f64, n: usize, server: usize) {
        let host = server - 1;
        let asked = &self.asked[n];
        let ask = &mut self.asking[n];
        ask.attempts += 1;
        self.serial += 1;
        let id = Id(self.serial);
        ask.out = Some((host, id));
        let answer = asked.answer as u32;
        let work = if host < READERS {
            Work::Read
        } else {
            Work::FetchAndWrite { answer }
        };
        let marks = (0..asked.prompt / 64)
            .map(|b| (n as u64) << 16 | b)
            .collect();
        let prompt = Prompt {
            tokens: asked.prompt,
            marks,
        };
        self.attempts.insert(
            id,
            Attempt {
                request: n,
                number: ask.attempts - 1,
                host,
                sent: now,
            },
        );
        self.tell(now, host, Input::Submit(Job { id, prompt, work }));
    }

    fn tell(&mut self, now: f64, host: usize, input: Input) {
        let mut said = Vec::new();
        self.engines[host].step(now, input, &mut said);
        said.into_iter().for_each(|what| self.said(now, host, what));
        let next = self.engines[host].next_at().map(f64::to_bits);
        if self.wakes[host].map(|w| w.0) != next {
            if let Some(old) = self.wakes[host].take() {
                self.due.remove(&old);
            }
            self.wakes[host] = next.map(|bits| self.after(f64::from_bits(bits), Due::Engine(host)));
        }
    }

    fn said(&mut self, now: f64, host: usize, what: Output) {
        match what {
            Output::Refused { id, .. } => self.ended(
                now,
                host,
                id,
                Outcome::Rejected {
                    state_missing: false,
                },
            ),
            Output::Read { id, .. } => {
                if let Some(a) = self.attempts.get(&id) {
                    self.asking[a.request].state = Some((host, id));
                }
                self.ended(now, host, id, Outcome::PrefillDone);
            }
            Output::Fetched { id } => {
                let state = self
                    .attempts
                    .get(&id)
                    .and_then(|a| self.asking[a.request].state.take());
                match state.filter(|(reader, state)| self.engines[*reader].holds(*state)) {
                    Some((reader, state)) => {
                        self.tell(now, reader, Input::Release(state));
                        self.tell(now, host, Input::Taken(id));
                    }
                    None => {
                        self.tell(now, host, Input::Cancel(id));
                        self.ended(
                            now,
                            host,
                            id,
                            Outcome::Rejected {
                                state_missing: true,
                            },
                        );
                    }
                }
            }
            Output::Token {
                id, number, last, ..
            } => self.token(now, host, id, (number, last)),
            Output::Preempted { .. } => self.seen.preempted += usize::from(now >= WARM_S),
            Output::Expired { .. } => {}
        }
    }

    fn token(&mut self, now: f64, host: usize, id: Id, (number, last): (u32, bool)) {
        let Some(a) = self.attempts.get(&id) else {
            return;
        };
        let (n, attempt, sent) = (a.request, a.number, a.sent);
        if number == 1 {
            self.asking[n].first = Some(now);
            let (request, server, elapsed_s) = (n as u32 + 1, host as u32 + 1, now - sent);
            let event = Event::FirstToken {
                request,
                attempt,
                server,
                elapsed_s,
            };
            self.after(now + WAY_S, Due::Told(n % DISPATCHERS, Box::new(event)));
        }
        if last {
            let first = self.asking[n].first.unwrap_or(now);
            let (kind, gap_s) = (
                self.asked[n].kind,
                (now - first) / f64::from(number.saturating_sub(1).max(1)),
            );
            self.over(
                n,
                Ok(Got {
                    kind,
                    first_s: first - self.asked[n].at_s,
                    gap_s,
                }),
            );
            self.ended(now, host, id, Outcome::Served);
        }
    }

    fn ended(&mut self, now: f64, host: usize, id: Id, outcome: Outcome) {
        let Some(a) = self.attempts.remove(&id) else {
            return;
        };
        self.asking[a.request].out = None;
        let facts = self.engines[host].facts();
        let report = vec![
            facts.slots_used as f64 / 64.0,
            facts.waiting as f64,
            facts.used_blocks as f64 / facts.memory_blocks as f64,
        ];
        let event = Event::AttemptEnded(AttemptEnd {
            request: a.request as u32 + 1,
            attempt: a.number,
            server: a.host as u32 + 1,
            outcome,
            elapsed_s: now - a.sent,
            finished: outcome == Outcome::Served,
            prefix_hit_tokens: 0.0,
            output_tokens: None,
            report,
        });
        self.after(
            now + WAY_S,
            Due::Told(a.request % DISPATCHERS, Box::new(event)),
        );
    }

    fn over(&mut self, n: usize, came: Result<Got, String>) {
        if !std::mem::replace(&mut self.asking[n].over, true) && self.asked[n].at_s >= WARM_S {
            take(&mut self.seen, self.asked[n].kind, came, self.gap_aim_s);
        }
    }
}

fn way(
    lengths: bool,
    asked: &[Asked],
    gap_aim_s: f64,
    ceiling: u32,
    seed: u64,
) -> Result<Seen, String> {
    let engine = |i: usize| {
        let constants = if i < READERS {
            Constants::default()
        } else {
            writer()?
        };
        Engine::new(constants).map_err(|e| e.to_string())
    };
    let engines = (0..READERS + WRITERS)
        .map(engine)
        .collect::<Result<Vec<_>, String>>()?;
    let mut play = Play {
        asked,
        lengths,
        ceiling,
        routers: (0..DISPATCHERS as u64)
            .map(|n| Router::new(settings(), seed * 100 + n))
            .collect(),
        wakes: vec![None; engines.len()],
        engines,
        due: BTreeMap::new(),
        serial: 0,
        attempts: BTreeMap::new(),
        asking: asked.iter().map(|_| Asking::default()).collect(),
        seen: Seen::default(),
        gap_aim_s,
    };
    let entry = |i: usize| ServerEntry {
        id: i as u32 + 1,
        status: ServerStatus::Ready,
        kind: u16::from(i >= READERS),
        weight: 1.0,
        ..ServerEntry::default()
    };
    let entries: Vec<_> = (0..READERS + WRITERS).map(entry).collect();
    for router in 0..DISPATCHERS {
        let event = Event::Servers {
            form: ListForm::Full,
            entries: entries.clone(),
        };
        play.handle(0.0, router, event);
    }
    for (n, one) in asked.iter().enumerate() {
        play.after(one.at_s, Due::Arrival(n));
    }
    play.run();
    play.seen.sort();
    Ok(play.seen)
}

/// Both ways over some seeds.
pub fn measure(share: f64, seconds: f64, rounds: u64, ceiling: u32) -> Result<(), String> {
    let fill = fill(share);
    let mut both = [Seen::default(), Seen::default()];
    for seed in 1..=rounds {
        let asked = plan(fill.rate, seconds, seed);
        for on in [false, true] {
            let seen = way(on, &asked, patience_s(&fill), ceiling, seed)?;
            both[usize::from(on)].add(seen);
        }
    }
    for (seen, name) in both.iter_mut().zip(["off", "on"]) {
        seen.sort();
        row(name, seen);
    }
    let [off, on] = both;
    println!(
        "on beside off: preempted {:.2}, worth with a first token in time {:.3}, worth whole in time {:.3}",
        on.preempted as f64 / off.preempted.max(1) as f64,
        on.first_in_time / off.first_in_time,
        on.whole_in_time / off.whole_in_time
    );
    Ok(())
}
