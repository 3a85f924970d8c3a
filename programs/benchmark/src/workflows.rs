//! What it costs that another worker can resume: steps of workflows beside plain requests at the same dispatchers, in one run.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bitternlatch_chaos::client::{Came, Client};
use bitternlatch_chaos::process::{own_address, Dispatcher};
use bitternlatch_core::settings::{Cluster, Peer};
use bitternlatch_mock_engine::capture::{unix_us, Capture, Line};
use bitternlatch_protocol::engine::{decode, ToEngine};
use bitternlatch_protocol::workflow::Claimed;
use crossbeam_channel::Receiver;
use serde_json::json;

use crate::rig::{folder, quantile, stand_ins_seen, Hosts};

const SETTINGS: &str = include_str!("../../../deploy/dispatch.toml");
const PATIENCE: Duration = Duration::from_secs(20);
/// A worker looks so often whether a workflow may be taken over.
const LOOK_EVERY: Duration = Duration::from_millis(50);
const BREATH: Duration = Duration::from_millis(5);
const AT_ONCE: usize = 32;
const BUSY_FOR: Duration = Duration::from_secs(5);

/// Dispatchers that know each other, with workflows on.
struct Fleet {
    all: Vec<Dispatcher>,
}

impl Fleet {
    fn start(count: usize, hosts: &Hosts, kept: bool) -> Result<Fleet, String> {
        let dir = folder();
        let fail = |e: std::io::Error| e.to_string();
        std::fs::create_dir_all(&dir).map_err(fail)?;
        let mut list = String::from("name,address,port,kind,cell,zone\n");
        for (name, address, kind) in hosts {
            let (ip, port) = address
                .rsplit_once(':')
                .ok_or("an address without a port")?;
            list.push_str(&format!("{name},{ip},{port},{kind},rack-a,pos-site\n"));
        }
        std::fs::write(dir.join("hosts.csv"), list).map_err(fail)?;
        std::fs::write(
            dir.join("secret"),
            "known to the members of this measurement\n",
        )
        .map_err(fail)?;
        let settings: toml::Table = toml::from_str(SETTINGS).map_err(|e| e.to_string())?;
        let peer = |n: usize| Peer {
            name: format!("dispatch-{n}"),
            address: own_address(7811),
            client_address: None,
        };
        let roster: Vec<Peer> = (1..=count).map(peer).collect();
        let mut all = Vec::new();
        for number in 1..=count {
            let mut one = Dispatcher::new(&dir, number, count, &settings);
            let start = format!("{}.start", one.name);
            let cluster = Cluster {
                name: "measured".to_string(),
                secret: "secret".to_string(),
                incarnation_file: Some(start),
                roster: roster.clone(),
                ..Cluster::default()
            };
            let mut table = toml::Table::try_from(cluster).map_err(|e| e.to_string())?;
            let mut workflows = toml::Table::from_iter([("steps".to_string(), 5000.into())]);
            if kept {
                workflows.insert("kept".into(), format!("{}.workflows", one.name).into());
            }
            table.insert("workflows".into(), workflows.into());
            one.set("cluster", table.into());
            one.without_record();
            all.push(one);
        }
        let mut fleet = Fleet { all };
        for at in 0..count {
            fleet.restart(at)?;
        }
        fleet.until_ready()?;
        Ok(fleet)
    }

    fn restart(&mut self, at: usize) -> Result<(), String> {
        let image = std::env::current_exe().map_err(|e| e.to_string())?;
        self.all[at].start(&image).map_err(|e| e.to_string())
    }

    /// Until each can take a workflow: its copies have found each other.
    fn until_ready(&self) -> Result<(), String> {
        let by = Instant::now() + Duration::from_secs(30);
        for (at, one) in self.all.iter().enumerate() {
            if !one.ready(Duration::from_secs(20)) {
                return Err(format!("{} is not ready", one.name));
            }
            let mut worker = self.worker(at, "first")?;
            while worker.claim(&format!("first-{at}")).is_err() {
                if Instant::now() > by {
                    return Err(format!("{} grants no claim", one.name));
                }
                std::thread::sleep(LOOK_EVERY);
            }
        }
        Ok(())
    }

