//! Writers whose memory is nearly full, before dispatchers that take an answer for a fifth of its ceiling and before the same with
//! `[cluster.lengths]`: answers thrown out of memory and read again, and worth that came in time. Answers are of mixed, bimodal lengths
//! under ceilings far above; each prompt tells its engine the length, which no dispatcher looks at.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bitternlatch_chaos::client::{Came, Client};
use bitternlatch_chaos::process::{own_address, Dispatcher};
use bitternlatch_cluster_net::fetch_status as ask_view;
use bitternlatch_core::settings::{Cluster, Peer};
use bitternlatch_mock_engine::capture::Capture;
use bitternlatch_mock_engine::{Config, Standins};
use bitternlatch_net::dial::dial;
use bitternlatch_net::socket::{Limits, ReadOutcome};
use bitternlatch_protocol::engine::{decode, encode, FromEngine, ToEngine};
use rand_core::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

use crate::rig::{folder, quantile};

const SETTINGS: &str = include_str!("../../../deploy/dispatch.toml");
pub const DISPATCHERS: usize = 4;
pub const READERS: usize = 3;
pub const WRITERS: usize = 4;
/// Of one writer, tokens: some thirteen long answers in the midst of their run, and eight at their end.
pub const MEMORY: u64 = 24_000;
const BLOCK: f64 = 64.0;
/// Seconds of a writer's step, and what each sequence adds.
const STEP_S: f64 = 0.005;
const SEQUENCE_S: f64 = 0.00025;
/// Writers are poor readers: what they threw out costs them time.
const WRITER_READS: f64 = 6_000.0;
/// A whole answer is in time when its tokens came on average within this much of a full writer's step.
const PATIENCE: f64 = 1.25;
/// Seconds at the begin that do not count: memory fills, lengths are learnt.
pub const WARM_S: f64 = 30.0;
const JOINED_WITHIN: Duration = Duration::from_secs(60);
const ANSWERED_WITHIN: Duration = Duration::from_secs(60);

/// A kind of traffic: its class, its share of requests, tokens of prompts and answers from, to.
pub struct Kind {
    pub class: &'static str,
    pub worth: f64,
    pub share: f64,
    pub prompt: [u64; 2],
    pub answer: [u64; 2],
}

/// Bookings are bimodal, told apart by the length of the prompt alone.
pub const KINDS: [Kind; 3] = [
    Kind {
        class: "slot-query",
        worth: 1.0,
        share: 0.5,
        prompt: [100, 300],
        answer: [20, 60],
    },
    Kind {
        class: "season-booking",
        worth: 2.0,
        share: 0.25,
        prompt: [100, 300],
        answer: [40, 120],
    },
    Kind {
        class: "season-booking",
        worth: 2.0,
        share: 0.25,
        prompt: [600, 1000],
        answer: [1200, 2000],
    },
];

pub struct Asked {
    pub at_s: f64,
    pub kind: usize,
    pub prompt: u64,
    pub answer: u64,
}

/// How full writers come to be: requests a second, sequences at one writer, seconds of a step.
pub struct Fill {
    pub rate: f64,
    pub running: f64,
    pub step_s: f64,
}

pub fn mean([from, to]: [u64; 2]) -> f64 {
    (from + to) as f64 / 2.0
}

pub fn fill(share: f64) -> Fill {
    let written: f64 = KINDS.iter().map(|k| k.share * mean(k.answer)).sum();
    // Of evenly drawn lengths; an answer holds half of its tokens in the mean of its run, and half a block more.
    let square =
        |k: &Kind| mean(k.answer).powi(2) + ((k.answer[1] - k.answer[0]) as f64).powi(2) / 12.0;
    let held =
        |k: &Kind| k.share * (mean(k.answer) * (mean(k.prompt) + BLOCK / 2.0) + square(k) / 2.0);
    let running = share * MEMORY as f64 / (KINDS.iter().map(held).sum::<f64>() / written);
    let step_s = STEP_S + SEQUENCE_S * running;
    Fill {
        rate: WRITERS as f64 * running / (step_s * written),
        running,
        step_s,
    }
}

