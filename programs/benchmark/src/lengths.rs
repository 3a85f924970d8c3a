//! Lengths of answers in simulated time, by the code that serves: how well they are foretold, beside a fifth of the ceiling, a
//! running mean and each member alone; how soon after a restart; bytes and time.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bitternlatch_output_length::simulated::{
    finish_response, random_length, response, simulate_members, SimulatedMember, SimulatedMessage,
};
use bitternlatch_output_length::{ClassKey, FinishedResponse, LocalLearner, ModelKey};
use bitternlatch_simulation::{Network, World};

use crate::rig::quantile;

/// Length of a run, what of it is not judged, and the time between two answers anywhere.
const RUN: Duration = Duration::from_secs(600);
const WARM: Duration = Duration::from_secs(60);
const BETWEEN: Duration = Duration::from_millis(25);
const CEILING: u32 = 4096;
/// Weight of the newest in the running mean.
const BLEND: f64 = 0.05;

#[derive(Clone, Copy, Debug)]
enum Shape {
    Steady,
    Bimodal,
    /// Four times as long at the end as at the beginning, and at once twice as long in the middle.
    Drifting,
}

/// A class and its answer's length.
fn draw(net: &mut Network<SimulatedMessage>, shape: Shape, at: Duration) -> (u32, u32) {
    let class = 1 + (net.draw() * 3.0) as u32;
    let base = [80.0, 200.0, 500.0][class as usize - 1];
    let part = at.as_secs_f64() / RUN.as_secs_f64();
    let median = match shape {
        Shape::Steady => base,
        Shape::Bimodal if net.draw() < 0.25 => 6.0 * base,
        Shape::Bimodal => base,
        Shape::Drifting => base * 2f64.powf(part) * if part > 0.5 { 2.0 } else { 1.0 },
    };
    (class, random_length(net, median, 0.5).min(CEILING))
}

/// Loss of foretelling a quantile; Koenker and Bassett, 1978.
fn pinball(share: f64, told: f64, tokens: f64) -> f64 {
    let short = tokens - told;
    if short >= 0.0 {
        share * short
    } else {
        (share - 1.0) * short
    }
}

#[derive(Default)]
struct Judged {
    answers: f64,
    p50: f64,
    p90: f64,
    covered: f64,
}

impl Judged {
    fn judge(&mut self, (p50, p90): (f64, f64), tokens: u32) {
        let tokens = f64::from(tokens);
        self.answers += 1.0;
        self.p50 += pinball(0.5, p50, tokens);
        self.p90 += pinball(0.9, p90, tokens);
        self.covered += f64::from(u8::from(tokens <= p90.round()));
    }

    fn show(&self, what: &str) {
        let n = self.answers.max(1.0);
        println!(
            "  {what:<22} {:>8.1} {:>8.1} {:>8.1}%",
            self.p50 / n,
            self.p90 / n,
            100.0 * self.covered / n
        );
    }
}

fn told(world: &World<SimulatedMember>, i: usize, class: u32) -> Option<(f64, f64)> {
    let curves = &world.places[i].node.as_ref()?.curves;
    let known = curves
        .find(ModelKey(1), ClassKey(class), 500)?
        .estimate(CEILING);
    Some((known.p50, known.p90))
}

fn foretell(shape: Shape, members: usize, seeds: u64) {
    let mut judged: [Judged; 4] = Default::default();
    for seed in 0..seeds {
        for together in [true, false] {
            let mut world = simulate_members(members, seed);
            if !together {
                world
                    .places
                    .iter_mut()
                    .flat_map(|p| &mut p.node)
                    .for_each(|n| n.peers.clear());
            }
            let mut means: BTreeMap<(usize, u32), f64> = BTreeMap::new();
            while world.now() < RUN {
                let now = world.now();
                let (class, tokens) = draw(&mut world.net, shape, now);
                // Half of the traffic comes to a quarter of the members.
                let crowd = if world.net.draw() < 0.5 {
                    members.div_ceil(4)
                } else {
                    members
                };
                let at = (world.net.draw() * crowd as f64) as usize;
                let known = told(&world, at, class);
                let fifth = 0.2 * f64::from(CEILING);
                let mean = means.get(&(at, class)).copied().unwrap_or(fifth);
                if now > WARM {
                    judged[usize::from(!together)].judge(known.unwrap_or((fifth, fifth)), tokens);
                    if together {
                        judged[2].judge((mean, mean), tokens);
                        judged[3].judge((fifth, fifth), tokens);
                    }
                }
                means.insert((at, class), mean + BLEND * (f64::from(tokens) - mean));
                finish_response(
                    &mut world,
                    at,
                    FinishedResponse {
                        max_output_tokens: CEILING,
                        ..response(class, tokens)
                    },
                );
                world.run(now + BETWEEN);
            }
        }
    }
    println!("{shape:?}: loss at p50, at p90 (tokens), answers within p90");
    for (judged, what) in judged.iter().zip([
        "together",
        "each alone",
        "running mean",
        "fifth of the ceiling",
    ]) {
        judged.show(what);
    }
}