    fn worker(&self, at: usize, name: &str) -> Result<Worker, String> {
        let client = Client::connect(&self.all[at].address, name, "d", Capture::none());
        Ok(Worker {
            client: client.map_err(|e| e.to_string())?,
            name: name.to_string(),
            epoch: 0,
        })
    }
}

/// One worker's session.
struct Worker {
    client: Client,
    name: String,
    epoch: u64,
}

impl Worker {
    fn ask(&self, metadata: serde_json::Value, input: &str) -> Result<String, String> {
        let create = json!({ "type": "response.create", "model": "m", "input": input, "metadata": metadata });
        self.client.say(&create.to_string());
        loop {
            match self.client.next(PATIENCE) {
                Came::Event(event) if event.kind == "error" => {
                    return Err(event.error.map(|e| e.to_string()).unwrap_or_default());
                }
                Came::Event(event) if event.is_final() => {
                    let response = event.response.ok_or("a final event without a response")?;
                    if let Some(error) = response.error {
                        return Err(error.message);
                    }
                    let parts = response.output.into_iter().flat_map(|item| item.content);
                    return Ok(parts.map(|part| part.text).collect());
                }
                Came::Event(_) => {}
                other => return Err(format!("{other:?}")),
            }
        }
    }

    fn claim(&mut self, workflow: &str) -> Result<Claimed, String> {
        let meta = json!({ "class": "slot-query", "workflow": workflow, "workflow_do": "claim", "workflow_worker": self.name });
        let claimed: Claimed =
            serde_json::from_str(&self.ask(meta, "claim")?).map_err(|e| e.to_string())?;
        self.epoch = claimed.epoch;
        Ok(claimed)
    }

    fn step(&self, workflow: &str, step: usize) -> Result<String, String> {
        let meta = json!({ "class": "slot-query", "workflow": workflow, "workflow_epoch": self.epoch.to_string(),
            "workflow_step": step.to_string(), "idempotency_key": format!("k{workflow}.{step}") });
        self.ask(
            meta,
            &format!("a hall in week {step}? [len=2][req={workflow}.{step}]"),
        )
    }

    fn plain(&self, mark: &str) -> Result<String, String> {
        let meta = json!({ "class": "slot-query" });
        self.ask(meta, &format!("a hall in week {mark}? [len=2][req={mark}]"))
    }
}

/// When hosts first got a completion of each mark, of what they heard until now.
fn asked_at(heard: &Receiver<Line>, of: &mut BTreeMap<String, u64>) {
    for line in heard.try_iter().filter(|l| l.dir == "in") {
        let Ok(ToEngine::Completion { body, .. }) = decode(&line.text) else {
            continue;
        };
        let mark = body
            .prompt
            .rfind("[req=")
            .map(|i| &body.prompt[i + 5..])
            .and_then(|m| m.split(']').next());
        if let Some(mark) = mark {
            of.entry(mark.to_string()).or_insert(line.t);
        }
    }
}

/// Milliseconds from a request to its arrival at a host, and to its end.
#[derive(Default)]
struct Times {
    left: Vec<f64>,
    whole: Vec<f64>,
}

impl Times {
    fn sort(&mut self) {
        self.left.sort_by(f64::total_cmp);
        self.whole.sort_by(f64::total_cmp);
    }
}

