//! The actors: dispatcher, worker, tool.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use bitternlatch_membership::NameKey;
use bitternlatch_quota_lease::{ClusterService, Process, ServiceInput, ServiceOutput};
use bitternlatch_simulation::{ms, Node, Sent};
use bitternlatch_workflow::*;

pub const STEPS: u32 = 10;

#[derive(Clone, Debug)]
pub enum Req {
    Claim,
    Step { epoch: u64, step: u32 },
    Finish { epoch: u64 },
    Settle { step: u32, outcome: AttemptOutcome },
}

#[derive(Clone, Debug)]
pub enum Ans {
    Claimed { epoch: u64, steps: Vec<Step> },
    Result(String),
    Held,
    Refused(RejectReason),
}

#[derive(Clone, Debug)]
pub enum Message {
    Frame(Process, Vec<u8>),
    Command {
        id: u64,
        worker: String,
        workflow: u32,
        req: Req,
    },
    Reply {
        id: u64,
        workflow: u32,
        ans: Ans,
    },
    Call {
        call: Call,
        workflow: u32,
        step: u32,
    },
    Result {
        call: Call,
        result: String,
    },
}

pub fn name(workflow: u32) -> String {
    format!("tenant/owner/{workflow}")
}

/// Of three steps one is safe, one keyed, one unsafe.
pub fn effect(step: u32) -> Effect {
    [Effect::Unsafe, Effect::Safe, Effect::Keyed][step as usize % 3]
}

/// What all that is judged is read from.
#[derive(Default)]
pub struct Seen {
    /// Runs of each step, as the tool counts them; keyed ones once a key.
    pub effects: BTreeMap<(u32, u32), u32>,
    /// Results that a worker was told.
    pub told: BTreeMap<(u32, u32), String>,
    pub finished: BTreeSet<u32>,
    /// Workflows that stopped, and which step a person is asked about.
    pub stopped: BTreeMap<u32, RejectReason>,
    pub wrong: Vec<String>,
    /// What workers were refused last, for who reads a failure.
    pub refused: BTreeMap<u32, RejectReason>,
    calls: BTreeSet<(usize, Call)>,
}

/// Stops one dispatcher before the so-and-so-manieth thing that any of them does.
#[derive(Default)]
pub struct Trap {
    pub after: Cell<Option<u32>>,
    pub frozen: Cell<Option<usize>>,
}

pub struct Chance(pub u64);

impl Chance {
    pub fn below(&mut self, n: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let z = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        let z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        (z ^ (z >> 31)) % n.max(1)
    }
}

pub type Disk = BTreeMap<Vec<u8>, Vec<u8>>;

/// Something that happens a moment later within one process.
enum Soon {
    Kept(Vec<u64>, Vec<(Vec<u8>, Option<Vec<u8>>)>),
    Send { call: Call, until_us: u64 },
    GiveUp(Call),
}

struct Asked {
    from: usize,
    id: u64,
    workflow: u32,
    req: Req,
    result: Option<String>,
    answered: bool,
    until_us: u64,
}

pub struct Dispatcher {
    pub place: usize,
    pub own: Process,
    pub machine: Workflows,
    pub disk: Disk,
    pub disk_full: bool,
    pub frozen: bool,
    places: BTreeMap<NameKey, usize>,
    tool: usize,
    pending: VecDeque<ServiceOutput<Event>>,
    stash: Vec<(usize, Message)>,
    soon: BTreeMap<(Duration, u64), Soon>,
    asked: BTreeMap<Call, Asked>,
    calls: u64,
    chance: Chance,
    trap: Rc<Trap>,
    seen: Rc<RefCell<Seen>>,
}

pub struct Made {
    pub place: usize,
    pub of: usize,
    pub start: u64,
    pub seed: u64,
    pub settings: Settings,
    pub safety_checks: SafetyChecks,
}

