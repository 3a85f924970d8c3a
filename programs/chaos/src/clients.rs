//! The day's clients: conversations planned ahead from a seed, each played by a thread of its own.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bitternlatch_mock_engine::capture::Capture;
use bitternlatch_net::dial::DialOptions;
use rand_core::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use serde_json::json;

use crate::client::{Came, Client};
use crate::day::{Day, Mix};
use crate::manners::{Manners, Own, Surge};
use crate::secured::Proofs;

/// A conversation, planned whole.
#[derive(Clone, Debug)]
pub struct Plan {
    pub number: usize,
    pub at_s: f64,
    pub mix: usize,
    pub turns: Vec<Turn>,
    pub instructions: String,
    pub own: Own,
}

#[derive(Clone, Debug)]
pub struct Turn {
    pub text: String,
    pub answer_tokens: u32,
    /// The client drops its socket while the request runs.
    pub drops: bool,
}

/// What all clients share.
pub struct Service {
    /// Dispatchers' names and addresses.
    pub dispatchers: Vec<(String, String)>,
    pub capture: Capture,
    /// By class: whether it is safe to repeat, and the time after which its client gives up.
    pub classes: BTreeMap<String, (bool, f64)>,
    pub retries: u32,
    pub manners: Manners,
    /// Where callers have to prove who they are.
    pub proofs: Option<Arc<Proofs>>,
    /// Dispatchers that the script kills: a client that drops an unsafe request there would not come back to its key.
    pub killed: Vec<usize>,
}

struct Chance(Xoshiro256PlusPlus);

impl Chance {
    fn share(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn within(&mut self, [least, most]: [u32; 2]) -> u32 {
        least + (self.share() * f64::from(most.saturating_sub(least) + 1)) as u32
    }
}

/// Text of a number of tokens (four bytes each), the same for the same seed.
fn text(seed: u64, tokens: u32) -> String {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
    let mut text = String::with_capacity(tokens as usize * 4 + 16);
    while text.len() < tokens as usize * 4 {
        text.push_str(&format!("{:x} ", rng.next_u64()));
    }
    text.truncate(tokens as usize * 4);
    text
}

/// All conversations of a day, in order of time.
pub fn plan(day: &Day) -> Vec<Plan> {
    if day.mix.is_empty() {
        return Vec::new();
    }
    let mut chance = Chance(Xoshiro256PlusPlus::seed_from_u64(day.seed));
    let total: f64 = day.mix.iter().map(|m| m.share).sum();
    let mean = |m: &Mix| m.share / total * f64::from(m.turns[0] + m.turns[1]) / 2.0;
    let per_s = day.rate_rps / day.mix.iter().map(mean).sum::<f64>().max(0.01);
    let (mut plans, mut at_s) = (Vec::new(), 0.0);
    loop {
        at_s += -(1.0 - chance.share()).ln() / (per_s * Surge::factor(&day.surge, at_s));
        if at_s >= day.for_s {
            return plans;
        }
        let mut draw = chance.share() * total;
        let found = day.mix.iter().position(|m| {
            draw -= m.share;
            draw < 0.0
        });
        let mix = found.unwrap_or(0);
        plans.push(conversation(day, &mut chance, plans.len(), at_s, mix));
    }
}

fn conversation(day: &Day, chance: &mut Chance, number: usize, at_s: f64, mix: usize) -> Plan {
    let m = &day.mix[mix];
    let shared = chance.share() < m.prefix_share && m.prefixes > 0;
    let which = chance.within([0, m.prefixes.saturating_sub(1)]);
    let own = text(
        day.seed ^ (mix as u64) << 40 ^ u64::from(which) << 20,
        m.prefix_tokens,
    );
    let instructions = if shared { own } else { String::new() };
    let turns = (0..chance.within(m.turns)).map(|_| {
        let tokens = chance.within(m.turn_tokens);
        let seed = chance.0.next_u64();
        let answer_tokens = chance.within(m.answer_tokens);
        Turn {
            text: text(seed, tokens),
            answer_tokens,
            drops: chance.share() < day.drop_share,
        }
    });
    let turns = turns.collect();
    // From a draw of its own, so that the same day with other manners asks the same.
    let mut drawn = Chance(Xoshiro256PlusPlus::seed_from_u64(
        day.seed ^ (number as u64) << 16 ^ 0x6d61,
    ));
    let own = day.clients.of(drawn.share(), drawn.share());
    Plan {
        number,
        at_s,
        mix,
        turns,
        instructions,
        own,
    }
}

/// How one try ended.
enum End {
    Served(String),
    Refused(f64),
    Failed,
    Cut,
    Dropped,
    GaveUp,
}

/// One conversation at play.
struct Talk<'a> {
    service: &'a Service,
    who: String,
    class: &'a str,
    tenant: Option<&'a str>,
    open: Option<(usize, Client)>,
    previous: Option<String>,
    /// All that was said, for a dispatcher that does not know the conversation.
    said: String,
    tries: u32,
    at: usize,
    connections: u32,
    manner: DialOptions,
}