pub fn plan(rate: f64, for_s: f64, seed: u64) -> Vec<Asked> {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
    let mut draw = || (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
    let (mut all, mut at_s) = (Vec::new(), 0.0);
    loop {
        at_s += -(1.0 - draw()).ln() / rate;
        if at_s >= for_s {
            return all;
        }
        let mut left = draw();
        let found = KINDS.iter().position(|k| {
            left -= k.share;
            left < 0.0
        });
        let kind = found.unwrap_or(0);
        let mut within = |[from, to]: [u64; 2]| from + (draw() * (to - from + 1) as f64) as u64;
        let (prompt, answer) = (within(KINDS[kind].prompt), within(KINDS[kind].answer));
        all.push(Asked {
            at_s,
            kind,
            prompt,
            answer,
        });
    }
}

/// Seconds a token at the most, of a whole answer that is in time.
pub fn patience_s(fill: &Fill) -> f64 {
    PATIENCE * fill.step_s
}

/// What one request came to.
pub struct Got {
    pub kind: usize,
    pub first_s: f64,
    /// Mean seconds a token after the first.
    pub gap_s: f64,
}

/// When it was asked for, its kind, what came.
type Answered = (f64, usize, Result<Got, String>);

#[derive(Default)]
pub struct Seen {
    pub asked: f64,
    pub asked_worth: f64,
    pub served: usize,
    pub unserved: BTreeMap<String, usize>,
    pub first_in_time: f64,
    pub whole_in_time: f64,
    pub first_s: Vec<f64>,
    pub long_gap_s: Vec<f64>,
    pub preempted: usize,
    /// Share of memory in use, by writer and look.
    pub used: Vec<f64>,
    pub most_used: Vec<f64>,
}

impl Seen {
    pub fn sort(&mut self) {
        self.first_s.sort_by(f64::total_cmp);
        self.long_gap_s.sort_by(f64::total_cmp);
    }

    pub fn add(&mut self, mut other: Seen) {
        self.asked += other.asked;
        self.asked_worth += other.asked_worth;
        self.served += other.served;
        self.first_in_time += other.first_in_time;
        self.whole_in_time += other.whole_in_time;
        self.preempted += other.preempted;
        other
            .unserved
            .into_iter()
            .for_each(|(why, n)| *self.unserved.entry(why).or_default() += n);
        self.first_s.append(&mut other.first_s);
        self.long_gap_s.append(&mut other.long_gap_s);
        self.used.append(&mut other.used);
        self.most_used.append(&mut other.most_used);
    }
}

/// A writer's engine, as the hosts have it.
pub fn writer() -> Result<bitternlatch_engine::Constants, String> {
    let hosts = hosts()?.hosts;
    hosts
        .iter()
        .find(|h| h.name == "writer-1")
        .map(|h| h.constants())
        .ok_or_else(|| "no writer".to_string())
}

fn hosts() -> Result<Config, String> {
    let mut text = String::new();
    for i in 1..=READERS {
        text.push_str(&format!(
            "[[hosts]]\nname = \"reader-{i}\"\nlisten = \"127.0.0.1:0\"\nrole = \"reader\"\n"
        ));
    }
    for i in 1..=WRITERS {
        text.push_str(&format!(
            "[[hosts]]\nname = \"writer-{i}\"\nlisten = \"127.0.0.1:0\"\nrole = \"writer\"\nmemory_tokens = {MEMORY}\n\
             token_gap_s = {STEP_S}\nsequence_step_s = {SEQUENCE_S}\nread_tokens_per_s = {WRITER_READS:.1}\n\
             prefix_cache_tokens = {MEMORY}\n"
        ));
    }
    Config::parse(&text)
}

/// Four processes that know each other, each with the same hosts.
fn dispatchers(
    hosts: &Standins,
    dir: &Path,
    beside: &toml::Table,
) -> Result<Vec<Dispatcher>, String> {
    std::fs::create_dir_all(dir).map_err(|e| e.to_string())?;
    std::fs::write(
        dir.join("secret"),
        "known to the members of this measurement\n",
    )
    .map_err(|e| e.to_string())?;
    let mut list = String::from("name,address,port,kind,cell,zone\n");
    for (name, at) in hosts.addresses() {
        let kind = if name.starts_with("reader") {
            "reader"
        } else {
            "writer"
        };
        list.push_str(&format!(
            "{name},{},{},{kind},rack-a,pos-site\n",
            at.ip(),
            at.port()
        ));
    }
    std::fs::write(dir.join("hosts.csv"), list).map_err(|e| e.to_string())?;
    let mut settings: toml::Table = toml::from_str(SETTINGS).map_err(|e| e.to_string())?;
    for kind in settings["kinds"]
        .as_array_mut()
        .into_iter()
        .flatten()
        .filter_map(|k| k.as_table_mut())
    {
        if kind["name"].as_str() == Some("writer") {
            kind.insert("memory_tokens".into(), (MEMORY as i64).into());
        }
    }
    let one = |n| Dispatcher::new(dir, n, DISPATCHERS, &settings);
    let mut all: Vec<_> = (1..=DISPATCHERS).map(one).collect();
    let peer = |d: &Dispatcher| Peer {
        name: d.name.clone(),
        address: own_address(7811),
        client_address: None,
    };
    let roster: Vec<Peer> = all.iter().map(peer).collect();
    let image = std::env::current_exe().map_err(|e| e.to_string())?;
    for one in &mut all {
        let (name, secret, kept) = (
            "measured".to_string(),
            "secret".to_string(),
            Some(format!("{}.start", one.name)),
        );
        let cluster = Cluster {
            name,
            secret,
            incarnation_file: kept,
            roster: roster.clone(),
            ..Cluster::default()
        };
        let mut table = toml::Table::try_from(cluster).map_err(|e| e.to_string())?;
        table.extend(beside.clone());
        one.set("cluster", table.into());
        one.without_record();
        one.start(&image).map_err(|e| e.to_string())?;
    }
    let whole = |peer: &Peer| {
        ask_view(SocketAddr::V4(peer.address), Duration::from_secs(5))
            .is_ok_and(|v| v.standing == "whole")
    };
    let began = Instant::now();
    while !(all.iter().all(|d| d.ready(Duration::from_secs(5))) && roster.iter().all(whole)) {
        if began.elapsed() > JOINED_WITHIN {
            return Err(format!(
                "the dispatchers have not found each other; see their logs in {}",
                dir.display()
            ));
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    Ok(all)
}

/// Asks one thing in a session of its own.
fn one(address: &str, number: usize, asked: &Asked, ceiling: u32) -> Result<Got, String> {
    let client = Client::connect(address, "m", "d", Capture::none()).map_err(|e| e.to_string())?;
    let tail = format!(" [len={}][req={number}]", asked.answer);
    let mut text = String::new();
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(number as u64);
    while text.len() + tail.len() < asked.prompt as usize * 4 {
        text.push_str(&format!("{:x} ", rng.next_u64()));
    }
    let create = serde_json::json!({ "type": "response.create", "model": "m", "input": text + &tail,
        "max_output_tokens": ceiling, "metadata": { "class": KINDS[asked.kind].class } });
    let start = Instant::now();
    client.say(&create.to_string());
    let (mut first, mut last, mut tokens) = (None, start, 0u32);
    let done = loop {
        match client.next(ANSWERED_WITHIN) {
            Came::Event(e) if e.delta.is_some() => {
                last = Instant::now();
                first.get_or_insert(last);
                tokens += 1;
            }
            Came::Event(e) if e.kind == "response.completed" => break Ok(()),
            Came::Event(e) if e.is_final() => {
                let error = e.response.as_ref().and_then(|r| r.error.as_ref());
                let refused = error.is_some_and(|e| e.safe_to_repeat);
                break Err(if refused {
                    "refused".to_string()
                } else {
                    e.kind
                });
            }
            Came::Event(_) => {}
            Came::Closed(_) => break Err("closed".to_string()),
            Came::Silence => break Err("silence".to_string()),
        }
    };
    client.close();
    done?;
    let first = first.ok_or("no token")?;
    let gap_s = (last - first).as_secs_f64() / f64::from(tokens.saturating_sub(1).max(1));
    Ok(Got {
        kind: asked.kind,
        first_s: (first - start).as_secs_f64(),
        gap_s,
    })
}

/// Looks at the writers' memory until told to stop.
fn look(hosts: &Standins, stop: &Arc<AtomicBool>) -> std::thread::JoinHandle<Vec<Vec<f64>>> {
    let writers: Vec<String> = hosts
        .addresses()
        .iter()
        .filter(|(n, _)| n.starts_with("writer"))
        .map(|(_, at)| at.to_string())
        .collect();
    let stop = Arc::clone(stop);
    std::thread::spawn(move || {
        let limits = || Limits {
            max_message_bytes: 1 << 20,
            max_queued_messages: 64,
            ping_interval: Duration::from_secs(10),
            idle_timeout: None,
        };
        let mut links: Vec<_> = writers
            .iter()
            .filter_map(|at| dial(at, "/", Duration::from_secs(2), limits(), None).ok())
            .collect();
        let mut looks = Vec::new();
        while !stop.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(200));
            let mut used = Vec::new();
            for (reader, outbox) in &mut links {
                let _ = outbox.text(encode(&ToEngine::Probe { id: 0 }));
                while let ReadOutcome::Text(text) = reader.read() {
                    if let Ok(FromEngine::Load { load, .. }) = decode(&text) {
                        used.push(load.get("kv_cache_usage_perc").copied().unwrap_or(0.0));
                        break;
                    }
                }
            }
            looks.push(used);
        }
        looks
    })
}

fn way(lengths: bool, asked: &[Asked], gap_aim_s: f64, ceiling: u32) -> Result<Seen, String> {
    let dir = folder();
    let (capture, lines) = Capture::channel();
    let hosts = Standins::start(hosts()?, capture).map_err(|e| e.to_string())?;
    let mut beside = toml::Table::new();
    if lengths {
        beside.insert("lengths".into(), toml::Table::new().into());
    }
    let dispatchers = dispatchers(&hosts, &dir, &beside)?;
    let (start, stop) = (Instant::now(), Arc::new(AtomicBool::new(false)));
    // The channel holds all lines that nobody takes.
    let counted = std::thread::spawn(move || {
        let late = |l: &bitternlatch_mock_engine::capture::Line| {
            l.dir == "preempted" && start.elapsed().as_secs_f64() > WARM_S
        };
        lines.iter().filter(late).count()
    });
    let looks = look(&hosts, &stop);
    let got: Mutex<Vec<Answered>> = Mutex::default();
    std::thread::scope(|scope| {
        for (number, asked) in asked.iter().enumerate() {
            std::thread::sleep(Duration::from_secs_f64(asked.at_s).saturating_sub(start.elapsed()));
            let (address, got) = (dispatchers[number % DISPATCHERS].address.clone(), &got);
            let ask = move || {
                let came = one(&address, number, asked, ceiling);
                bitternlatch_net::lock(got).push((asked.at_s, asked.kind, came));
            };
            let thread = std::thread::Builder::new().stack_size(256 * 1024);
            drop(thread.spawn_scoped(scope, ask));
        }
    });
    stop.store(true, Ordering::Relaxed);
    let looks = looks.join().map_err(|_| "a look panicked")?;
    drop(dispatchers);
    hosts.stop();
    let mut seen = Seen {
        preempted: counted.join().map_err(|_| "the count panicked")?,
        ..Seen::default()
    };
    // Looks come each 200 ms and a little; those of the end, when nobody asks any more, do not count.
    let (end, each) = (
        asked.last().map_or(0.0, |a| a.at_s),
        start.elapsed().as_secs_f64() / looks.len().max(1) as f64,
    );
    for (i, used) in looks.into_iter().enumerate() {
        if (WARM_S..end).contains(&(i as f64 * each)) {
            seen.most_used
                .push(used.iter().copied().fold(0.0, f64::max));
            seen.used.extend(used);
        }
    }
    let got = got.into_inner().map_err(|_| "a client panicked")?;
    for (_, kind, came) in got.into_iter().filter(|(at_s, ..)| *at_s >= WARM_S) {
        take(&mut seen, kind, came, gap_aim_s);
    }
    seen.sort();
    Ok(seen)
}

pub fn take(seen: &mut Seen, kind: usize, came: Result<Got, String>, gap_aim_s: f64) {
    let of = &KINDS[kind];
    seen.asked += 1.0;
    seen.asked_worth += of.worth;
    let got = match came {
        Ok(got) => got,
        Err(why) => return *seen.unserved.entry(why).or_default() += 1,
    };
    seen.served += 1;
    seen.first_s.push(got.first_s);
    if KINDS[got.kind].answer[1] > 500 {
        seen.long_gap_s.push(got.gap_s);
    }
    // The classes' aims in deploy/dispatch.toml.
    let (aim, by_thousand) = if of.class == "slot-query" {
        (1.5, 0.04)
    } else {
        (2.5, 0.12)
    };
    if got.first_s <= aim + by_thousand * mean(of.prompt) / 1000.0 {
        seen.first_in_time += of.worth;
        seen.whole_in_time += if got.gap_s <= gap_aim_s {
            of.worth
        } else {
            0.0
        };
    }
}

pub fn row(name: &str, seen: &Seen) {
    let mean = |all: &[f64]| all.iter().sum::<f64>() / all.len().max(1) as f64;
    println!(
        "{name:<8} {:>6} {:>6} {:>9} {:>7.3} {:>7.3} {:>7.3} {:>8.3} {:>8.3} {:>8.2} {:>8.2} {:?}",
        seen.asked,
        seen.served,
        seen.preempted,
        mean(&seen.used),
        mean(&seen.most_used),
        seen.first_in_time / seen.asked_worth,
        seen.whole_in_time / seen.asked_worth,
        quantile(&seen.first_s, 0.5),
        quantile(&seen.first_s, 0.99),
        quantile(&seen.long_gap_s, 0.99) * 1000.0,
        seen.unserved
    );
}

/// Both ways by turns, the same requests at the same times.
pub fn measure(share: f64, seconds: f64, rounds: u64, ceiling: u32) -> Result<(), String> {
    if !(0.05..=2.0).contains(&share) || seconds <= WARM_S || rounds == 0 {
        return Err(format!(
            "a share of memory of 0.05 to 2 and more than {WARM_S} s are expected"
        ));
    }
    let fill = fill(share);
    let gap_aim_s = patience_s(&fill);
    println!(
        "{DISPATCHERS} dispatchers, {WRITERS} writers of {MEMORY} tokens; {share} of it asked for by {:.1} requests a second under ceilings of {ceiling}: {:.1} \
         sequences at a writer, steps of {:.2} ms; whole in time: first token within its class's aim, {:.2} ms a token at the most",
        fill.rate,
        fill.running,
        fill.step_s * 1000.0,
        gap_aim_s * 1000.0
    );
    println!(
        "{:<8} {:>6} {:>6} {:>9} {:>7} {:>7} {:>7} {:>8} {:>8} {:>8} {:>8} not served",
        "lengths",
        "asked",
        "served",
        "preempted",
        "memory",
        "fullest",
        "first",
        "whole",
        "p50 s",
        "p99 s",
        "gap p99"
    );
    let mut sums = [(0, 0.0, 0.0); 2];
    for round in 1..=rounds {
        let asked = plan(fill.rate, seconds, round);
        // Which goes first changes, should the machine grow tired.
        for on in [round % 2 == 0, round % 2 == 1] {
            let seen = way(on, &asked, gap_aim_s, ceiling)?;
            row(if on { "on" } else { "off" }, &seen);
            let sum = &mut sums[usize::from(on)];
            *sum = (
                sum.0 + seen.preempted,
                sum.1 + seen.first_in_time,
                sum.2 + seen.whole_in_time,
            );
        }
    }
    let [off, on] = sums;
    println!(
        "on beside off: preempted {:.2}, worth with a first token in time {:.3}, worth whole in time {:.3}",
        on.0 as f64 / f64::from(u32::try_from(off.0).unwrap_or(u32::MAX).max(1)),
        on.1 / off.1.max(1e-9),
        on.2 / off.2.max(1e-9)
    );
    Ok(())
}
