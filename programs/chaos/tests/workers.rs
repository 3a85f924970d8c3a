//! A worker before small dispatchers of this test's own: it goes elsewhere, claims again, and stops where it is fenced.
mod common;

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bitternlatch_chaos::agents::{carry_all, draw, workflows, Agents, Brief};
use bitternlatch_chaos::parted::ProcessFault;
use bitternlatch_mock_engine::capture::Capture;
use bitternlatch_net::accept::{Acceptor, Handler, ListenerOptions};
use bitternlatch_net::socket::{Limits, Outbox};
use bitternlatch_protocol::client::{
    error, finished, parse, BadRequest, ClientEvent, Response, Status,
};
use common::folder;
use serde_json::json;

#[derive(Default)]
struct Workflow {
    epoch: u64,
    results: BTreeMap<u32, String>,
    ended: bool,
}

/// What small dispatchers share.
#[derive(Default)]
struct Kept {
    workflows: BTreeMap<String, Workflow>,
    /// Steps that ran, in order, with their dispatcher.
    ran: Vec<(usize, String)>,
    /// Steps at which a session ends in place of an answer, once each.
    cuts: Vec<&'static str>,
    /// Steps at which another worker has taken over, once each.
    takes: Vec<&'static str>,
    fenced: usize,
}

struct Small {
    number: usize,
    kept: Arc<Mutex<Kept>>,
    open: Mutex<BTreeMap<u64, Outbox>>,
}

impl Kept {
    fn answer(
        &mut self,
        at: usize,
        meta: &BTreeMap<String, String>,
    ) -> Result<Option<String>, &'static str> {
        let said = |key: &str| meta.get(key).map(String::as_str).unwrap_or_default();
        let (name, step) = (
            said("workflow").to_string(),
            said("workflow_step").parse().unwrap_or(0),
        );
        let epoch: u64 = said("workflow_epoch").parse().unwrap_or(0);
        let mark = format!("{name}.{step}");
        let once = |of: &mut Vec<&str>| {
            of.iter()
                .position(|m| *m == mark)
                .map(|i| of.remove(i))
                .is_some()
        };
        let (cut, taken) = (once(&mut self.cuts), once(&mut self.takes));
        let one = self.workflows.entry(name).or_default();
        one.epoch += u64::from(taken);
        match said("workflow_do") {
            _ if one.ended => Err("workflow_ended"),
            "claim" => {
                one.epoch += 1;
                let step = |(n, r): (&u32, &String)| json!({ "number": n, "effect": "safe", "key": "k", "fate": "done", "result": r });
                let steps: Vec<_> = one.results.iter().map(step).collect();
                Ok(Some(
                    json!({ "epoch": one.epoch, "context": "", "lease_ms": 3000, "steps": steps })
                        .to_string(),
                ))
            }
            _ if epoch != one.epoch => {
                self.fenced += 1;
                Err("workflow_fenced")
            }
            "finish" => {
                one.ended = true;
                Ok(Some("{}".into()))
            }
            "carry" => Ok(Some("{}".into())),
            _ => {
                if !one.results.contains_key(&step) {
                    self.ran.push((at, mark));
                }
                let result = one
                    .results
                    .entry(step)
                    .or_insert_with(|| format!("r{step}"))
                    .clone();
                Ok((!cut).then_some(result))
            }
        }
    }
}

impl Handler for Small {
    fn opened(&self, connection: u64, outbox: Outbox, _: Option<bitternlatch_identity::Caller>) {
        self.open.lock().expect("open").insert(connection, outbox);
    }
    fn text(&self, connection: u64, text: String) {
        let Ok(ClientEvent::Create(create)) = parse(&text) else {
            panic!("{text}")
        };
        let answer = self
            .kept
            .lock()
            .expect("kept")
            .answer(self.number, &create.metadata);
        let open = self.open.lock().expect("open");
        let Some(outbox) = open.get(&connection) else {
            return;
        };
        let text = match answer {
            Ok(None) => return outbox.abort(),
            Err(code) => {
                let bad = BadRequest {
                    status: 409,
                    code,
                    message: code.to_string(),
                    param: None,
                };
                error(&bad, None, Some(&create.metadata))
            }
            Ok(Some(text)) => {
                let response = Response {
                    id: "resp_1".into(),
                    object: "response".into(),
                    created_at: 0,
                    status: Status::Completed,
                    model: create.model,
                    previous_response_id: None,
                    max_output_tokens: None,
                    metadata: create.metadata,
                    output: vec![],
                    usage: None,
                    error: None,
                    incomplete_details: None,
                };
                finished(1, &response.with_text(&text))
            }
        };
        let _ = outbox.text(text);
    }
    fn closed(&self, connection: u64, _why: String) {
        self.open.lock().expect("open").remove(&connection);
    }
    fn get(&self, _path: &str) -> (u16, String) {
        (404, String::new())
    }
}

fn agents() -> Agents {
    toml::from_str(
        "workers = 1\nworkflows = 2\nsteps = 4\nunsafe_share = 0.3\nkeyed_share = 0.3\nwithin_s = 20",
    )
    .expect("agents")
}

