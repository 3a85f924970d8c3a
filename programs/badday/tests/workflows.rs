//! Workflows over dispatchers as processes: a worker goes on at another one, and what hosts got shows what was done.
mod common;

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use bitternlatch_badday::between::{Between, Rule};
use bitternlatch_badday::client::{Came, Client};
use bitternlatch_peer_net::ask;
use bitternlatch_protocol::workflow::{Claimed, StepFate};
use bitternlatch_standin::capture::Line;
use common::*;
use serde_json::json;

const QUERY: &str = "slot-query";
const BOOKING: &str = "season-booking";
/// Longer than any pause of these tests.
const PATIENT_S: f64 = 60.0;

struct Three {
    rig: Rig,
    between: Between,
    peers: Vec<std::net::SocketAddrV4>,
    seen: Mutex<Vec<Line>>,
}

fn three(name: &str, on_disk: bool) -> Three {
    let peers = free_for_peers(3);
    let (between, roster) = between(&peers);
    let settings: toml::Table = toml::from_str(SETTINGS).expect("settings");
    let mut classes = settings["classes"].clone();
    classes.as_array_mut().into_iter().flatten().filter_map(toml::Value::as_table_mut).for_each(|class| {
        class.insert("deadline_s".into(), PATIENT_S.into());
    });
    let rig = rig_each(name, FOUR, 3, |i, one| {
        if i == 0 {
            std::fs::write(folder_of(name).join("secret"), "sixteen bytes or more").expect("a secret");
        }
        let mut cluster = cluster_table("secret", peers[i], &format!("{i}.start"), &roster);
        let mut workflows = toml::Table::from_iter([("lease_s".to_string(), 1.5.into())]);
        if on_disk {
            workflows.insert("kept".into(), format!("{i}.workflows").into());
        }
        cluster.as_table_mut().expect("a table").insert("workflows".into(), workflows.into());
        one.set("cluster", cluster);
        one.set("classes", classes.clone());
    });
    let three = Three { rig, between, peers, seen: Mutex::default() };
    (0..3).for_each(|i| three.until(i, "whole"));
    three
}

/// How a request ended: its code, or `done` and its text.
#[derive(Debug, PartialEq)]
struct End {
    code: String,
    text: String,
}

fn end(client: &Client) -> End {
    let last = to_the_end(client).pop().expect("an event");
    let refused = last.error.as_ref().map(|e| e["code"].as_str().unwrap_or_default().to_string());
    let failed = last.response.as_ref().and_then(|r| r.error.as_ref()).map(|e| e.code.clone());
    let text = last.response.and_then(|r| Some(r.output.first()?.content.first()?.text.clone()));
    End { code: refused.or(failed).unwrap_or("done".into()), text: text.unwrap_or_default() }
}

fn about(class: &str, does: &[(&str, &str)], input: &str) -> String {
    let mut meta = json!({ "class": class, "workflow": "season", "try": input });
    does.iter().for_each(|(key, value)| meta[*key] = json!(value));
    json!({ "type": "response.create", "model": "m", "input": input, "max_output_tokens": 2000, "metadata": meta })
        .to_string()
}

fn step_of(class: &str, epoch: u64, number: u32, input: &str) -> String {
    let (epoch, number) = (epoch.to_string(), number.to_string());
    let does = [("workflow_epoch", epoch.as_str()), ("workflow_step", &number), ("idempotency_key", &number)];
    about(class, &does, input)
}

impl Three {
    fn until(&self, of: usize, standing: &str) {
        let at = SocketAddr::V4(self.peers[of]);
        wait_for(standing, || ask(at, Duration::from_secs(2)).is_ok_and(|v| v.standing == standing));
    }

    fn asks(&self, at: usize, text: &str) -> End {
        let client = self.rig.client(at);
        client.say(text);
        let end = end(&client);
        client.close();
        end
    }

    fn claim(&self, at: usize, worker: &str) -> Result<Claimed, String> {
        let does = [("workflow_do", "claim"), ("workflow_worker", worker)];
        let end = self.asks(at, &about(QUERY, &does, "claim"));
        match end.code.as_str() {
            "done" => Ok(serde_json::from_str(&end.text).expect("a claim")),
            code => Err(code.to_string()),
        }
    }