impl Dispatcher {
    pub fn new(
        made: Made,
        now: Duration,
        disk: Disk,
        trap: Rc<Trap>,
        seen: Rc<RefCell<Seen>>,
    ) -> Dispatcher {
        let key = |i: usize| NameKey::of(&format!("d{i}"));
        let own = Process {
            name: key(made.place),
            start: made.start,
        };
        let roster = (0..made.of).map(key).collect();
        let seed = made.seed ^ made.start << 8 ^ made.place as u64;
        let machine = Workflows::with_safety_checks(
            own,
            roster,
            &made.settings,
            true,
            seed,
            now,
            made.safety_checks,
        );
        let mut dispatcher = Dispatcher {
            place: made.place,
            own,
            machine,
            disk_full: false,
            frozen: false,
            places: (0..made.of).map(|i| (key(i), i)).collect(),
            tool: made.of,
            pending: VecDeque::new(),
            stash: vec![],
            soon: BTreeMap::new(),
            asked: BTreeMap::new(),
            calls: made.start << 32,
            chance: Chance(seed),
            trap,
            seen,
            disk: Disk::new(),
        };
        let found = disk.clone().into_iter().collect();
        dispatcher.disk = disk;
        let mut out = vec![];
        dispatcher.give(now, ServiceInput::Loaded(Ok(found)), &mut out);
        dispatcher
    }

    pub fn give(&mut self, now: Duration, given: ServiceInput<Command>, out: &mut Sent<Message>) {
        let mut wanted = vec![];
        self.machine.step(now, given, &mut wanted);
        self.pending.extend(wanted);
        self.work(now, out);
    }

    /// Does what is wanted, one by one, unless it is stopped before one of them.
    fn work(&mut self, now: Duration, out: &mut Sent<Message>) {
        let (mut tickets, mut batch) = (vec![], vec![]);
        while !self.frozen {
            let Some(wanted) = self.pending.pop_front() else {
                break;
            };
            if let Some(left) = self.trap.after.get() {
                self.trap.after.set(left.checked_sub(1));
                if left == 0 {
                    self.trap.frozen.set(Some(self.place));
                    self.frozen = true;
                    self.pending.push_front(wanted);
                    break;
                }
            }
            match wanted {
                ServiceOutput::SendFrame(to, said) => {
                    out.push((self.places[&to], Message::Frame(self.own, said)))
                }
                ServiceOutput::Persist {
                    ticket,
                    name,
                    bytes,
                } => {
                    tickets.push(ticket);
                    batch.push((name, bytes));
                }
                ServiceOutput::Event(told) => self.told(now, told, out),
                ServiceOutput::SendDatagram(..) | ServiceOutput::Log { .. } => {}
            }
        }
        if !tickets.is_empty() {
            self.later(now, 300, Soon::Kept(tickets, batch));
        }
    }

    fn later(&mut self, from: Duration, us: u64, soon: Soon) {
        let at = from + Duration::from_micros(100 + self.chance.below(us));
        self.calls += 1;
        self.soon.insert((at, self.calls), soon);
    }

    fn call(&mut self, now: Duration, asked: Asked) -> (Call, u64) {
        self.calls += 1;
        let until_us = (now + ms(2500)).as_micros() as u64;
        self.asked
            .insert(Call(self.calls), Asked { until_us, ..asked });
        (Call(self.calls), until_us)
    }

    fn ask(
        &mut self,
        now: Duration,
        from: usize,
        id: u64,
        worker: String,
        workflow: u32,
        req: Req,
    ) -> Command {
        let asked = Asked {
            from,
            id,
            workflow,
            req: req.clone(),
            result: None,
            answered: false,
            until_us: 0,
        };
        let (call, until_us) = self.call(now, asked);
        let text = name(workflow);
        match req {
            Req::Claim => Command::Claim {
                call,
                workflow: text,
                worker,
                until_us,
            },
            Req::Step { epoch, step } => {
                let (key, request_digest) = (format!("{workflow}-{step}"), u64::from(step));
                Command::Intend {
                    call,
                    workflow: text,
                    epoch,
                    step,
                    effect: effect(step),
                    key,
                    request_digest,
                    until_us,
                }
            }
            Req::Finish { epoch } => Command::Finish {
                call,
                workflow: text,
                epoch,
                cancelled: false,
                until_us,
            },
            Req::Settle { step, outcome } => Command::Settle {
                call,
                workflow: text,
                step,
                outcome,
                until_us,
            },
        }
    }

