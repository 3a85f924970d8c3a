//! A request whose time is over gets its final answer, over the program itself: wherever its hosts hang, whatever its
//! class allows, and whether or not attempts may be called back.
#[path = "common/bench.rs"]
mod bench;
mod common;
#[path = "common/gated.rs"]
mod gated;

use std::io::Write;
use std::time::{Duration, Instant};

use bench::*;
use common::*;
use gated::*;

const DEADLINE: Duration = Duration::from_millis(900);
/// The final answer comes within this of the deadline.
const ANSWERED: Duration = Duration::from_millis(500);
/// Short enough for an attempt to be given up, and another made, within the deadline.
const IMPATIENT: (&str, &str) = (r#""aimS":1.5"#, r#""aimS":0.2"#);
const NO_CANCEL: (&str, &str) = (r#""cancel":true"#, r#""cancel":false"#);
const EFFECTS: [(&str, &str); 3] = [
    ("safe", r#""effect":"free""#),
    (
        "keyed",
        r#""effect":"guarded","keyScope":"all","repeatWindowS":2.0"#,
    ),
    ("unsafe", r#""effect":"single_shot""#),
];

/// Where a request hangs.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Hangs {
    AtReader,
    AtWriter,
    /// Connections to the host do not come up.
    Dialling,
}

fn bench(name: &str, hangs: Hangs, changes: &[(&str, &str)]) -> (Bench, impl Sized) {
    if hangs != Hangs::Dialling {
        return (Bench::start(name, 2, changes), None);
    }
    let (listener, fill) = full_listener();
    let hosts = Gated::default();
    let reads = target("h0", listener.local_addr().expect("an address"), "reads");
    let writes = target("h1", hosts.host(1, false), "writes");
    (
        Bench::with(name, hosts, &[reads, writes], changes),
        Some((listener, fill)),
    )
}

/// A request of each class, with attempts that may be called back and without.
fn answered_in_time(hangs: Hangs) {
    for (class, effect) in EFFECTS {
        for cancel in [true, false] {
            let name = format!("deadline-{hangs:?}-{class}-{cancel}").to_lowercase();
            let mut changes = vec![IMPATIENT, (EFFECTS[0].1, effect)];
            changes.extend((!cancel).then_some(NO_CANCEL));
            let (bench, _held) = bench(&name, hangs, &changes);
            let mut client = bench.dispatcher.connect();
            let text = request("hangs", "Connection: close\r\n")
                .replace("20000", &DEADLINE.as_millis().to_string());
            let since = Instant::now();
            client.write_all(text.as_bytes()).expect("asked");
            if hangs == Hangs::AtWriter {
                bench.hosts.wait(What::Post, "hangs", 1);
                bench.hosts.let_go("hangs", READ);
            }
            let said = rest(client);
            let took = since.elapsed();
            assert!(said.starts_with("HTTP/1.1 50"), "{name}: {said:?}");
            assert!(took <= DEADLINE + ANSWERED, "{name}: {took:?}");
        }
    }
}

#[test]
fn a_request_that_hangs_at_its_reader_is_answered_in_time() {
    answered_in_time(Hangs::AtReader);
}

#[test]
fn a_request_that_hangs_at_its_writer_is_answered_in_time() {
    answered_in_time(Hangs::AtWriter);
}

#[test]
fn a_request_whose_connection_does_not_come_up_is_answered_in_time() {
    answered_in_time(Hangs::Dialling);
}
