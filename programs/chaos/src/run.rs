//! One day from start to verdict.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bitternlatch_core::record::{read, replay};
use bitternlatch_core::settings::{Effect, Settings};
use bitternlatch_invariant_checker::{judge_dir, ClassFacts, ColdFacts, Facts, HostFacts, Verdict};
use bitternlatch_mock_engine::capture::{unix_us, Capture};
use bitternlatch_mock_engine::Standins;
use bitternlatch_net::lock;

use crate::agents::{draw, workflows, Drawn, Field};
use crate::clients::{plan, play, Service};
use crate::day::Day;
use crate::parted::{self, Happened, Joined, What};
use crate::process::Dispatcher;
use crate::secured::{Proofs, SecuredFacts};
use crate::views;
use bitternlatch_machine_load::{MachineLoad, Monitor};

/// What a day came to.
pub struct Outcome {
    pub verdict: Verdict,
    /// Steps of the dispatchers' records, and records of which each output was given again alike.
    pub replayed_steps: usize,
    pub records: usize,
    pub records_alike: usize,
    /// Dispatchers that ended in order when told to.
    pub orderly: usize,
    /// On a day with callers that prove who they are.
    pub secured: Option<SecuredFacts>,
    /// What dispatchers that know each other believed without cause, or failed to see.
    pub views: Vec<String>,
    /// Kills, pauses and cuts that were drawn from the seed.
    pub drawn: usize,
    pub machine: MachineLoad,
}

/// What a script's thread writes down.
#[derive(Default)]
struct Noted {
    kills: Vec<(u64, String)>,
    drains: Vec<(u64, String)>,
    readies: Vec<(u64, String)>,
}

type Shared = Arc<Mutex<Vec<Dispatcher>>>;