    fn told(&mut self, now: Duration, told: Event, out: &mut Sent<Message>) {
        let call = match &told {
            Event::Claimed { call, .. }
            | Event::SendPermitted { call, .. }
            | Event::AlreadyDone { call, .. } => *call,
            Event::Committed { call } | Event::Rejected { call, .. } => *call,
        };
        if let Event::SendPermitted { until_us, .. } = told {
            self.later(now, 1500, Soon::Send { call, until_us });
            if let Some(asked) = self.asked.get_mut(&call) {
                asked.answered = true;
            }
            return;
        }
        let Some(asked) = self.asked.remove(&call) else {
            return self
                .seen
                .borrow_mut()
                .wrong
                .push(format!("answered twice: {told:?}"));
        };
        if now.as_micros() as u64 > asked.until_us {
            self.seen
                .borrow_mut()
                .wrong
                .push(format!("answered late: {told:?}"));
        }
        let ans = match told {
            Event::Claimed { epoch, steps, .. } => Ans::Claimed { epoch, steps },
            Event::AlreadyDone { result, .. } => Ans::Result(result),
            Event::Committed { .. } => match (asked.result, &asked.req) {
                (Some(result), _) => Ans::Result(result),
                // It never ran, or may have run: the worker asks again.
                (None, Req::Step { .. }) => Ans::Refused(RejectReason::Busy),
                (None, _) => Ans::Held,
            },
            Event::Rejected { reason: why, .. } => Ans::Refused(why),
            Event::SendPermitted { .. } => return,
        };
        out.push((
            asked.from,
            Message::Reply {
                id: asked.id,
                workflow: asked.workflow,
                ans,
            },
        ));
    }

    /// Tells how an attempt ended; its worker is answered when that is held.
    fn report_outcome(
        &mut self,
        now: Duration,
        call: Call,
        outcome: AttemptOutcome,
        out: &mut Sent<Message>,
    ) {
        let Some(before) = self.asked.remove(&call) else {
            return;
        };
        let Req::Step { epoch, step } = before.req else {
            return;
        };
        let result = if let AttemptOutcome::Done { result, .. } = &outcome {
            Some(result.clone())
        } else {
            None
        };
        let workflow = name(before.workflow);
        let (call, until_us) = self.call(
            now,
            Asked {
                result,
                answered: false,
                ..before
            },
        );
        self.give(
            now,
            ServiceInput::Request(Command::ReportOutcome {
                call,
                workflow,
                epoch,
                step,
                outcome,
                until_us,
            }),
            out,
        );
    }

    fn soon(&mut self, now: Duration, soon: Soon, out: &mut Sent<Message>) {
        match soon {
            Soon::Kept(tickets, batch) => {
                let done = if self.disk_full {
                    Err(bitternlatch_quota_lease::StorageError::Full)
                } else {
                    Ok(())
                };
                for (name, bytes) in batch.into_iter().filter(|_| !self.disk_full) {
                    match bytes {
                        Some(bytes) => drop(self.disk.insert(name, bytes)),
                        None => drop(self.disk.remove(&name)),
                    }
                }
                for ticket in tickets {
                    self.give(
                        now,
                        ServiceInput::Persisted {
                            ticket,
                            done: done.clone(),
                        },
                        out,
                    );
                }
            }
            // The permission is checked at the act, by time.
            Soon::Send { call, until_us } if (now.as_micros() as u64) < until_us => {
                let Some(asked) = self.asked.get(&call) else {
                    return;
                };
                let Req::Step { step, .. } = asked.req else {
                    return;
                };
                out.push((
                    self.tool,
                    Message::Call {
                        call,
                        workflow: asked.workflow,
                        step,
                    },
                ));
                self.later(now + ms(4000), 100, Soon::GiveUp(call));
            }
            Soon::Send { call, .. } => {
                self.report_outcome(now, call, AttemptOutcome::NeverRan, out)
            }
            Soon::GiveUp(call) => self.report_outcome(now, call, AttemptOutcome::MayHaveRun, out),
        }
    }