/// Plays a conversation to its end.
pub fn play(service: &Service, day: &Day, plan: &Plan) {
    let mut talk = Talk {
        service,
        who: format!("c{}", plan.number),
        class: &day.mix[plan.mix].class,
        tenant: day.mix[plan.mix].tenant.as_deref(),
        open: None,
        previous: None,
        said: String::new(),
        tries: 0,
        at: plan.number,
        connections: 0,
        manner: service
            .proofs
            .as_ref()
            .map(|p| p.manner(plan.number))
            .unwrap_or_default(),
    };
    for (i, turn) in plan.turns.iter().enumerate() {
        if !talk.turn(plan, i, turn) {
            break;
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    if let Some((_, client)) = talk.open {
        client.close();
    }
}

impl Talk<'_> {
    /// One turn with its repeats; false ends the conversation.
    fn turn(&mut self, plan: &Plan, number: usize, turn: &Turn) -> bool {
        let (safe, _) = self
            .service
            .classes
            .get(self.class)
            .copied()
            .unwrap_or((true, 5.0));
        let mark = format!("{}.{number}", plan.number);
        let mut drops = turn.drops && !safe;
        for _ in 0..=self.service.retries {
            let end = self.one_try(plan, &mark, turn, drops);
            match end {
                End::Served(response) => {
                    self.previous = Some(response);
                    self.said.push_str(&turn.text);
                    return true;
                }
                End::Refused(after_s) => self.refused(plan.own, after_s),
                // What may have run is not asked again where it must not run twice.
                End::Failed | End::Cut if !safe => return false,
                End::GaveUp => return false,
                End::Failed => std::thread::sleep(Duration::from_millis(100)),
                End::Cut => self.at += 1,
                End::Dropped => drops = false,
            }
        }
        false
    }

    /// Waits as its manners are, and goes elsewhere.
    fn refused(&mut self, own: Own, after_s: f64) {
        let wait_s = if own.hasty {
            0.0
        } else {
            after_s.min(self.service.manners.waits_most_s)
        };
        std::thread::sleep(Duration::from_secs_f64(wait_s));
        if own.roaming {
            if let Some((_, client)) = self.open.take() {
                client.close();
            }
            self.previous = None;
            self.at += 1;
        }
    }

    fn one_try(&mut self, plan: &Plan, mark: &str, turn: &Turn, drops: bool) -> End {
        if self.connect().is_none() {
            return End::Cut;
        }
        let Some((at, client)) = &self.open else {
            return End::Cut;
        };
        let drops = drops && !self.service.killed.contains(at);
        self.tries += 1;
        let name = format!("{}-{}", self.who, self.tries);
        let input = match &self.previous {
            Some(_) => format!("{} [len={}][req={mark}]", turn.text, turn.answer_tokens),
            None => format!(
                "{}{} [len={}][req={mark}]",
                self.said, turn.text, turn.answer_tokens
            ),
        };
        let mut metadata =
            json!({ "class": self.class, "try": name, "idempotency_key": format!("k{mark}") });
        if let Some(tenant) = self.tenant {
            metadata["tenant"] = tenant.into();
        }
        let create = json!({
            "type": "response.create",
            "model": "stand-in",
            "instructions": plan.instructions,
            "input": input,
            "previous_response_id": self.previous,
            "max_output_tokens": turn.answer_tokens + 50,
            "metadata": metadata,
        });
        client.say(&create.to_string());
        let end = self.listen(drops);
        if matches!(end, End::Cut | End::Dropped | End::GaveUp) {
            (self.open, self.previous) = (None, None);
        }
        end
    }

    fn listen(&self, drops: bool) -> End {
        let Some((_, client)) = &self.open else {
            return End::Cut;
        };
        let (_, patience) = self
            .service
            .classes
            .get(self.class)
            .copied()
            .unwrap_or((true, 5.0));
        let start = Instant::now();
        let mut by = start + Duration::from_secs_f64(patience + 1.0);
        let drop_at = drops.then(|| start + Duration::from_millis(300));
        loop {
            let now = Instant::now();
            let wait = drop_at.unwrap_or(by).min(by).saturating_duration_since(now);
            if drop_at.is_some_and(|at| now >= at) {
                client.cut();
                return End::Dropped;
            }
            match client.next(wait) {
                Came::Silence if drop_at.is_some() => {}
                Came::Silence => {
                    client.give_up();
                    return End::GaveUp;
                }
                Came::Closed(_) => return End::Cut,
                Came::Event(event) if event.kind == "error" => {
                    let after = event.error.as_ref().and_then(|e| e.get("retry_after_ms"));
                    return after
                        .and_then(|a| a.as_f64())
                        .map_or(End::Failed, |ms| End::Refused(ms / 1000.0));
                }
                Came::Event(event) => {
                    // A running answer may take as long as it goes on.
                    by = Instant::now() + Duration::from_secs_f64(patience + 1.0);
                    if let Some(response) =
                        event.response.filter(|_| event.kind != "response.created")
                    {
                        return match response.error {
                            None => End::Served(response.id),
                            Some(e) if e.safe_to_repeat => {
                                End::Refused(e.retry_after_ms.unwrap_or(500) as f64 / 1000.0)
                            }
                            Some(_) => End::Failed,
                        };
                    }
                }
            }
        }
    }

    /// A session at some dispatcher: where it was, else the next one that answers.
    fn connect(&mut self) -> Option<()> {
        if self.open.is_some() {
            return Some(());
        }
        let all = &self.service.dispatchers;
        for _ in 0..2 * all.len() {
            let at = self.at % all.len();
            let (name, address) = &all[at];
            self.connections += 1;
            let peer = format!("{name}#{}", self.connections);
            let capture = self.service.capture.clone();
            match Client::connect_as(address, &self.who, &peer, capture, &self.manner) {
                Ok(client) => {
                    self.open = Some((at, client));
                    return Some(());
                }
                Err(e) => {
                    if let Some(proofs) = &self.service.proofs {
                        proofs.refused(&e);
                    }
                }
            }
            self.at += 1;
            std::thread::sleep(Duration::from_millis(50));
        }
        None
    }
}
