//! What a stand-in reports of its load moves with what it does.

use std::time::Duration;

use bitternlatch_mock_engine::capture::Capture;
use bitternlatch_mock_engine::config::Trouble;
use bitternlatch_mock_engine::{Config, Standins};
use bitternlatch_net::dial::dial;
use bitternlatch_net::socket::{Limits, Outbox, ReadOutcome, Reader};
use bitternlatch_protocol::engine::{
    decode, encode, CompletionRequest, FromEngine, KvTransferParams, Load, ToEngine,
};

/// A reader that takes half a second for a read, a mixed host with one slot, and one whose memory two answers outgrow: 20 blocks.
const HOSTS: &str = r#"
[[hosts]]
name = "reader"
listen = "127.0.0.1:0"
role = "reader"
read_tokens_per_s = 200
memory_tokens = 1280
[[hosts]]
name = "mixed"
listen = "127.0.0.1:0"
role = "mixed"
slots = 1
[[hosts]]
name = "tight"
listen = "127.0.0.1:0"
role = "mixed"
memory_tokens = 1280
token_gap_s = 0.001
"#;

struct Link {
    reader: Reader,
    outbox: Outbox,
}

impl Link {
    fn to(hosts: &Standins, name: &str) -> Link {
        let limits = Limits {
            max_message_bytes: 1 << 20,
            max_queued_messages: 64,
            ping_interval: Duration::from_secs(10),
            idle_timeout: None,
        };
        let address = hosts.addresses()[name].to_string();
        let (reader, outbox) =
            dial(&address, "/v1/engine", Duration::from_secs(5), limits, None).expect("a link");
        Link { reader, outbox }
    }

    fn say(&self, message: &ToEngine) {
        self.outbox.text(encode(message)).expect("room");
    }

    fn ask(&self, id: &str, kv: KvTransferParams) {
        self.ask_for(id, kv, 20);
    }

    /// A completion of 400 bytes (100 tokens, 2 blocks) that begins with its own name.
    fn ask_for(&self, id: &str, kv: KvTransferParams, answer: u32) {
        let len = format!(" [len={answer}]");
        let prompt = format!("{id}{}{len}", "x".repeat(400 - id.len() - len.len()));
        let body = CompletionRequest {
            request_id: id.into(),
            prompt,
            max_tokens: 1000,
            stream: true,
            kv_transfer_params: Some(kv),
            ..CompletionRequest::default()
        };
        self.say(&ToEngine::Completion {
            id: id.into(),
            body: Box::new(body),
        });
    }

    fn until<T>(&mut self, mut fits: impl FnMut(FromEngine) -> Option<T>) -> T {
        loop {
            let ReadOutcome::Text(text) = self.reader.read() else {
                panic!("the link ended")
            };
            let message = decode(&text).expect("a message");
            assert!(!matches!(message, FromEngine::Error { .. }), "{text}");
            if let Some(found) = fits(message) {
                return found;
            }
        }
    }

    fn load(&mut self) -> Load {
        self.say(&ToEngine::Probe { id: 1 });
        self.until(|m| match m {
            FromEngine::Load { load, .. } => Some(load),
            _ => None,
        })
    }

    fn done(&mut self) -> Load {
        self.until(|m| match m {
            FromEngine::Done { load, .. } => load,
            _ => None,
        })
    }
}

fn counts(load: &Load) -> (f64, f64) {
    (load["num_requests_running"], load["num_requests_waiting"])
}

#[test]
fn reads_that_have_not_begun_are_reported_as_waiting_and_states_as_memory() {
    let hosts =
        Standins::start(Config::parse(HOSTS).expect("hosts"), Capture::none()).expect("stand-ins");
    let mut link = Link::to(&hosts, "reader");
    assert_eq!(counts(&link.load()), (0.0, 0.0));
    let read = KvTransferParams {
        do_remote_decode: true,
        ..KvTransferParams::default()
    };
    for id in ["a", "b", "c"] {
        link.ask(id, read.clone());
    }
    let busy = link.load();
    assert_eq!(counts(&busy), (1.0, 2.0), "one is read, two wait: {busy:?}");
    assert_eq!(
        busy["kv_cache_usage_perc"], 0.1,
        "what is read has its memory"
    );
    assert_eq!(
        counts(&link.done()),
        (1.0, 1.0),
        "the report beside an answer says the same"
    );
    assert_eq!(
        link.load()["kv_cache_usage_perc"],
        0.2,
        "a state waits in its memory beside the next read"
    );
    link.done();
    link.done();
    let after = link.load();
    assert_eq!(counts(&after), (0.0, 0.0));
    link.say(&ToEngine::Release { id: "a".into() });
    assert!(
        link.load()["kv_cache_usage_perc"] < after["kv_cache_usage_perc"],
        "the state is let go"
    );
    hosts.stop();
}

