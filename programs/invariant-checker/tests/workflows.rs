//! Each rule of workflows fails on a capture made for it, and on none without cause.

use bitternlatch_invariant_checker::{judge, Breach, ClassFacts, Facts, Rule, WorkflowFacts};
use bitternlatch_mock_engine::capture::Line;
use serde_json::{json, Value};

const MS: u64 = 1000;

/// A capture under way: one worker a connection, one host.
#[derive(Default)]
struct Scene {
    clients: Vec<Line>,
    hosts: Vec<Line>,
    tries: u32,
}

fn line(t: u64, who: &str, peer: &str, dir: &str, text: &Value) -> Line {
    Line {
        t,
        who: who.into(),
        peer: peer.into(),
        dir: dir.into(),
        text: text.to_string(),
    }
}

impl Scene {
    /// A worker asks; the answer is heard 10 ms later, where there is one.
    fn ask(
        &mut self,
        t: u64,
        who: &str,
        meta: Value,
        input: &str,
        answer: Option<Result<&str, &str>>,
    ) {
        self.tries += 1;
        let name = format!("{who}-{}", self.tries);
        let mut metadata = json!({ "workflow": "w", "try": name, "class": "c" });
        metadata
            .as_object_mut()
            .expect("an object")
            .extend(meta.as_object().expect("an object").clone());
        let peer = format!("dispatch-1#{who}");
        let create = json!({ "type": "response.create", "model": "m", "input": input, "metadata": metadata });
        self.clients.push(line(t, who, &peer, "out", &create));
        let response = |kind: &str, status: &str, text: &str| {
            json!({ "type": kind, "response": {
                "id": format!("resp_{:024x}tag", self.tries), "object": "response", "created_at": 0,
                "status": status, "model": "m", "metadata": metadata, "output": [ { "id": "i",
                "type": "message", "role": "assistant", "status": "completed", "content": [
                { "type": "output_text", "text": text, "annotations": [] } ] } ] } })
        };
        self.clients.push(line(
            t,
            who,
            &peer,
            "in",
            &response("response.created", "in_progress", ""),
        ));
        let event = match answer {
            None => return,
            Some(Ok(text)) => response("response.completed", "completed", text),
            Some(Err(code)) => json!({ "type": "error", "status": 503, "error": { "code": code,
                "retry_after_ms": 100, "metadata": metadata } }),
        };
        self.clients
            .push(line(t + 10 * MS, who, &peer, "in", &event));
    }

    fn claim(&mut self, t: u64, who: &str, epoch: u64, steps: &[(u32, &str)]) {
        let steps: Vec<Value> = steps
            .iter()
            .map(|(n, r)| json!({ "number": n, "fate": "done", "result": r }))
            .collect();
        let granted = json!({ "epoch": epoch, "context": "", "steps": steps }).to_string();
        self.ask(
            t,
            who,
            json!({ "workflow_do": "claim" }),
            "x",
            Some(Ok(&granted)),
        );
    }

    /// A step; `ran` sends it to the host 1 ms after it was asked.
    fn step(
        &mut self,
        t: u64,
        who: &str,
        at: (u64, u32),
        ran: bool,
        answer: Option<Result<&str, &str>>,
    ) {
        let (epoch, step) = at;
        let input = format!("words [req=w.{step}]");
        let meta =
            json!({ "workflow_step": step.to_string(), "workflow_epoch": epoch.to_string() });
        self.ask(t, who, meta, &input, answer);
        if ran {
            self.run(t + MS, self.tries, step, Some("k"));
        }
    }

    fn run(&mut self, t: u64, request: u32, step: u32, key: Option<&str>) {
        let id = format!("{request:024x}-0");
        let body = json!({ "request_id": id, "model": "m", "prompt": format!("words [req=w.{step}]"),
            "max_tokens": 9, "stream": true, "idempotency_key": key });
        let told = json!({ "op": "completion", "id": id, "body": body });
        self.hosts.push(line(t, "writer-1", "1", "in", &told));
    }