    /// Claims until it is answered so.
    fn claim_until(&self, at: usize, worker: &str, code: &str) -> Option<Claimed> {
        let by = Instant::now() + Duration::from_secs(30);
        loop {
            match self.claim(at, worker) {
                Ok(claimed) if code == "done" => return Some(claimed),
                Err(other) if code == other => return None,
                other => assert!(Instant::now() < by, "{code} has not come: {other:?}"),
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    fn claimed(&self, at: usize, worker: &str) -> Claimed {
        self.claim_until(at, worker, "done").expect("a claim")
    }

    fn step(&self, at: usize, class: &str, epoch: u64, number: u32) -> End {
        self.asks(at, &step_of(class, epoch, number, &words(number)))
    }

    fn does(&self, at: usize, does: &str, epoch: u64) -> String {
        let epoch = epoch.to_string();
        self.asks(at, &about(QUERY, &[("workflow_do", does), ("workflow_epoch", &epoch)], "word")).code
    }

    /// Times that a host was told to write the answer to this step.
    fn ran(&self, number: u32) -> usize {
        let mut seen = self.seen.lock().expect("not poisoned");
        seen.extend(self.rig.lines.try_iter());
        let told = self.rig.completions(&seen);
        let written =
            told.iter().filter(|(who, text)| who.starts_with("writer") && text.contains(&words(number)));
        written.count()
    }

    fn kill(&mut self, of: usize) {
        self.rig.dispatchers[of].kill();
    }

    fn start(&mut self, of: usize) {
        self.rig.dispatchers[of].start(&image()).expect("a process");
    }

    fn end(self) {
        self.rig.end();
    }
}

fn words(number: u32) -> String {
    format!("words of step {number} [len=3]")
}

#[test]
fn a_worker_goes_on_where_a_killed_dispatcher_left_and_no_step_is_done_again() {
    let mut three = three("workflows-killed", false);
    let first = three.claimed(0, "a");
    assert!(first.steps.is_empty());
    let done: Vec<End> =
        [(1, BOOKING), (2, QUERY)].map(|(n, class)| three.step(0, class, first.epoch, n)).into();
    assert!(done.iter().all(|e| e.code == "done" && !e.text.is_empty()), "{done:?}");
    assert_eq!(three.step(0, BOOKING, first.epoch, 4).code, "workflow_unknown", "out of order");
    let other = three.asks(0, &step_of(BOOKING, first.epoch, 1, "other words [len=3]"));
    assert_eq!(other.code, "workflow_other_request");
    three.kill(0);
    let second = three.claimed(1, "b");
    assert!(second.epoch > first.epoch);
    let known: Vec<(u32, StepFate, Option<&str>)> =
        second.steps.iter().map(|s| (s.number, s.fate, s.result.as_deref())).collect();
    assert_eq!(
        known,
        [(1, StepFate::Done, Some(done[0].text.as_str())), (2, StepFate::Done, Some(&done[1].text))]
    );
    for (number, class) in [(1, BOOKING), (2, QUERY)] {
        assert_eq!(three.step(1, class, second.epoch, number), done[number as usize - 1]);
        assert_eq!(three.ran(number), 1, "no host is asked again for step {number}");
    }
    assert_eq!(three.step(2, BOOKING, first.epoch, 3).code, "workflow_fenced");
    assert_eq!(three.ran(3), 0);
    assert_eq!(three.step(1, BOOKING, second.epoch, 3).code, "done");
    assert_eq!(three.does(1, "carry", second.epoch), "done");
    assert_eq!(three.does(1, "finish", second.epoch), "done");
    assert_eq!(three.claim(2, "c"), Err("workflow_ended".to_string()));
    let record = three.rig.dir.join("dispatch-2.1.rec");
    three.end();
    assert_eq!(bitternlatch_replay::one(&record, false), 0, "its record replays alike");
}

#[test]
fn of_two_workers_that_claim_at_once_one_wins_and_the_other_is_fenced_once_it_has_lost() {
    let three = three("workflows-two", false);
    let both = std::thread::scope(|scope| {
        let one = scope.spawn(|| three.claim(0, "a"));
        let two = scope.spawn(|| three.claim(1, "b"));
        [one.join().expect("a claim"), two.join().expect("a claim")]
    });
    let won: Vec<usize> = (0..2).filter(|i| both[*i].is_ok()).collect();
    let &[winner] = won.as_slice() else { panic!("one wins: {both:?}") };
    let (loser, name) = (1 - winner, ["b", "a"][winner]);
    assert!(
        matches!(both[loser].as_ref().expect_err("lost").as_str(), "workflow_carried" | "workflow_busy"),
        "{both:?}"
    );
    let epoch = both[winner].as_ref().map(|c| c.epoch).expect("won");
    assert_eq!(three.step(winner, QUERY, epoch, 1).code, "done");
    let later = three.claimed(loser, name);
    assert_eq!(three.step(winner, BOOKING, epoch, 2).code, "workflow_fenced");
    assert_eq!(three.does(winner, "carry", epoch), "workflow_fenced");
    assert_eq!(three.ran(2), 0, "nothing of it left");
    assert_eq!(three.step(loser, BOOKING, later.epoch, 2).code, "done");
    assert_eq!(three.ran(2), 1);
    three.end();
}

#[test]
fn an_owner_that_stood_still_while_another_went_on_comes_back_with_a_result_and_is_fenced() {
    let three = three("workflows-paused", false);
    let first = three.claimed(0, "a");
    let client = three.rig.client(0);
    // A few seconds of answer, under way at the pause; the host goes on.
    client.say(&step_of(QUERY, first.epoch, 1, "words of step 1 [len=60]"));
    let begun = |c: &Client| matches!(c.next(Duration::from_secs(20)), Came::Event(e) if e.delta.is_some());
    wait_for("its first word", || begun(&client));
    three.rig.dispatchers[0].pause();
    let paused = Instant::now();
    let second = three.claimed(1, "b");
    assert!(second.epoch > first.epoch && second.steps.iter().all(|s| s.fate != StepFate::Done));
    let again = three.asks(1, &step_of(QUERY, second.epoch, 1, "words of step 1 [len=60]"));
    assert_eq!(again.code, "done");
    assert_eq!(three.step(1, BOOKING, second.epoch, 2).code, "done");
    std::thread::sleep(Duration::from_secs(10).saturating_sub(paused.elapsed()));
    three.rig.dispatchers[0].go_on();
    let late = end(&client);
    assert_eq!(late.code, "workflow_fenced", "{late:?}");
    client.close();
    let third = three.claimed(2, "c");
    let result = third.steps.iter().find(|s| s.number == 1).and_then(|s| s.result.clone());
    assert_eq!(result, Some(again.text), "the first result that a majority held stands");
    three.end();
}

#[test]
fn a_minority_takes_nothing_over_and_says_so_and_the_majority_goes_on() {
    let three = three("workflows-minority", false);
    let first = three.claimed(0, "a");
    assert_eq!(three.step(0, QUERY, first.epoch, 1).code, "done");
    three.between.part(&[0], Rule { cut: true, ..CUT });
    three.until(0, "alone");
    three.until(1, "majority");
    assert_eq!(three.step(0, QUERY, first.epoch, 1).code, "done", "what is done can be read");
    assert_eq!(three.claim(0, "b"), Err("workflow_no_majority".to_string()));
    assert_eq!(three.step(0, QUERY, first.epoch, 2).code, "workflow_no_majority");
    assert_eq!(three.step(0, BOOKING, first.epoch, 2).code, "cut_off");
    let read = three.asks(0, &create(QUERY, "plain", "a few words [len=3]"));
    assert_eq!(read.code, "done", "what is no step and harms nobody is served");
    let second = three.claimed(1, "c");
    assert_eq!(three.step(1, BOOKING, second.epoch, 2).code, "done");
    three.between.part(&[0], Rule::default());
    three.until(0, "whole");
    wait_for("its peers' word", || three.step(0, BOOKING, first.epoch, 3).code == "workflow_fenced");
    assert_eq!([1, 2, 3].map(|n| three.ran(n)), [1, 1, 0]);
    three.end();
}

#[test]
fn an_unsafe_step_whose_dispatcher_died_after_the_send_is_unsettled_until_a_person_decides() {
    let mut three = three("workflows-unsettled", false);
    let first = three.claimed(0, "a");
    let client = three.rig.client(0);
    client.say(&step_of(BOOKING, first.epoch, 1, "words of step 1 [len=200]"));
    three.rig.until("the write", |l| {
        l.dir == "in" && l.who.starts_with("writer") && l.text.contains("words of step 1")
    });
    three.kill(0);
    three.claim_until(1, "b", "workflow_unsettled");
    assert_eq!(three.claim(2, "b"), Err("workflow_unsettled".to_string()), "and stays so");
    let decides = [("workflow_do", "settle"), ("workflow_step", "1"), ("workflow_fate", "done")];
    wait_for("the end of its last lease", || {
        three.asks(1, &about(QUERY, &decides, "booked, says the hall")).code == "done"
    });
    let second = three.claimed(1, "b");
    let step = &second.steps[0];
    assert_eq!((step.fate, step.result.as_deref()), (StepFate::Done, Some("booked, says the hall")));
    assert_eq!(three.step(1, BOOKING, second.epoch, 2).code, "done");
    three.end();
}

#[test]
fn all_restarted_at_once_know_everything_from_disk_and_say_so_where_a_majority_is_lost() {
    let mut three = three("workflows-disks", true);
    let first = three.claimed(0, "a");
    let done: Vec<String> = [1, 2, 3].map(|n| three.step(0, BOOKING, first.epoch, n).text).into();
    (0..3).for_each(|i| three.kill(i));
    (0..3).for_each(|i| three.start(i));
    (0..3).for_each(|i| three.until(i, "whole"));
    let second = three.claimed(2, "b");
    let results: Vec<String> = second.steps.iter().filter_map(|s| s.result.clone()).collect();
    assert_eq!((results, second.epoch > first.epoch), (done, true));
    assert_eq!(three.step(2, BOOKING, second.epoch, 4).code, "done");
    assert_eq!((1..=4).map(|n| three.ran(n)).collect::<Vec<_>>(), [1, 1, 1, 1]);
    (0..3).for_each(|i| three.kill(i));
    for i in 0..2 {
        std::fs::remove_file(three.rig.dir.join(format!("{i}.workflows"))).expect("its copies");
    }
    (0..3).for_each(|i| three.start(i));
    (0..3).for_each(|i| three.until(i, "whole"));
    for at in [2, 0] {
        three.claim_until(at, "c", "workflow_lost");
    }
    assert_eq!(three.step(2, BOOKING, second.epoch, 5).code, "workflow_lost");
    assert_eq!(three.ran(5), 0);
    three.end();
}

#[test]
fn a_copy_whose_disk_is_damaged_is_named_and_one_costs_nothing_while_two_are_said() {
    let mut three = three("workflows-damaged", true);
    let first = three.claimed(2, "a");
    assert_eq!(three.step(2, BOOKING, first.epoch, 1).code, "done");
    let damage = |three: &mut Three, of: usize| {
        three.kill(of);
        let text = "not a store, but a longer text about something else. ".repeat(200);
        std::fs::write(three.rig.dir.join(format!("{of}.workflows")), text).expect("a file");
        three.start(of);
        (0..3).for_each(|i| three.until(i, "whole"));
        let named = |log: String| log.contains(".workflows is no store, or is damaged");
        wait_for("its name in the log", || three.rig.dispatchers[of].log().is_ok_and(named));
    };
    damage(&mut three, 0);
    assert_eq!(three.step(2, BOOKING, first.epoch, 2).code, "done");
    let second = three.claimed(0, "a");
    assert_eq!(three.step(0, BOOKING, second.epoch, 3).code, "done", "asked where the damage is, as well");
    damage(&mut three, 1);
    let codes = ["workflow_not_kept", "workflow_no_majority", "workflow_lost"];
    wait_for("its word", || three.claim(2, "a").is_err_and(|code| codes.contains(&code.as_str())));
    let last = three.step(2, BOOKING, second.epoch, 4).code;
    assert!(codes.contains(&last.as_str()), "{last}");
    assert_eq!((1..=4).map(|n| three.ran(n)).collect::<Vec<_>>(), [1, 1, 1, 0]);
    three.end();
}