    /// Goes on after a pause before one thing.
    pub fn thaw(&mut self, now: Duration, out: &mut Sent<Message>) {
        (self.frozen, self.disk_full) = (false, false);
        // What waited through its pause may be answered late.
        self.asked
            .values_mut()
            .for_each(|asked| asked.until_us = u64::MAX);
        self.work(now, out);
        for (from, message) in std::mem::take(&mut self.stash) {
            self.hear(now, from, message, out);
        }
    }

    pub fn wake_at(&self) -> Option<Duration> {
        let soon = self.soon.keys().next().map(|k| k.0);
        [soon, self.machine.wake_at()]
            .into_iter()
            .flatten()
            .min()
            .filter(|_| !self.frozen)
    }

    fn wake(&mut self, now: Duration, out: &mut Sent<Message>) {
        while let Some(key) = self
            .soon
            .keys()
            .next()
            .copied()
            .filter(|k| k.0 <= now && !self.frozen)
        {
            if let Some(soon) = self.soon.remove(&key) {
                self.soon(now, soon, out);
            }
        }
        if !self.frozen {
            self.give(now, ServiceInput::Wake, out);
        }
    }

    pub fn hear(&mut self, now: Duration, from: usize, message: Message, out: &mut Sent<Message>) {
        if self.frozen {
            return self.stash.push((from, message));
        }
        match message {
            Message::Frame(from, said) => self.give(
                now,
                ServiceInput::Frame {
                    from,
                    payload: said,
                },
                out,
            ),
            Message::Command {
                id,
                worker,
                workflow,
                req,
            } => {
                let ask = self.ask(now, from, id, worker, workflow, req);
                self.give(now, ServiceInput::Request(ask), out);
            }
            Message::Result { call, result } => {
                self.report_outcome(now, call, AttemptOutcome::Done { result, tokens: 1 }, out)
            }
            Message::Reply { .. } | Message::Call { .. } => {}
        }
    }
}

/// Counts effects; a key runs once.
pub struct Tool {
    pub seen: Rc<RefCell<Seen>>,
    pub chance: Chance,
    pub soon: BTreeMap<(Duration, u64), (usize, Message)>,
    pub count: u64,
}

impl Tool {
    fn take(&mut self, now: Duration, from: usize, message: Message) {
        let Message::Call {
            call,
            workflow,
            step,
        } = message
        else {
            return;
        };
        let mut seen = self.seen.borrow_mut();
        // A call comes once, as over a connection.
        if !seen.calls.insert((from, call)) {
            return;
        }
        let runs = seen.effects.entry((workflow, step)).or_insert(0);
        if effect(step) != Effect::Keyed || *runs == 0 {
            *runs += 1;
        }
        let result = format!("{workflow}.{step}#{runs}");
        let slow = if self.chance.below(12) == 0 { 3000 } else { 40 };
        self.count += 1;
        let at = now + ms(1 + self.chance.below(slow));
        self.soon
            .insert((at, self.count), (from, Message::Result { call, result }));
    }
}