    fn end(&mut self, t: u64, who: &str, epoch: u64, answer: Result<&str, &str>) {
        let meta = json!({ "workflow_do": "finish", "workflow_epoch": epoch.to_string() });
        self.ask(t, who, meta, "x", Some(answer));
    }

    /// Three steps: safe, keyed, unsafe.
    fn judge(self) -> Vec<Breach> {
        let class = ClassFacts {
            name: "c".into(),
            effect: "safe".into(),
            deadline_s: 6.0,
            worth: 1.0,
            late_worth: 0.0,
            ttft_aim_s: 1.0,
            ttft_aim_ms_per_1000_tokens: 0.0,
        };
        let effects = ["safe", "keyed", "unsafe"].map(str::to_string).to_vec();
        let facts = Facts {
            classes: vec![class],
            workflows: vec![WorkflowFacts {
                name: "w".into(),
                effects,
            }],
            lease_s: 3.0,
            ..Facts::default()
        };
        judge(&facts, self.clients, self.hosts).breaches
    }

    fn rules(self) -> Vec<Rule> {
        let mut rules: Vec<Rule> = self.judge().into_iter().map(|b| b.rule).collect();
        rules.dedup();
        rules
    }
}

/// A worker dies after the first step, another one goes on and finishes.
fn good() -> Scene {
    let mut s = Scene::default();
    s.claim(0, "a", 1, &[]);
    s.step(100 * MS, "a", (1, 1), true, Some(Ok("r1")));
    s.claim(4000 * MS, "b", 2, &[(1, "r1")]);
    s.step(4100 * MS, "b", (2, 2), true, Some(Ok("r2")));
    s.step(4200 * MS, "b", (2, 3), true, Some(Ok("r3")));
    s
}

fn finished() -> Scene {
    let mut s = good();
    s.end(4300 * MS, "b", 2, Ok("{}"));
    s
}

#[test]
fn a_workflow_that_is_taken_over_and_finished_breaks_nothing() {
    assert_eq!(finished().judge(), []);
}

#[test]
fn one_that_nobody_ends_or_that_lacks_a_step_breaks_the_rule_of_ends() {
    assert_eq!(good().rules(), [Rule::WorkflowsEnd]);
    let mut lacks = Scene::default();
    lacks.claim(0, "a", 1, &[]);
    lacks.end(100 * MS, "a", 1, Ok("{}"));
    assert_eq!(lacks.rules(), [Rule::WorkflowsEnd]);
    let mut parked = good();
    parked.ask(
        5000 * MS,
        "a",
        json!({ "workflow_do": "claim" }),
        "x",
        Some(Err("workflow_parked")),
    );
    assert_eq!(
        parked.rules(),
        [Rule::WorkflowsEnd],
        "two workers alone had it"
    );
    let mut lost_answer = good();
    lost_answer.ask(
        4300 * MS,
        "b",
        json!({ "workflow_do": "finish", "workflow_epoch": "2" }),
        "x",
        None,
    );
    lost_answer.ask(
        4400 * MS,
        "a",
        json!({ "workflow_do": "claim" }),
        "x",
        Some(Err("workflow_ended")),
    );
    assert!(!lost_answer.rules().contains(&Rule::WorkflowsEnd));
}

#[test]
fn unsettled_is_honest_only_where_an_unsafe_step_may_have_run() {
    let told = |s: &mut Scene| {
        s.ask(
            9000 * MS,
            "b",
            json!({ "workflow_do": "claim" }),
            "x",
            Some(Err("workflow_unsettled")),
        );
    };
    let mut dishonest = good();
    told(&mut dishonest);
    assert_eq!(dishonest.rules(), [Rule::WorkflowsEnd]);
    let mut honest = Scene::default();
    honest.claim(0, "a", 1, &[]);
    honest.step(
        100 * MS,
        "a",
        (1, 3),
        true,
        Some(Err("workflow_no_majority")),
    );
    told(&mut honest);
    assert_eq!(honest.judge(), []);
}