#[test]
fn a_host_that_writes_reports_its_slots_and_those_that_wait_for_one() {
    let hosts =
        Standins::start(Config::parse(HOSTS).expect("hosts"), Capture::none()).expect("stand-ins");
    let mut link = Link::to(&hosts, "mixed");
    link.ask("a", KvTransferParams::default());
    link.ask("b", KvTransferParams::default());
    let busy = link.load();
    assert_eq!((counts(&busy), busy["slots_used_perc"]), ((1.0, 1.0), 1.0));
    link.done();
    link.done();
    let idle = link.load();
    assert_eq!((counts(&idle), idle["slots_used_perc"]), ((0.0, 0.0), 0.0));
    hosts.stop();
}

#[test]
fn one_whose_memory_runs_out_reports_whom_it_threw_out_and_ends_them_all() {
    let (capture, lines) = Capture::channel();
    let hosts = Standins::start(Config::parse(HOSTS).expect("hosts"), capture).expect("stand-ins");
    let mut link = Link::to(&hosts, "tight");
    assert_eq!(link.load()["num_preemptions"], 0.0);
    link.ask_for("a", KvTransferParams::default(), 600);
    link.ask_for("b", KvTransferParams::default(), 600);
    let (mut words, mut ends) = (Vec::new(), Vec::new());
    while ends.len() < 2 {
        link.until(|m| match m {
            FromEngine::Chunk { id, body } => {
                words.extend(
                    body.choices
                        .into_iter()
                        .filter(|c| !c.text.is_empty())
                        .map(|c| (id.clone(), c.text)),
                );
                Some(())
            }
            FromEngine::Done { id, load } => {
                ends.push((id, load.expect("a load")["num_preemptions"]));
                Some(())
            }
            _ => None,
        });
    }
    assert_eq!(
        ends,
        [("a".to_string(), 1.0), ("b".to_string(), 1.0)],
        "the later one was thrown out once"
    );
    let of_b = words
        .iter()
        .filter(|(id, _)| id == "b")
        .map(|(_, word)| word.clone());
    assert!(
        of_b.eq((1..=600).map(|n| format!("w{n} "))),
        "no word is said twice"
    );
    assert_eq!(
        link.load()["kv_cache_usage_perc"],
        0.0,
        "unused prefixes do not count"
    );
    hosts.stop();
    let captured: Vec<String> = lines
        .try_iter()
        .filter(|l| l.dir == "preempted")
        .map(|l| l.text)
        .collect();
    assert_eq!(captured, ["b"]);
}

#[test]
fn constants_that_no_engine_works_with_are_refused_with_the_host_s_name() {
    let text = HOSTS.replace("slots = 1", "slots = 0");
    let why = Config::parse(&text).map(drop).expect_err("no slots");
    assert!(why.contains("'mixed'") && why.contains("one slot"), "{why}");
}

#[test]
fn a_host_that_reports_falsely_low_load_says_nothing_of_its_work() {
    let hosts =
        Standins::start(Config::parse(HOSTS).expect("hosts"), Capture::none()).expect("stand-ins");
    let mut link = Link::to(&hosts, "mixed");
    link.ask("a", KvTransferParams::default());
    link.ask("b", KvTransferParams::default());
    assert_eq!(counts(&link.load()), (1.0, 1.0));
    hosts.trouble("mixed", Trouble::LowLoad, 1.0, 60.0);
    let low = link.load();
    assert_eq!(
        (
            counts(&low),
            low["slots_used_perc"],
            low["kv_cache_usage_perc"]
        ),
        ((0.0, 0.0), 0.0, 0.0)
    );
    hosts.stop();
}
