//! What machines beside the plane cost at rest: three dispatchers that know each other, with all of them on and off.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bitternlatch_chaos::client::Client;
use bitternlatch_chaos::process::{own_address, Dispatcher};
use bitternlatch_cluster_net::fetch_status as ask_view;
use bitternlatch_core::settings::{Cluster, Peer};
use bitternlatch_mock_engine::capture::Capture;

use crate::latency::{ask, Times};
use crate::rig::{dispatcher_of, folder, ready, stand_ins, Hosts};

const MEMBERS: usize = 3;
const TABLES: [&str; 3] = ["overload", "lengths", "workflows"];
/// Requests before those that count: what is learnt at a start is no cost at rest.
const WARM: usize = 20;

/// Three that know each other, whole.
fn three(list: &Hosts, tables: &[&str]) -> Result<Vec<Dispatcher>, String> {
    let dir = folder();
    std::fs::create_dir_all(&dir).map_err(|e| e.to_string())?;
    let secret = dir.join("secret").display().to_string();
    std::fs::write(&secret, "known to the members of this measurement\n")
        .map_err(|e| e.to_string())?;
    let peer = |i: usize| Peer {
        name: format!("dispatch-{}", i + 1),
        address: own_address(7811),
        client_address: None,
    };
    let roster: Vec<Peer> = (0..MEMBERS).map(peer).collect();
    let name = format!("measured-{}", tables.len());
    let cluster = Cluster {
        name,
        secret,
        roster: roster.clone(),
        ..Cluster::default()
    };
    let mut table = toml::Table::try_from(&cluster).map_err(|e| e.to_string())?;
    for on in tables {
        table.insert((*on).to_string(), toml::Table::new().into());
    }
    let start = |number| {
        dispatcher_of(list, number, |settings| {
            drop(settings.insert("cluster".into(), table.clone().into()))
        })
    };
    let all = (1..=MEMBERS).map(start).collect::<Result<Vec<_>, _>>()?;
    let by = Instant::now() + Duration::from_secs(20);
    let whole = |p: &Peer| {
        ask_view(SocketAddr::V4(p.address), Duration::from_secs(5))
            .is_ok_and(|v| v.standing == "whole")
    };
    while !roster.iter().all(whole) {
        if Instant::now() > by {
            return Err("the members have not found each other".to_string());
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    all.iter().try_for_each(ready)?;
    Ok(all)
}

/// Asks the first of each three by turns.
///
/// # Errors
/// Where something cannot be started or does not answer.
pub fn measure(requests: usize) -> Result<(), String> {
    let (_hosts, list) = stand_ins(None)?;
    let both = [three(&list, &[])?, three(&list, &TABLES)?];
    let connect = |all: &Vec<Dispatcher>| {
        Client::connect(&all[0].address, "m", "d", Capture::none()).map_err(|e| e.to_string())
    };
    let clients = [connect(&both[0])?, connect(&both[1])?];
    let mut times = [Times::new()?, Times::new()?];
    for i in 0..requests + WARM {
        for (way, (client, times)) in clients.iter().zip(&mut times).enumerate() {
            let text = format!(
                "way {way}, {i} {} [len=10]",
                "words of a prompt ".repeat(60)
            );
            let took = ask(client, &text)?;
            if i >= WARM {
                times.take(&took);
            }
        }
    }
    println!("{MEMBERS} members; {requests} requests each by turns");
    println!(
        "{:<28} {:>12} {:>12} {:>14}",
        "", "first p50", "first p99", "resident KiB"
    );
    for (i, name) in ["none of the three", "overload, lengths, workflows"]
        .into_iter()
        .enumerate()
    {
        let at = |q| times[i].first.value_at_quantile(q);
        println!(
            "{name:<28} {:>9} us {:>9} us {:>14}",
            at(0.5),
            at(0.99),
            both[i][0].resident_kib().unwrap_or(0)
        );
    }
    let at = |i: usize, q| times[i].first.value_at_quantile(q) as f64;
    println!(
        "ratio: p50 {:.3}, p99 {:.3}",
        at(1, 0.5) / at(0, 0.5),
        at(1, 0.99) / at(0, 0.99)
    );
    Ok(())
}