/// Plays a day in a folder of its own and judges it. `image` is the program that dispatchers are made from.
///
/// # Errors
/// Where something of it cannot be started or written; a broken rule is no error but a verdict.
pub fn run(day: &Day, base: &Path, dir: &Path, image: &Path) -> Result<Outcome, String> {
    let fail = |what: &'static str| move |e: std::io::Error| format!("{what}: {e}");
    std::fs::create_dir_all(dir).map_err(fail("the day's folder"))?;
    let settings_path = base.join(&day.dispatchers.settings);
    let shown = settings_path.display().to_string();
    let text = std::fs::read_to_string(&settings_path).map_err(|e| format!("{shown}: {e}"))?;
    let mut table: toml::Table = toml::from_str(&text).map_err(|e| format!("{shown}: {e}"))?;
    table.extend(day.dispatchers.over.clone());
    // With what the day puts over it: clients and judge go by the classes that dispatchers are told.
    let settings = Settings::parse(&shown, &table.to_string()).map_err(|e| e.to_string())?;
    let proofs = day
        .secure
        .as_ref()
        .map(|_| proofs(day, dir))
        .transpose()?
        .map(Arc::new);
    let mut standins = day.standins();
    if let Some(proofs) = &proofs {
        proofs.settings(&mut table)?;
        standins.tls = Some(proofs.hosts());
    }

    let host_lines = Capture::file(&dir.join("hosts.jsonl")).map_err(fail("hosts.jsonl"))?;
    let client_lines = Capture::file(&dir.join("clients.jsonl")).map_err(fail("clients.jsonl"))?;
    let began = unix_us();
    let hosts = Standins::start(standins, host_lines.clone()).map_err(fail("the stand-ins"))?;
    write_list(dir, day, &hosts, &settings.zone, &[]).map_err(fail("hosts.csv"))?;
    let mut dispatchers = Vec::new();
    for number in 1..=day.dispatchers.count {
        let mut one = Dispatcher::new(dir, number, day.dispatchers.count, &table);
        if let Some(proofs) = &proofs {
            one.secured(proofs.desk());
        }
        dispatchers.push(one);
    }
    let joined = match day.dispatchers.cluster {
        true => {
            Some(Joined::make(dir, day.dispatchers.count, day.seed).map_err(fail("the cluster"))?)
        }
        false => None,
    };
    if let Some(joined) = joined.as_ref().filter(|_| !day.dispatchers.strangers) {
        joined
            .settle(&mut dispatchers, &day.dispatchers.beside)
            .map_err(fail("the cluster"))?;
    }
    for one in &mut dispatchers {
        one.start(image).map_err(fail("a dispatcher"))?;
    }
    if let Some(late) = dispatchers
        .iter()
        .find(|d| !d.ready(Duration::from_secs(20)))
    {
        return Err(format!(
            "{} is not ready; see its log in {}",
            late.name,
            dir.display()
        ));
    }
    let mut service = service(day, &settings, &dispatchers, client_lines.clone());
    service.proofs.clone_from(&proofs);
    let keys = keys_script(
        day,
        &proofs,
        dispatchers
            .first()
            .map(|d| d.address.clone())
            .unwrap_or_default(),
    );
    let dispatchers: Shared = Arc::new(Mutex::new(dispatchers));
    let noted = Arc::new(Mutex::new(Noted::default()));
    let draw = |a| draw(a, day.seed, day.dispatchers.count, &day.process);
    let drawn = day.agents.as_ref().map(draw).unwrap_or_default();
    let field = match &day.agents {
        Some(agents) => {
            let named = &service.dispatchers;
            Some(Field::start(agents, day.seed, dir, image, named).map_err(fail("the workers"))?)
        }
        None => None,
    };
    let scripted = unix_us();
    let monitor = Monitor::start();
    let scripts = scripts(day, dir, image, &settings, &hosts, &dispatchers, &noted);
    let scripts = match &joined {
        Some(joined) => {
            let Drawn {
                process,
                between,
                workers,
            } = &drawn;
            let (between, process) = (
                [&day.between[..], between].concat(),
                [&day.process[..], process].concat(),
            );
            let more = joined.scripts(&between, &process, image, &dispatchers);
            let workers = field.iter().flat_map(|field| field.scripts(workers));
            scripts.into_iter().chain(more).chain(workers).collect()
        }
        None => scripts,
    };
    clients(day, service);
    field.iter().for_each(Field::wait);
    for script in scripts {
        let _ = script.join();
    }
    if field.is_some() {
        // A trouble may have ended just now: its members are given the time to find each other that other days have.
        std::thread::sleep(Duration::from_secs(2));
        let by = Instant::now() + Duration::from_secs(20);
        while Instant::now() < by && !views::all_whole(dir, day.dispatchers.count) {
            std::thread::sleep(Duration::from_millis(200));
        }
    }
    let mut secured = keys.and_then(|script| script.join().ok());
    let machine = monitor.finish();
    let told_to_stop = unix_us();
    let (orderly, records) = stop(&dispatchers);
    hosts.stop();
    host_lines.settle();
    client_lines.settle();
    if let Some(field) = &field {
        field
            .collect(&dir.join("clients.jsonl"))
            .map_err(fail("the workers' captures"))?;
    }
    let truths = joined
        .as_ref()
        .map(|j| lock(&j.truths).clone())
        .unwrap_or_default();
    for truth in &truths {
        // One that was paused answers late, and is not asked for more than one that was killed.
        if let Happened::Away(i) = truth.what {
            lock(&noted)
                .kills
                .push((truth.from_us, format!("dispatch-{}", i + 1)));
        }
    }
    let views = match joined {
        Some(_) if !day.dispatchers.strangers => {
            let mut said = views::read(dir)?;
            if field.is_some() {
                // A killed one's part is counted to the end that it might have had at the most: too long where many are killed
                // that had been without a steward. Days of their own judge parts.
                said.parts.clear();
            }
            views::judge(&said, &truths, day.dispatchers.count, told_to_stop)
        }
        _ => Vec::new(),
    };
    let away = truths.iter().filter_map(|t| match t.what {
        Happened::Away(i) => Some((t.from_us, t.to_us, format!("dispatch-{}", i + 1))),
        Happened::Between(_) => None,
    });
    let troubles = troubles(day, began, scripted);
    let mut facts = Facts {
        away: away.collect(),
        troubles,
        ..facts(day, &settings, began, &noted)
    };
    if let (Some(field), Some(agents)) = (&field, &day.agents) {
        facts.workflows = workflows(agents, day.seed)
            .iter()
            .map(|w| w.facts())
            .collect();
        facts.lease_s = bitternlatch_workflow::Settings::default().lease_s;
        facts.away.extend(field.pauses());
    }
    let file = File::create(dir.join("facts.json")).map_err(fail("facts.json"))?;
    serde_json::to_writer_pretty(file, &facts).map_err(|e| format!("facts.json: {e}"))?;
    if let (Some(proofs), Some(facts)) = (&proofs, &mut secured) {
        proofs.end(facts, dir)?;
    }
    let verdict = judge_dir(dir)?;
    let (mut replayed_steps, mut records_alike) = (0, 0);
    for path in &records {
        let recorded = File::open(path)
            .map_err(|e| e.to_string())
            .and_then(|f| read(f).map_err(|e| e.to_string()));
        let found = recorded.and_then(|r| replay(&r, false).map_err(|e| e.to_string()));
        if let Ok(found) = found {
            replayed_steps += found.steps;
            records_alike += usize::from(found.difference.is_none());
        }
    }
    let (records, drawn) = (records.len(), drawn.count());
    Ok(Outcome {
        verdict,
        replayed_steps,
        records,
        records_alike,
        orderly,
        secured,
        views,
        drawn,
        machine,
    })
}