/// Mean loss at p50 and p90 of what is told now, over answers as they come in steady traffic; none where a class is not told.
fn loss(world: &World<SimulatedMember>, answers: &[(u32, u32)]) -> Option<(f64, f64)> {
    let (mut p50, mut p90) = (0.0, 0.0);
    for (class, tokens) in answers {
        let told = told(world, 0, *class)?;
        p50 += pinball(0.5, told.0, f64::from(*tokens));
        p90 += pinball(0.9, told.1, f64::from(*tokens));
    }
    Some((p50, p90))
}

/// Seconds until one that starts with nothing foretells with the loss that it had, within 5%; at most 300.
fn restart(members: usize, seed: u64, peers: bool) -> f64 {
    let mut world = simulate_members(members, seed);
    let step = |world: &mut World<SimulatedMember>| {
        let now = world.now();
        let (class, tokens) = draw(&mut world.net, Shape::Steady, now);
        let at = (world.net.draw() * members as f64) as usize;
        finish_response(
            world,
            at,
            FinishedResponse {
                max_output_tokens: CEILING,
                ..response(class, tokens)
            },
        );
        world.run(now + BETWEEN);
    };
    while world.now() < Duration::from_secs(200) {
        step(&mut world);
    }
    let mut net = Network::new(seed + 1000);
    let answers: Vec<(u32, u32)> = (0..3000)
        .map(|_| draw(&mut net, Shape::Steady, Duration::ZERO))
        .collect();
    let before = loss(&world, &answers).unwrap_or_default();
    world.kill(0);
    let (began, at) = (world.now(), world.now_at(0));
    let mut member = SimulatedMember::new(0, 2, members, at);
    if !peers {
        member.peers.clear();
        world.net.passes = Box::new(|_, to| to != 0);
        // What is under way to it comes before it is there.
        world.run(began + Duration::from_millis(10));
    }
    world.start(0, member);
    let began = world.now();
    while world.now() < began + Duration::from_secs(300) {
        let now = loss(&world, &answers);
        if now.is_some_and(|now| now.0 <= 1.05 * before.0 && now.1 <= 1.05 * before.1) {
            break;
        }
        step(&mut world);
    }
    (world.now() - began).as_secs_f64()
}

fn bytes(members: usize) {
    let mut world = simulate_members(members, 1);
    let mut before = 0;
    while world.now() < Duration::from_secs(120) {
        if world.now() < Duration::from_secs(60) {
            before = said(&world);
        }
        let now = world.now();
        let (class, tokens) = draw(&mut world.net, Shape::Bimodal, now);
        let at = (world.net.draw() * members as f64) as usize;
        finish_response(
            &mut world,
            at,
            FinishedResponse {
                max_output_tokens: CEILING,
                prompt_tokens: 40 << (2 * (tokens % 4)),
                ..response(class, tokens)
            },
        );
        world.run(now + BETWEEN);
    }
    let a_second = (said(&world) - before) as f64 / 60.0 / members as f64;
    println!("{members} members, 12 cells, 40 answers a second: {a_second:.0} bytes a second a member, without envelopes");
}

fn said(world: &World<SimulatedMember>) -> u64 {
    world
        .places
        .iter()
        .filter_map(|p| Some(p.node.as_ref()?.machine.sent_bytes()))
        .sum()
}

fn cost() {
    const ANSWERS: u32 = 50_000;
    let mut net: Network<SimulatedMessage> = Network::new(5);
    let mut local = LocalLearner::default();
    let began = Instant::now();
    for n in 0..ANSWERS {
        let (class, tokens) = draw(&mut net, Shape::Steady, Duration::ZERO);
        local.record(
            f64::from(n) * 0.005,
            &FinishedResponse {
                max_output_tokens: CEILING,
                ..response(class, tokens)
            },
        );
    }
    let learnt = began.elapsed();
    let began = Instant::now();
    let sum: f64 = (0..ANSWERS)
        .filter_map(|n| local.estimate(ModelKey(1), ClassKey(1 + n % 3), 500, CEILING))
        .map(|e| e.p90)
        .sum();
    let asked = began.elapsed();
    let each = |t: Duration| t.as_secs_f64() * 1e6 / f64::from(ANSWERS);
    let (learnt, asked) = (each(learnt), each(asked));
    println!("cost: {asked:.2} us to ask at an arrival, {learnt:.2} us to learn an answer, curves each second included (mean p90 {:.0})",
        sum / f64::from(ANSWERS));
}

pub fn measure(members: usize, seeds: u64) {
    for shape in [Shape::Steady, Shape::Bimodal, Shape::Drifting] {
        foretell(shape, members, seeds);
    }
    for peers in [true, false] {
        let mut took: Vec<f64> = (0..10 * seeds)
            .map(|seed| restart(members, seed, peers))
            .collect();
        took.sort_by(f64::total_cmp);
        let (p50, most) = (quantile(&took, 0.5), quantile(&took, 1.0));
        let with = if peers { "with peers" } else { "alone" };
        println!(
            "started with nothing, {with}: as before after p50 {p50:.2} s, at most {most:.2} s ({} starts)",
            took.len()
        );
    }
    bytes(members);
    cost();
}