/// Carries one workflow after the other, at any dispatcher.
pub struct Worker {
    pub name: String,
    pub of: usize,
    pub workflows: u32,
    pub seen: Rc<RefCell<Seen>>,
    pub chance: Chance,
    pub id: u64,
    pub at: Duration,
    /// The workflow that it carries: its number, epoch, next step.
    pub carries: Option<(u32, u64, u32)>,
    pub dispatcher: usize,
    /// The last step that anybody was told of when it asked.
    pub told_before: u32,
    /// It waits for an answer.
    pub waits: bool,
}

impl Worker {
    fn ask(&mut self, now: Duration, workflow: u32, req: Req, out: &mut Sent<Message>) {
        self.id += 1;
        let seen = self.seen.borrow();
        self.told_before = seen
            .told
            .keys()
            .rfind(|(w, _)| *w == workflow)
            .map_or(0, |(_, s)| *s);
        drop(seen);
        (self.waits, self.at) = (true, now + ms(2600));
        out.push((
            self.dispatcher,
            Message::Command {
                id: self.id,
                worker: self.name.clone(),
                workflow,
                req,
            },
        ));
    }

    fn go_on(&mut self, now: Duration, out: &mut Sent<Message>) {
        match self.carries {
            Some((workflow, 0, _)) => self.ask(now, workflow, Req::Claim, out),
            Some((workflow, epoch, step)) if step > STEPS => {
                self.ask(now, workflow, Req::Finish { epoch }, out)
            }
            Some((workflow, epoch, step)) => {
                self.ask(now, workflow, Req::Step { epoch, step }, out)
            }
            None => {
                let seen = self.seen.borrow();
                let open = |w: &u32| !seen.finished.contains(w) && !seen.stopped.contains_key(w);
                let open: Vec<u32> = (0..self.workflows).filter(open).collect();
                drop(seen);
                let pick = self.chance.below(open.len() as u64) as usize;
                self.carries = open.get(pick).map(|w| (*w, 0, 1));
                self.at = now + ms(50 + self.chance.below(200));
            }
        }
    }

    /// It has thought about its next turn, or no answer came: then it asks elsewhere, at times as one that comes back.
    fn wake(&mut self, now: Duration, out: &mut Sent<Message>) {
        if std::mem::take(&mut self.waits) {
            self.dispatcher = self.chance.below(self.of as u64) as usize;
            if self.chance.below(3) == 0 {
                self.carries = self.carries.map(|(workflow, ..)| (workflow, 0, 1));
            }
        }
        self.go_on(now, out);
    }

    fn take(&mut self, now: Duration, message: Message) {
        let Message::Reply { id, workflow, ans } = message else {
            return;
        };
        let Some((carried, epoch, step)) =
            self.carries.filter(|c| id == self.id && c.0 == workflow)
        else {
            return;
        };
        // What comes twice is heard once.
        self.id += 1;
        if let Ans::Refused(why) = &ans {
            self.seen.borrow_mut().refused.insert(workflow, *why);
        }
        match ans {
            Ans::Claimed { epoch, steps } => {
                let mut seen = self.seen.borrow_mut();
                let mut next = 1;
                for s in &steps {
                    if let Some(AttemptOutcome::Done { result, .. }) = &s.outcome {
                        next = s.number + 1;
                        check(&mut seen, workflow, s.number, result, false);
                    }
                }
                let last = self.told_before;
                if last >= next {
                    seen.wrong.push(format!(
                        "{workflow}: told of {last}, claimed with {next} next"
                    ));
                }
                self.carries = Some((carried, epoch, next));
            }
            Ans::Result(result) => {
                check(&mut self.seen.borrow_mut(), workflow, step, &result, true);
                self.carries = Some((carried, epoch, step + 1));
            }
            Ans::Held => {
                self.seen.borrow_mut().finished.insert(workflow);
                self.carries = None;
            }
            Ans::Refused(RejectReason::Ended) => {
                self.seen.borrow_mut().finished.insert(workflow);
                self.carries = None;
            }
            Ans::Refused(why @ (RejectReason::Unsettled | RejectReason::Parked)) => {
                self.seen.borrow_mut().stopped.insert(workflow, why);
                self.carries = None;
            }
            Ans::Refused(RejectReason::LeaseHeld) => self.carries = None,
            Ans::Refused(RejectReason::Fenced | RejectReason::Unknown) => {
                self.carries = Some((carried, 0, 1))
            }
            // Not there: perhaps elsewhere.
            Ans::Refused(_) if self.chance.below(4) == 0 => {
                self.dispatcher = self.chance.below(self.of as u64) as usize;
            }
            Ans::Refused(_) => {}
        }
        // Its next turn, by its model.
        (self.waits, self.at) = (false, now + ms(20 + self.chance.below(300)));
    }
}