fn proofs(day: &Day, dir: &Path) -> Result<Proofs, String> {
    let hosts: Vec<&str> = day.hosts.iter().map(|h| h.config.name.as_str()).collect();
    let classes: Vec<&str> = day.mix.iter().map(|m| m.class.as_str()).collect();
    Proofs::make(dir, &hosts, &classes)
}

/// A thread that rotates and revokes, on a day that says so.
fn keys_script(
    day: &Day,
    proofs: &Option<Arc<Proofs>>,
    address: String,
) -> Option<std::thread::JoinHandle<SecuredFacts>> {
    let (script, proofs) = (day.secure.clone()?, Arc::clone(proofs.as_ref()?));
    let start = Instant::now();
    Some(std::thread::spawn(move || {
        proofs.play(&script, &address, start)
    }))
}

/// Writes the hosts' list as the operators' tools would: whole, beside, and moved into place.
fn write_list(
    dir: &Path,
    day: &Day,
    hosts: &Standins,
    zone: &str,
    draining: &[String],
) -> std::io::Result<()> {
    let mut text = String::from("name,address,port,kind,cell,zone,state,note\n");
    for host in &day.hosts {
        let name = &host.config.name;
        let Some(address) = hosts.addresses().get(name) else {
            continue;
        };
        let state = if draining.contains(name) {
            "draining"
        } else {
            "ready"
        };
        let (ip, port) = (address.ip(), address.port());
        text.push_str(&format!(
            "{name},{ip},{port},{},{},{zone},{state},\"stand-in, {name}\"\n",
            host.kind, host.cell
        ));
    }
    let beside = dir.join("hosts.csv.new");
    std::fs::write(&beside, text)?;
    std::fs::rename(beside, dir.join("hosts.csv"))
}