/// Two small dispatchers and a worker that carries all; gives what was kept.
fn play(name: &str, cuts: &[&'static str], takes: &[&'static str]) -> (Kept, usize) {
    let dir = folder(name);
    std::fs::create_dir_all(dir.join("over")).expect("a folder");
    let kept: Arc<Mutex<Kept>> = Arc::default();
    kept.lock().expect("kept").cuts = cuts.to_vec();
    kept.lock().expect("kept").takes = takes.to_vec();
    let socket = Limits {
        max_message_bytes: 1 << 20,
        max_queued_messages: 1024,
        ping_interval: Duration::from_secs(5),
        idle_timeout: None,
    };
    let start = |number: usize| {
        let small = Small {
            number,
            kept: Arc::clone(&kept),
            open: Mutex::default(),
        };
        let listener = TcpListener::bind("127.0.0.1:0").expect("an address");
        let door = ListenerOptions::plaintext(64, Duration::from_secs(5), socket.clone());
        Acceptor::start(listener, door, Arc::new(small)).expect("an acceptor")
    };
    let doors = [start(0), start(1)];
    let dispatchers = doors
        .iter()
        .enumerate()
        .map(|(i, d)| (format!("dispatch-{}", i + 1), d.address().to_string()));
    let brief = Brief {
        name: "worker-1".into(),
        number: 0,
        start: 1,
        seed: 5,
        agents: agents(),
        dispatchers: dispatchers.collect(),
        capture: dir.join("worker"),
        over: dir.join("over"),
    };
    carry_all(&brief, &Capture::none());
    doors.iter().for_each(Acceptor::stop);
    let over = |wf: &str| Path::new(&brief.over).join(wf).exists();
    let ended = ["wf-1", "wf-2"].iter().filter(|wf| over(wf)).count();
    let kept = std::mem::take(&mut *kept.lock().expect("kept"));
    (kept, ended)
}

#[test]
fn a_worker_whose_session_ends_claims_elsewhere_and_runs_no_step_again() {
    let (kept, ended) = play("workers-cut", &["wf-1.2", "wf-2.4"], &[]);
    assert_eq!(ended, 2);
    assert!(kept
        .workflows
        .values()
        .all(|w| w.ended && w.results.len() == 4 && w.epoch == 2));
    let mut ran: Vec<&String> = kept.ran.iter().map(|r| &r.1).collect();
    ran.sort();
    ran.dedup();
    assert_eq!((ran.len(), kept.ran.len()), (8, 8), "{:?}", kept.ran);
    let at: std::collections::BTreeSet<usize> = kept.ran.iter().map(|r| r.0).collect();
    assert_eq!(at.len(), 2, "it went elsewhere: {:?}", kept.ran);
}

#[test]
fn a_worker_that_is_fenced_stops_and_comes_back_under_a_later_epoch() {
    let (kept, ended) = play("workers-fenced", &[], &["wf-1.3"]);
    assert_eq!((ended, kept.fenced), (2, 1));
    assert_eq!(
        kept.workflows["wf-1"].epoch, 3,
        "its own, the other's, its own again"
    );
    assert_eq!(kept.workflows["wf-2"].epoch, 1);
}

#[test]
fn plans_and_troubles_are_alike_for_one_seed_and_keep_their_bounds() {
    let mut agents = agents();
    (agents.steps, agents.workflows, agents.workers) = (200, 5, 4);
    (agents.kills, agents.kills_within_s) = (200, 80.0);
    let plan = workflows(&agents, 9);
    assert_eq!(plan, workflows(&agents, 9));
    assert_ne!(plan, workflows(&agents, 10));
    let effects: Vec<usize> = plan
        .iter()
        .flat_map(|w| &w.steps)
        .map(|s| s.effect)
        .collect();
    let share =
        |of: usize| effects.iter().filter(|e| **e == of).count() as f64 / effects.len() as f64;
    assert!((share(1) - 0.3).abs() < 0.05 && (share(2) - 0.3).abs() < 0.05);
    let scripted =
        toml::from_str("at_s = 30\nfor_s = 2\ndispatcher = 5\nwhat = \"kill\"").expect("a fault");
    let drawn = draw(&agents, 9, 6, &[scripted]);
    assert_eq!(drawn.count(), 200);
    let away = |at: f64| {
        drawn
            .process
            .iter()
            .filter(|f| f.at_s <= at && at < f.at_s + f.for_s)
            .count()
    };
    assert!(
        (0..900).all(|tenth| away(f64::from(tenth) / 10.0) <= 2),
        "a majority of six is there"
    );
    let meets = |f: &&ProcessFault| f.dispatcher == 5 && f.at_s < 32.0 && f.at_s + f.for_s > 30.0;
    assert_eq!(
        drawn.process.iter().filter(meets).count(),
        0,
        "what is scripted for a process is its own"
    );
    assert!(drawn.workers.iter().any(|f| f.killed) && drawn.workers.iter().any(|f| !f.killed));
}
