//! Checks requests that servers read slowly.
mod common;

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::*;
use rustix::net::sockopt::set_socket_recv_buffer_size;

/// Deadline of a request that its server does not read, and what a final answer may come later by.
const DEADLINE: Duration = Duration::from_millis(1500);
const ANSWER_SLACK: Duration = Duration::from_millis(550);
const BODY_BYTES: usize = 250 * 1024;

fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("an address");
    (listener, at)
}

fn dispatcher_with(
    name: &str,
    prefill: SocketAddr,
    decode: SocketAddr,
    changes: &[(&str, &str)],
) -> Dispatcher {
    let known = [target("a", prefill, "reads"), target("b", decode, "writes")];
    let listen = reserved_address();
    let text = configuration_with(listen, discovery().0, &known);
    let file = format!("slow-servers-{name}");
    Dispatcher::start_with(&file, listen, with_changes(text, changes), program)
}

/// A request with a body of so many bytes, which is due within `DEADLINE`.
fn large_request(id: &str, body_bytes: usize) -> String {
    let changes = [
        (
            "Content-Length: 2",
            &*format!("Content-Length: {body_bytes}"),
        ),
        (
            "Deadline-Ms: 20000",
            &*format!("Deadline-Ms: {}", DEADLINE.as_millis()),
        ),
    ];
    let text = with_changes(
        request(id, "Req-Extra: prompt_len=10,max_out=10\r\n"),
        &changes,
    );
    text.trim_end_matches("{}").to_string() + &"x".repeat(body_bytes)
}

/// Guards against a final answer that comes seconds after its time because a large request is still being written.
#[test]
fn large_request_that_no_server_reads_is_answered_in_time() {
    let (listening, at) = listener();
    set_socket_recv_buffer_size(&listening, 4096).expect("a short buffer");
    // Connections come up and are not read.
    let unread = thread::spawn(move || listening.incoming().take(3).flatten().collect::<Vec<_>>());
    let dispatcher = dispatcher_with("unread", at, server(false), &[]);
    let mut client = dispatcher.connect();
    client
        .write_all(large_request("large", BODY_BYTES).as_bytes())
        .expect("asked");
    let asked_at = Instant::now();
    client
        .set_read_timeout(Some(5 * DEADLINE))
        .expect("a bound");
    let mut answer = [0; 1024];
    let read = client.read(&mut answer).expect("an answer");
    let took = asked_at.elapsed();
    let answer = String::from_utf8_lossy(&answer[..read]);
    println!(
        "answered after {took:?}: {}",
        answer.lines().next().unwrap_or_default()
    );
    assert!(took > DEADLINE / 2, "it was not sent: {took:?}: {answer}");
    assert!(
        read > 0 && took < DEADLINE + ANSWER_SLACK,
        "{took:?}: {answer}"
    );
    drop(unread);
}