fn service(
    day: &Day,
    settings: &Settings,
    dispatchers: &[Dispatcher],
    capture: Capture,
) -> Service {
    let class = |c: &bitternlatch_core::settings::Class| {
        (c.name.clone(), (c.effect == Effect::Safe, c.deadline_s))
    };
    Service {
        dispatchers: dispatchers
            .iter()
            .map(|d| (d.name.clone(), d.address.clone()))
            .collect(),
        capture,
        classes: settings.classes.iter().map(class).collect(),
        retries: day.retries,
        manners: day.clients.clone(),
        proofs: None,
        killed: {
            let restarted = day.dispatchers.restarts.iter().map(|r| r.dispatcher);
            let away = day.process.iter().map(|p| p.dispatcher);
            let steward = day.process.iter().any(|p| p.what == What::PauseSteward);
            // Nobody knows beforehand which one that will be.
            let any = (1..=day.dispatchers.count).filter(|_| steward);
            restarted
                .chain(away)
                .chain(any)
                .map(|number| number.saturating_sub(1))
                .collect()
        },
    }
}

/// Starts each conversation at its time and waits for all to end.
fn clients(day: &Day, service: Service) {
    let service = Arc::new(service);
    let start = Instant::now();
    let mut talks = Vec::new();
    for plan in plan(day) {
        let wait = Duration::from_secs_f64(plan.at_s).saturating_sub(start.elapsed());
        std::thread::sleep(wait);
        let (service, day) = (Arc::clone(&service), day.clone());
        let thread = std::thread::Builder::new().stack_size(256 * 1024);
        if let Ok(talk) = thread.spawn(move || play(&service, &day, &plan)) {
            talks.push(talk);
        }
    }
    for talk in talks {
        let _ = talk.join();
    }
}

/// Threads that kill dispatchers and rewrite the list at their times.
fn scripts(
    day: &Day,
    dir: &Path,
    image: &Path,
    settings: &Settings,
    hosts: &Standins,
    dispatchers: &Shared,
    noted: &Arc<Mutex<Noted>>,
) -> Vec<std::thread::JoinHandle<()>> {
    let start = Instant::now();
    let wait_until = move |at_s: f64| parted::wait_until(start, at_s);
    let mut threads = Vec::new();
    for restart in day.dispatchers.restarts.clone() {
        let (all, noted, image) = (
            Arc::clone(dispatchers),
            Arc::clone(noted),
            image.to_path_buf(),
        );
        threads.push(std::thread::spawn(move || {
            wait_until(restart.at_s);
            let i = restart.dispatcher.saturating_sub(1);
            if let Some(one) = lock(&all).get_mut(i) {
                lock(&noted).kills.push((unix_us(), one.name.clone()));
                one.kill();
            }
            wait_until(restart.at_s + restart.down_s);
            if let Some(one) = lock(&all).get_mut(i) {
                // Should it not start again, its clients find the others.
                let _ = one.start(&image);
            }
        }));
    }
    let mut lists: Vec<(f64, Vec<String>, String)> = Vec::new();
    for drain in &day.drains {
        let texts = [
            (drain.at_s, drain.hosts.clone()),
            (drain.at_s + drain.for_s, Vec::new()),
        ];
        for (at_s, names) in texts {
            // The text is made now, as the hosts' addresses stay.
            let made = write_list(dir, day, hosts, &settings.zone, &names)
                .and_then(|()| std::fs::read_to_string(dir.join("hosts.csv")));
            lists.push((at_s, names, made.unwrap_or_default()));
        }
    }
    let _ = write_list(dir, day, hosts, &settings.zone, &[]);
    lists.sort_by(|a, b| a.0.total_cmp(&b.0));
    let (noted, dir) = (Arc::clone(noted), dir.to_path_buf());
    threads.push(std::thread::spawn(move || {
        let mut before: Vec<String> = Vec::new();
        for (at_s, names, text) in lists {
            wait_until(at_s);
            // In two pieces and not moved into place, as a careless editor writes.
            let (head, _) = text.split_at(text.len() / 2);
            let path = dir.join("hosts.csv");
            let _ = std::fs::write(&path, head);
            std::thread::sleep(Duration::from_millis(30));
            let _ = std::fs::write(&path, &text);
            let t = unix_us();
            let mut noted = lock(&noted);
            noted.readies.extend(
                before
                    .drain(..)
                    .filter(|n| !names.contains(n))
                    .map(|n| (t, n)),
            );
            noted.drains.extend(names.iter().map(|n| (t, n.clone())));
            before = names;
        }
    }));
    threads
}

