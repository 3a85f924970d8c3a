//! What it costs a dispatcher to know so many others: first token, memory and processor time beside one that knows of nobody.
//! The others are members on real sockets in this process.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bitternlatch_chaos::client::Client;
use bitternlatch_chaos::process::{own_address, Dispatcher};
use bitternlatch_cluster_net::{fetch_status as ask_view, ClusterRuntime};
use bitternlatch_core::settings::{Cluster, Peer};
use bitternlatch_mock_engine::capture::Capture;

use crate::latency::{ask, Times};
use crate::rig::{dispatcher, folder, stand_ins};

const JOINED_WITHIN: Duration = Duration::from_secs(120);
const IDLE: Duration = Duration::from_secs(10);

fn roster(members: usize) -> Vec<Peer> {
    let peer = |n: usize| Peer {
        name: format!("dispatch-{n}"),
        address: own_address(7811),
        client_address: None,
    };
    (1..=members).map(peer).collect()
}

/// What each of them is told.
fn cluster(roster: &[Peer], secret: &str) -> Cluster {
    let (name, secret, roster) = ("measured".to_string(), secret.to_string(), roster.to_vec());
    Cluster {
        name,
        secret,
        roster,
        ..Cluster::default()
    }
}

/// The others; the first of the roster is the dispatcher that is measured.
fn others(cluster: &Cluster) -> Result<Vec<ClusterRuntime>, String> {
    let join = |peer: &Peer| {
        let plane = ClusterRuntime::join(cluster, &peer.name, std::path::Path::new(""), |_| ());
        plane.map_err(|e| e.with_advice())
    };
    cluster.roster.iter().skip(1).map(join).collect()
}

fn until_whole(roster: &[Peer]) -> Result<(), String> {
    let (began, at, members) = (
        Instant::now(),
        SocketAddr::V4(roster[0].address),
        roster.len(),
    );
    while began.elapsed() < JOINED_WITHIN {
        if ask_view(at, Duration::from_secs(5))
            .is_ok_and(|v| v.standing == "whole" && v.members.len() == members - 1)
        {
            return Ok(());
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    Err(format!("{members} members have not found each other"))
}

/// Processor time of both over a while in which nobody asks.
fn idle(two: [&Dispatcher; 2]) -> [f64; 2] {
    let used = || two.map(|one| one.cpu_s().unwrap_or(0.0));
    let before = used();
    std::thread::sleep(IDLE);
    let after = used();
    [0, 1].map(|i| (after[i] - before[i]) / IDLE.as_secs_f64())
}

/// Asks one that knows of nobody and one of so many members by turns.
pub fn measure(members: usize, requests: usize) -> Result<(), String> {
    if !(2..=1000).contains(&members) {
        return Err(format!("{members} members; 2 to 1000 are expected"));
    }
    let dir = folder();
    std::fs::create_dir_all(&dir).map_err(|e| e.to_string())?;
    let secret = dir.join("secret").display().to_string();
    std::fs::write(&secret, "known to the members of this measurement\n")
        .map_err(|e| e.to_string())?;
    let (_hosts, list) = stand_ins(None)?;
    let roster = roster(members);
    let cluster = cluster(&roster, &secret);
    let planes = others(&cluster)?;
    let table = toml::Value::try_from(&cluster).map_err(|e| e.to_string())?;
    let alone = dispatcher(&list, |_| ())?;
    let knows = dispatcher(&list, |settings| {
        drop(settings.insert("cluster".into(), table.clone()))
    })?;
    until_whole(&roster)?;
    println!("{members} members; {requests} requests each by turns");
    let connect = |one: &Dispatcher| {
        Client::connect(&one.address, "m", "d", Capture::none()).map_err(|e| e.to_string())
    };
    let clients = [connect(&alone)?, connect(&knows)?];
    let mut times = [Times::new()?, Times::new()?];
    for i in 0..requests {
        for (way, (client, times)) in clients.iter().zip(&mut times).enumerate() {
            times.take(&ask(
                client,
                &format!(
                    "way {way}, {i} {} [len=10]",
                    "words of a prompt ".repeat(60)
                ),
            )?);
        }
    }
    let busy = idle([&alone, &knows]);
    println!(
        "{:<24} {:>12} {:>12} {:>14} {:>16}",
        "", "first p50", "first p99", "resident KiB", "of a core, idle"
    );
    for (i, (name, one)) in [("knows of nobody", &alone), ("one of them", &knows)]
        .into_iter()
        .enumerate()
    {
        let at = |q| times[i].first.value_at_quantile(q);
        let kib = one.resident_kib().unwrap_or(0);
        println!(
            "{name:<24} {:>9} us {:>9} us {kib:>14} {:>16.4}",
            at(0.5),
            at(0.99),
            busy[i]
        );
    }
    planes.into_iter().for_each(ClusterRuntime::leave);
    Ok(())
}