/// A server reads so many bytes of a request at a time, with a pause before each: 2.4 s for one of `SLOW_BODY_BYTES`.
const PIECE_BYTES: usize = 2048;
const PIECE_PAUSE: Duration = Duration::from_millis(40);
const SLOW_BODY_BYTES: usize = 120 * 1024;
const LEAVES_AFTER: Duration = Duration::from_millis(500);
/// An attempt may begin so much after its client has closed, and the slack of every limit on sockets.
const BEGINS_AFTER_END: Duration = Duration::from_millis(100 + 50);
const CANCEL_OFF: (&str, &str) = (r#""cancel":true"#, r#""cancel":false"#);

/// When the last byte of each request has come to its server, by request.
type Arrivals = Arc<Mutex<BTreeMap<String, Instant>>>;

/// Starts a server that reads requests whose ids begin with `slow` in small pieces, and notes when each has come.
fn slow_reader(is_prefill: bool, slow: &'static str, arrivals: &Arrivals) -> SocketAddr {
    let (listening, at) = listener();
    set_socket_recv_buffer_size(&listening, 4096).expect("a short buffer");
    let arrivals = Arc::clone(arrivals);
    thread::spawn(move || {
        for stream in listening.incoming().flatten() {
            let arrivals = Arc::clone(&arrivals);
            thread::spawn(move || read_slowly(stream, is_prefill, slow, &arrivals));
        }
    });
    at
}

fn read_slowly(
    mut stream: TcpStream,
    is_prefill: bool,
    slow: &str,
    arrivals: &Arrivals,
) -> Option<()> {
    let (mut unread, mut buffer) = (Vec::new(), [0; PIECE_BYTES]);
    loop {
        let read = stream.read(&mut buffer).ok().filter(|read| *read > 0)?;
        unread.extend_from_slice(&buffer[..read]);
        let text = String::from_utf8_lossy(&unread);
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let field = |name: &str| Some(head.split(name).nth(1)?.lines().next()?.trim().to_string());
        let id = field("Req-Id:").unwrap_or_default();
        if id.starts_with(slow) {
            thread::sleep(PIECE_PAUSE);
        }
        let length = field("Content-Length:").map_or(0, |n| n.parse().unwrap_or(0));
        if body.len() < length {
            continue;
        }
        if id.starts_with(slow) {
            arrivals
                .lock()
                .expect("the times")
                .insert(id, Instant::now());
        }
        let answer = match () {
            () if text.starts_with("DELETE") => "HTTP/1.1 204 No Content\r\n\r\n".to_string(),
            () if is_prefill => "HTTP/1.1 202 Accepted\r\nContent-Length: 2\r\n\r\n{}".to_string(),
            () => [STREAM_HEAD, &chunk("data: 1\n\n"), LAST_CHUNK].concat(),
        };
        unread.clear();
        stream.write_all(answer.as_bytes()).ok()?;
    }
}

/// Sends a large request, which ends at its deadline or as its client leaves; gives when it ended.
fn end_large_request(to: SocketAddr, id: &str) -> Instant {
    let mut client = TcpStream::connect(to).expect("a connection");
    client
        .write_all(large_request(id, SLOW_BODY_BYTES).as_bytes())
        .expect("asked");
    let asked_at = Instant::now();
    if id.ends_with("leaves") {
        thread::sleep(LEAVES_AFTER);
        drop(client);
        return Instant::now();
    }
    client
        .set_read_timeout(Some(5 * DEADLINE))
        .expect("a bound");
    let mut answer = [0; 1024];
    let read = client.read(&mut answer).expect("an answer");
    let answer = String::from_utf8_lossy(&answer[..read]);
    assert!(answer.starts_with("HTTP/1.1 50"), "{id}: {answer}");
    assert!(
        asked_at.elapsed() < DEADLINE + ANSWER_SLACK,
        "{id}: {:?}",
        asked_at.elapsed()
    );
    Instant::now()
}

/// Requests of each role that end at their deadline, or as their clients leave.
const IDS: [&str; 4] = [
    "prefill-times-out",
    "prefill-leaves",
    "decode-times-out",
    "decode-leaves",
];

/// Plays all requests with these changes to the configuration; gives those that arrived after their end.
fn late_arrivals(name: &str, changes: &[(&str, &str)]) -> Vec<String> {
    let arrivals = Arrivals::default();
    let dispatcher = dispatcher_with(
        name,
        slow_reader(true, "prefill", &arrivals),
        slow_reader(false, "decode", &arrivals),
        changes,
    );
    let to = dispatcher.listen;
    let ends: Vec<Instant> = thread::scope(|scope| {
        let asked = IDS.map(|id| scope.spawn(move || end_large_request(to, id)));
        let ends = asked
            .into_iter()
            .map(|thread| thread.join().expect("an end"));
        ends.collect()
    });
    // Whatever still stands in a buffer has come by then.
    thread::sleep(3 * DEADLINE);
    let arrivals = arrivals.lock().expect("the times");
    let mut late = Vec::new();
    for (id, ended_at) in IDS.iter().zip(ends) {
        let after = arrivals
            .get(*id)
            .map(|at| at.saturating_duration_since(ended_at));
        println!("{name} {id}: arrived {after:.3?} after its end");
        if after.is_some_and(|after| after > BEGINS_AFTER_END) {
            late.push(format!("{name} {id}: {after:.3?}"));
        }
    }
    late
}

/// Guards against a request that its server reads slowly and that arrives there after its client has its answer or has
/// left: it may run, leave a state that nobody releases, or be a second copy beside a retry.
#[test]
fn request_that_its_server_reads_slowly_does_not_arrive_after_its_end() {
    const GUARDED: (&str, &str) = (
        r#""effect":"free""#,
        r#""effect":"guarded","repeatWindowS":5.0"#,
    );
    const SINGLE_SHOT: (&str, &str) = (r#""effect":"free""#, r#""effect":"single_shot""#);
    const ROWS: [(&str, &[(&str, &str)]); 6] = [
        ("free", &[]),
        ("free-no-cancel", &[CANCEL_OFF]),
        ("single-shot", &[SINGLE_SHOT]),
        ("single-shot-no-cancel", &[SINGLE_SHOT, CANCEL_OFF]),
        ("guarded", &[GUARDED]),
        ("guarded-no-cancel", &[GUARDED, CANCEL_OFF]),
    ];
    let late: Vec<String> = thread::scope(|scope| {
        let played = ROWS.map(|(name, changes)| scope.spawn(move || late_arrivals(name, changes)));
        let late = played
            .into_iter()
            .map(|thread| thread.join().expect("a row"));
        late.flatten().collect()
    });
    assert!(
        late.is_empty(),
        "arrived after their end:\n{}",
        late.join("\n")
    );
}