/// Plain requests and steps by turns at one dispatcher.
fn beside(
    fleet: &Fleet,
    heard: &Receiver<Line>,
    steps: usize,
    run: &str,
) -> Result<[Times; 2], String> {
    let mut times = [Times::default(), Times::default()];
    let mut worker = fleet.worker(0, "w")?;
    let mut arrived = BTreeMap::new();
    let workflow = format!("{run}-beside");
    worker.claim(&workflow)?;
    for step in 1..=steps {
        for (way, times) in times.iter_mut().enumerate() {
            let mark = match way {
                0 => format!("{run}-plain.{step}"),
                _ => format!("{workflow}.{step}"),
            };
            let (said, began) = (unix_us(), Instant::now());
            match way {
                0 => worker.plain(&mark)?,
                _ => worker.step(&workflow, step)?,
            };
            times.whole.push(began.elapsed().as_secs_f64() * 1e3);
            asked_at(heard, &mut arrived);
            let at = arrived
                .get(&mark)
                .ok_or_else(|| format!("{mark} reached no host"))?;
            times.left.push(at.saturating_sub(said) as f64 / 1e3);
        }
    }
    times.iter_mut().for_each(Times::sort);
    Ok(times)
}

/// Milliseconds before a host is asked: of steps around the tenth and around the thousandth, p50 and p99.
fn late_steps(fleet: &Fleet, heard: &Receiver<Line>, run: &str) -> Result<[[f64; 2]; 2], String> {
    let mut worker = fleet.worker(0, "w")?;
    let workflow = format!("{run}-long");
    worker.claim(&workflow)?;
    let mut arrived = BTreeMap::new();
    let mut parts = [Vec::new(), Vec::new()];
    for step in 1..=1025 {
        let said = unix_us();
        worker.step(&workflow, step)?;
        asked_at(heard, &mut arrived);
        let at = arrived
            .get(&format!("{workflow}.{step}"))
            .copied()
            .unwrap_or(said);
        let took = at.saturating_sub(said) as f64 / 1e3;
        match step {
            2..=50 => parts[0].push(took),
            977..=1025 => parts[1].push(took),
            _ => {}
        }
    }
    parts
        .iter_mut()
        .for_each(|part| part.sort_by(f64::total_cmp));
    Ok(parts.map(|part| [quantile(&part, 0.5), quantile(&part, 0.99)]))
}

/// Answers a second with so many callers at once, spread over all: plain ones, or steps.
fn a_second(fleet: &Fleet, run: &str, steps: bool) -> Result<f64, String> {
    let (began, by) = (Instant::now(), Instant::now() + BUSY_FOR);
    let one = |n: usize| -> Result<usize, String> {
        let mut worker = fleet.worker(n % fleet.all.len(), &format!("w{n}"))?;
        let workflow = format!("{run}-busy-{n}");
        if steps {
            worker.claim(&workflow)?;
        }
        let mut done = 0;
        while Instant::now() < by {
            let answered = match steps {
                true => worker.step(&workflow, done + 1),
                false => worker.plain(&format!("{workflow}.{}", done + 1)),
            };
            match answered {
                Ok(_) => done += 1,
                // A refusal is not counted, and asked again.
                Err(_) => std::thread::sleep(BREATH),
            }
        }
        Ok(done)
    };
    let one = &one;
    let done: Vec<Result<usize, String>> = std::thread::scope(|scope| {
        let hands: Vec<_> = (0..AT_ONCE).map(|n| scope.spawn(move || one(n))).collect();
        hands
            .into_iter()
            .map(|h| {
                h.join()
                    .unwrap_or_else(|_| Err("a caller ended".to_string()))
            })
            .collect()
    });
    let done: usize = done
        .into_iter()
        .collect::<Result<Vec<_>, _>>()?
        .into_iter()
        .sum();
    Ok(done as f64 / began.elapsed().as_secs_f64())
}

/// Seconds from a death to the first answer to who goes on.
fn resumed(fleet: &Fleet, workflow: &str, who: &str, died: Instant) -> Result<f64, String> {
    let by = died + Duration::from_secs(60);
    let mut worker = fleet.worker(1, who)?;
    while Instant::now() < by {
        if worker.claim(workflow).is_ok() {
            let done = worker.step(workflow, 2);
            if done.is_ok() {
                return Ok(died.elapsed().as_secs_f64());
            }
        }
        std::thread::sleep(LOOK_EVERY);
    }
    Err(format!("{workflow} was not resumed within a minute"))
}