/// What was once told stays.
fn check(seen: &mut Seen, workflow: u32, step: u32, result: &str, told: bool) {
    let before = seen.told.get(&(workflow, step)).cloned();
    if before.as_ref().is_some_and(|b| b != result) {
        seen.wrong
            .push(format!("{workflow}.{step}: told {before:?}, now {result}"));
    }
    if told {
        seen.told.insert((workflow, step), result.to_string());
    }
}

/// Asks for many workflows at once, each until it has it.
pub struct Crowd {
    pub name: &'static str,
    pub at: Vec<usize>,
    /// When each is asked for next.
    pub due: BTreeSet<(Duration, u32)>,
    pub claimed: BTreeMap<u32, Duration>,
    pub refused: BTreeMap<String, u32>,
}

impl Crowd {
    fn wake(&mut self, now: Duration, out: &mut Sent<Message>) {
        while let Some((at, workflow)) = self.due.first().copied().filter(|(at, _)| *at <= now) {
            self.due.remove(&(at, workflow));
            // An answer that is lost is waited for no longer than this.
            self.due.insert((now + ms(2600), workflow));
            let worker = format!("{}{workflow}", self.name);
            let to = self.at[workflow as usize % self.at.len()];
            out.push((
                to,
                Message::Command {
                    id: 0,
                    worker,
                    workflow,
                    req: Req::Claim,
                },
            ));
        }
    }

    fn take(&mut self, now: Duration, message: Message) {
        let Message::Reply { workflow, ans, .. } = message else {
            return;
        };
        if self.claimed.contains_key(&workflow) {
            return;
        }
        self.due.retain(|(_, w)| *w != workflow);
        match ans {
            Ans::Claimed { .. } => drop(self.claimed.insert(workflow, now)),
            ans => {
                *self.refused.entry(format!("{ans:?}")).or_insert(0) += 1;
                self.due.insert((now + ms(200), workflow));
            }
        }
    }
}

pub enum Actor {
    Dispatcher(Box<Dispatcher>),
    Worker(Worker),
    Tool(Tool),
    Crowd(Crowd),
}

impl Node for Actor {
    type Message = Message;

    fn wake_at(&self) -> Option<Duration> {
        match self {
            Actor::Dispatcher(d) => d.wake_at(),
            Actor::Worker(w) => Some(w.at),
            Actor::Crowd(c) => c.due.first().map(|(at, _)| *at),
            Actor::Tool(t) => t.soon.keys().next().map(|k| k.0),
        }
    }

    fn wake(&mut self, now: Duration, out: &mut Sent<Message>) {
        match self {
            Actor::Dispatcher(d) => d.wake(now, out),
            Actor::Worker(w) => w.wake(now, out),
            Actor::Crowd(c) => c.wake(now, out),
            Actor::Tool(t) => out.extend(t.soon.pop_first().map(|(_, said)| said)),
        }
    }

    fn take(&mut self, now: Duration, from: usize, message: Message, out: &mut Sent<Message>) {
        match self {
            Actor::Dispatcher(d) => d.hear(now, from, message, out),
            Actor::Worker(w) => w.take(now, message),
            Actor::Crowd(c) => c.take(now, message),
            Actor::Tool(t) => t.take(now, from, message),
        }
    }
}