#[test]
fn an_unsafe_step_that_runs_twice_and_a_keyed_one_under_another_key_are_found() {
    let mut keyed = finished();
    keyed.run(4110 * MS, 90, 2, Some("other"));
    assert_eq!(keyed.rules(), [Rule::NoEffectTwice]);
    let mut again = finished();
    again.run(4110 * MS, 90, 2, Some("k"));
    assert_eq!(again.judge(), [], "the same key may come again");
    let mut twice = finished();
    twice.run(4205 * MS, 90, 3, Some("k"));
    assert!(
        twice.judge().iter().all(|b| b.rule == Rule::NoEffectTwice),
        "before its result was told"
    );
    let mut twice = finished();
    twice.run(4205 * MS, 90, 3, Some("k"));
    assert!(!twice.judge().is_empty());
}

#[test]
fn a_result_that_a_later_claim_lacks_or_shows_otherwise_is_lost() {
    let mut lacks = finished();
    lacks.claim(5000 * MS, "a", 3, &[(1, "r1"), (2, "r2")]);
    assert_eq!(lacks.rules(), [Rule::NoResultLost]);
    let mut differs = finished();
    differs.claim(5000 * MS, "a", 3, &[(1, "r1"), (2, "other"), (3, "r3")]);
    assert_eq!(differs.rules(), [Rule::NoResultLost]);
    let mut again = finished();
    again.step(5000 * MS, "b", (2, 2), false, Some(Ok("other")));
    assert_eq!(again.rules(), [Rule::NoResultLost]);
}

#[test]
fn a_result_that_the_context_alone_tells_is_not_lost() {
    let claim = |context: &str| {
        let mut s = finished();
        let granted = json!({ "epoch": 3, "context": context, "steps": [{ "number": 3, "fate": "done",
            "result": "r3" }] });
        s.ask(
            5000 * MS,
            "a",
            json!({ "workflow_do": "claim" }),
            "x",
            Some(Ok(&granted.to_string())),
        );
        s.rules()
    };
    assert_eq!(claim("2 steps done earlier\n1: r1\n2: r2\n"), []);
    assert_eq!(
        claim("2 steps done earlier\n1: r1\n12: r2\n"),
        [Rule::NoResultLost]
    );
}

#[test]
fn a_step_that_is_known_to_be_done_and_runs_again_is_found() {
    let mut safe = finished();
    safe.run(9000 * MS, 90, 1, Some("k"));
    assert_eq!(safe.rules(), [Rule::DoneOnce]);
    let mut under_way = finished();
    under_way.run(2000 * MS, 90, 1, Some("k"));
    assert_eq!(
        under_way.judge(),
        [],
        "permitted before, and repeated at no cost"
    );
    let mut unsafe_one = finished();
    unsafe_one.run(4300 * MS, 90, 3, Some("k"));
    assert!(unsafe_one.rules().contains(&Rule::DoneOnce));
}

#[test]
fn an_older_epoch_that_runs_a_step_and_an_epoch_given_twice_are_found() {
    let mut old = finished();
    old.step(4250 * MS, "a", (1, 2), true, Some(Ok("r2")));
    assert_eq!(old.rules(), [Rule::FencedStays]);
    let mut refused = finished();
    refused.step(4250 * MS, "a", (1, 2), false, Some(Err("workflow_fenced")));
    assert_eq!(refused.judge(), []);
    let mut known = finished();
    known.step(4250 * MS, "a", (1, 2), false, Some(Ok("r2")));
    assert_eq!(known.judge(), [], "what is known may be told to anybody");
    let mut late = good();
    // Asked before the later claim, sent long after it.
    late.step(3000 * MS, "a", (1, 2), false, None);
    late.run(9000 * MS, late.tries, 2, Some("k"));
    assert!(late.rules().contains(&Rule::FencedStays));
    let mut twice = finished();
    twice.claim(5000 * MS, "c", 2, &[(1, "r1"), (2, "r2"), (3, "r3")]);
    assert_eq!(twice.rules(), [Rule::FencedStays]);
    let mut falls = finished();
    falls.claim(5000 * MS, "c", 1, &[(1, "r1"), (2, "r2"), (3, "r3")]);
    assert_eq!(falls.rules(), [Rule::FencedStays]);
}