/// Workers that die, and dispatchers that are killed under them: seconds to the first answer elsewhere, sorted.
fn deaths(fleet: &mut Fleet, kills: usize) -> Result<[Vec<f64>; 2], String> {
    let mut took = [Vec::new(), Vec::new()];
    for n in 0..kills {
        let workflow = format!("worker-dies-{n}");
        let mut first = fleet.worker(0, "first")?;
        first.claim(&workflow)?;
        first.step(&workflow, 1)?;
        let died = Instant::now();
        first.client.cut();
        took[0].push(resumed(fleet, &workflow, "second", died)?);
        let workflow = format!("dispatcher-dies-{n}");
        let mut first = fleet.worker(0, "first")?;
        first.claim(&workflow)?;
        first.step(&workflow, 1)?;
        let died = Instant::now();
        fleet.all[0].kill();
        took[1].push(resumed(fleet, &workflow, "first", died)?);
        fleet.restart(0)?;
        fleet.until_ready()?;
    }
    took.iter_mut().for_each(|t| t.sort_by(f64::total_cmp));
    Ok(took)
}

fn shown(name: &str, [plain, step]: &[Times; 2]) {
    let at = |of: &[f64]| format!("{:>7.2} {:>7.2}", quantile(of, 0.5), quantile(of, 0.99));
    let added = |of: fn(&Times) -> &Vec<f64>, q| quantile(of(step), q) - quantile(of(plain), q);
    println!(
        "{name:<14} plain {}  step {}",
        at(&plain.left),
        at(&step.left)
    );
    println!(
        "{:<14} added before a step p50 {:.2} ms, p99 {:.2} ms; to its end p50 {:.2} ms, p99 {:.2} ms",
        "",
        added(|t| &t.left, 0.5),
        added(|t| &t.left, 0.99),
        added(|t| &t.whole, 0.5),
        added(|t| &t.whole, 0.99)
    );
}

/// All of it, at 3 and at 6 dispatchers, on disk and not.
pub fn measure(steps: usize, kills: usize) -> Result<(), String> {
    let (capture, heard) = Capture::channel();
    let (_hosts, list) = stand_ins_seen(None, capture)?;
    println!("milliseconds from a request to its arrival at a host, p50 and p99; {steps} plain and {steps} steps by turns");
    for (count, kept) in [(3, false), (3, true), (6, false), (6, true)] {
        let mut fleet = Fleet::start(count, &list, kept)?;
        let name = format!("{count}, {}", if kept { "on disk" } else { "in memory" });
        shown(&name, &beside(&fleet, &heard, steps, "a")?);
        let [plain, step] = [
            a_second(&fleet, "plain", false)?,
            a_second(&fleet, "steps", true)?,
        ];
        println!(
            "{:<14} {AT_ONCE} callers: {plain:.0} plain requests a second, {step:.0} steps a second",
            ""
        );
        if count == 3 {
            let [early, late] = late_steps(&fleet, &heard, "a")?;
            println!(
                "{:<14} before steps 2 to 50 p50 {:.2} p99 {:.2} ms, before steps 977 to 1,025 p50 {:.2} p99 {:.2} ms",
                "", early[0], early[1], late[0], late[1]
            );
        }
        if kept && kills > 0 {
            let [worker, dispatcher] = deaths(&mut fleet, kills)?;
            for (what, took) in [("worker dies", worker), ("dispatcher killed", dispatcher)] {
                let (p50, p99) = (quantile(&took, 0.5), quantile(&took, 0.99));
                println!(
                    "{:<14} {what}, {kills} times: resumed after p50 {p50:.2} s, p99 {p99:.2} s",
                    ""
                );
            }
        }
        fleet.all.iter_mut().for_each(Dispatcher::kill);
    }
    Ok(())
}
