//! Sessions held open, and what each costs in memory.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use bitternlatch_chaos::client::{Came, Client};
use bitternlatch_mock_engine::capture::Capture;

use crate::rig::{dispatcher, stand_ins};

/// Opens sessions that say nothing, then asks once over a further one.
pub fn measure(count: usize) -> Result<(), String> {
    let (_hosts, list) = stand_ins(None)?;
    let dispatcher = dispatcher(&list, |settings| {
        if let Some(listen) = settings["listen"].as_table_mut() {
            listen.insert("sessions".into(), (count as i64 + 10).into());
        }
    })?;
    let before = dispatcher
        .resident_kib()
        .ok_or("the resident memory is not told")?;
    let start = Instant::now();
    let open = (0..count)
        .map(|_| upgraded(&dispatcher.address))
        .collect::<Result<Vec<_>, _>>();
    let open = open.map_err(|e| e.to_string())?;
    let took = start.elapsed();
    std::thread::sleep(Duration::from_secs(1));
    let after = dispatcher
        .resident_kib()
        .ok_or("the resident memory is not told")?;
    let client = Client::connect(&dispatcher.address, "m", "d", Capture::none())
        .map_err(|e| e.to_string())?;
    let create = serde_json::json!({ "type": "response.create", "model": "m", "input": "a hall? [len=5]",
        "metadata": { "class": "slot-query" } });
    let start = Instant::now();
    client.say(&create.to_string());
    loop {
        match client.next(Duration::from_secs(10)) {
            Came::Event(e) if e.kind == "response.completed" => break,
            Came::Event(e) if e.is_final() => return Err(format!("not served: {e:?}")),
            Came::Event(_) => {}
            other => return Err(format!("{other:?}")),
        }
    }
    println!(
        "{} sessions open in {:.1} s; resident {before} KiB before, {after} KiB with them: {:.1} KiB each; \
         one more was answered in {:.0} ms",
        open.len(),
        took.as_secs_f64(),
        (after.saturating_sub(before)) as f64 / count.max(1) as f64,
        start.elapsed().as_secs_f64() * 1e3
    );
    Ok(())
}

fn upgraded(address: &str) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_secs(10)))?;
    stream.write_all(
        b"GET /v1/responses HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n\
        Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n",
    )?;
    let mut head = [0; 256];
    let n = stream.read(&mut head)?;
    match head[..n].starts_with(b"HTTP/1.1 101") {
        true => Ok(stream),
        false => Err(std::io::Error::other(
            String::from_utf8_lossy(&head[..n]).into_owned(),
        )),
    }
}