/// Tells all dispatchers to stop; gives how many did in order, and their records.
fn stop(dispatchers: &Shared) -> (usize, Vec<PathBuf>) {
    let mut all = lock(dispatchers);
    all.iter().for_each(Dispatcher::terminate);
    let orderly = all
        .iter_mut()
        .map(|d| d.ended(Duration::from_secs(20)))
        .filter(|ended| *ended)
        .count();
    (orderly, all.iter().flat_map(Dispatcher::records).collect())
}

/// Troubles of the day's script: those of hosts from the hosts' start, the others from the scripts'.
fn troubles(day: &Day, began: u64, scripted: u64) -> Vec<(u64, u64, String)> {
    let span = |from: u64, at_s: f64, for_s: f64, what: String| {
        (
            from + (at_s * 1e6) as u64,
            from + ((at_s + for_s) * 1e6) as u64,
            what,
        )
    };
    let (of, by) = (&day.dispatchers, scripted);
    let hosts = day
        .faults
        .iter()
        .map(|f| span(began, f.at_s, f.for_s, format!("{:?} of hosts", f.trouble)));
    let between = day
        .between
        .iter()
        .map(|b| span(by, b.at_s, b.for_s, "between".into()));
    let processes = day
        .process
        .iter()
        .map(|p| span(by, p.at_s, p.for_s, format!("{:?}", p.what)));
    let restarts = of
        .restarts
        .iter()
        .map(|r| span(by, r.at_s, r.down_s, "restart".into()));
    let surges = day
        .surge
        .iter()
        .map(|s| span(by, s.at_s, s.for_s, format!("{} times", s.factor)));
    let mut all: Vec<_> = hosts
        .chain(between)
        .chain(processes)
        .chain(restarts)
        .chain(surges)
        .collect();
    all.sort();
    all
}

fn facts(day: &Day, settings: &Settings, began: u64, noted: &Mutex<Noted>) -> Facts {
    let effect = |e: Effect| match e {
        Effect::Safe => "safe",
        Effect::Keyed => "keyed",
        Effect::Unsafe => "unsafe",
    };
    let class = |c: &bitternlatch_core::settings::Class| ClassFacts {
        name: c.name.clone(),
        effect: effect(c.effect).to_string(),
        deadline_s: c.deadline_s,
        worth: c.priority_weight,
        late_worth: c.late_weight_fraction,
        ttft_aim_s: c.ttft_objective_s,
        ttft_aim_ms_per_1000_tokens: c.ttft_objective_ms_per_1000_tokens,
    };
    let host = |h: &crate::day::DayHost| HostFacts {
        name: h.config.name.clone(),
        read_tokens_per_s: h.config.read_tokens_per_s,
        token_gap_s: h.config.token_gap_s,
        slots: h.config.slots,
        sequence_step_s: h.config.sequence_step_s,
    };
    let cold = day.standins().cold;
    let noted = lock(noted);
    Facts {
        classes: settings.classes.iter().map(class).collect(),
        hosts: day.hosts.iter().map(host).collect(),
        drain_grace_s: settings.rules.drain_grace_s,
        pin_limit_s: settings.rules.kv_hold_limit_s,
        // Read alike twice, so at most three looks.
        list_s: 3.0 * settings.inventory.poll_interval_s,
        cold: ColdFacts {
            start_capacity: cold.start_capacity,
            warm_after_s: cold.warm_after_s,
            overload_factor: cold.overload_factor,
            window_s: cold.window_s,
        },
        kills: noted.kills.clone(),
        list_drains: noted.drains.clone(),
        list_ready: noted.readies.clone(),
        downs: day
            .downs()
            .into_iter()
            .map(|(s, h)| (began + (s * 1e6) as u64, h))
            .collect(),
        ..Facts::default()
    }
}
