//! Three dispatchers that carry workflows, relays between them, and what a worker asks.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use bitternlatch_chaos::between::Between;
use bitternlatch_chaos::client::Client;
use bitternlatch_cluster_net::fetch_status;
use bitternlatch_mock_engine::capture::Line;
use bitternlatch_protocol::workflow::Claimed;
use serde_json::json;

use super::*;

pub const QUERY: &str = "slot-query";
pub const HOLD: &str = "season-hold";
pub const BOOKING: &str = "season-booking";
/// Longer than any pause of these tests.
pub const PATIENT_S: f64 = 60.0;

pub struct Three {
    pub rig: Rig,
    pub between: Between,
    pub peers: Vec<std::net::SocketAddrV4>,
    seen: Mutex<Vec<Line>>,
}

pub fn three(name: &str, on_disk: bool) -> Three {
    let peers = free_for_peers(3);
    let (between, roster) = between(&peers);
    let settings: toml::Table = toml::from_str(SETTINGS).expect("settings");
    let mut classes = settings["classes"].clone();
    classes
        .as_array_mut()
        .into_iter()
        .flatten()
        .filter_map(toml::Value::as_table_mut)
        .for_each(|class| {
            class.insert("deadline_s".into(), PATIENT_S.into());
        });
    let mut hold = classes[0].as_table().expect("a class").clone();
    hold.extend([
        ("name".into(), HOLD.into()),
        ("effect".into(), "keyed".into()),
        ("key_window_s".into(), 600.into()),
    ]);
    classes.as_array_mut().expect("classes").push(hold.into());
    let rig = rig_each(name, FOUR, 3, |i, one| {
        if i == 0 {
            std::fs::write(folder_of(name).join("secret"), "sixteen bytes or more")
                .expect("a secret");
        }
        let mut cluster = cluster_table("secret", peers[i], &format!("{i}.start"), &roster);
        let mut workflows = toml::Table::from_iter([("lease_s".to_string(), 1.5.into())]);
        if on_disk {
            workflows.insert("kept".into(), format!("{i}.workflows").into());
        }
        cluster
            .as_table_mut()
            .expect("a table")
            .insert("workflows".into(), workflows.into());
        one.set("cluster", cluster);
        one.set("classes", classes.clone());
    });
    let three = Three {
        rig,
        between,
        peers,
        seen: Mutex::default(),
    };
    (0..3).for_each(|i| three.until(i, "whole"));
    three
}

/// How a request ended: its code, or `done` and its text.
#[derive(Debug, PartialEq)]
pub struct End {
    pub code: String,
    pub text: String,
}

pub fn end(client: &Client) -> End {
    let last = to_the_end(client).pop().expect("an event");
    let refused = last
        .error
        .as_ref()
        .map(|e| e["code"].as_str().unwrap_or_default().to_string());
    let failed = last
        .response
        .as_ref()
        .and_then(|r| r.error.as_ref())
        .map(|e| e.code.clone());
    let text = last
        .response
        .and_then(|r| Some(r.output.first()?.content.first()?.text.clone()));
    End {
        code: refused.or(failed).unwrap_or("done".into()),
        text: text.unwrap_or_default(),
    }
}

pub fn about(class: &str, does: &[(&str, &str)], input: &str) -> String {
    let mut meta = json!({ "class": class, "workflow": "season", "try": input });
    does.iter()
        .for_each(|(key, value)| meta[*key] = json!(value));
    json!({ "type": "response.create", "model": "m", "input": input, "max_output_tokens": 2000, "metadata": meta })
        .to_string()
}

pub fn step_of(class: &str, epoch: u64, number: u32, input: &str) -> String {
    let (epoch, number) = (epoch.to_string(), number.to_string());
    let does = [
        ("workflow_epoch", epoch.as_str()),
        ("workflow_step", &number),
        ("idempotency_key", &number),
    ];
    about(class, &does, input)
}

impl Three {
    pub fn until(&self, of: usize, standing: &str) {
        let at = SocketAddr::V4(self.peers[of]);
        wait_for(standing, || {
            fetch_status(at, Duration::from_secs(2)).is_ok_and(|v| v.standing == standing)
        });
    }

    pub fn asks(&self, at: usize, text: &str) -> End {
        let client = self.rig.client(at);
        client.say(text);
        let end = end(&client);
        client.close();
        end
    }

    pub fn claim(&self, at: usize, worker: &str) -> Result<Claimed, String> {
        let does = [("workflow_do", "claim"), ("workflow_worker", worker)];
        let end = self.asks(at, &about(QUERY, &does, "claim"));
        match end.code.as_str() {
            "done" => Ok(serde_json::from_str(&end.text).expect("a claim")),
            code => Err(code.to_string()),
        }
    }

    /// Claims until it is answered so.
    pub fn claim_until(&self, at: usize, worker: &str, code: &str) -> Option<Claimed> {
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

    pub fn claimed(&self, at: usize, worker: &str) -> Claimed {
        self.claim_until(at, worker, "done").expect("a claim")
    }

    pub fn step(&self, at: usize, class: &str, epoch: u64, number: u32) -> End {
        self.asks(at, &step_of(class, epoch, number, &words(number)))
    }

    pub fn does(&self, at: usize, does: &str, epoch: u64) -> String {
        let epoch = epoch.to_string();
        self.asks(
            at,
            &about(
                QUERY,
                &[("workflow_do", does), ("workflow_epoch", &epoch)],
                "word",
            ),
        )
        .code
    }

    /// Times that a host was told to write the answer to this step.
    pub fn ran(&self, number: u32) -> usize {
        let mut seen = self.seen.lock().expect("not poisoned");
        seen.extend(self.rig.lines.try_iter());
        let told = self.rig.completions(&seen);
        let written = told
            .iter()
            .filter(|(who, text)| who.starts_with("writer") && text.contains(&words(number)));
        written.count()
    }

    pub fn kill(&mut self, of: usize) {
        self.rig.dispatchers[of].kill();
    }

    pub fn start(&mut self, of: usize) {
        self.rig.dispatchers[of].start(&image()).expect("a process");
    }

    pub fn end(self) {
        self.rig.end();
    }
}

pub fn words(number: u32) -> String {
    format!("words of step {number} [len=3]")
}
