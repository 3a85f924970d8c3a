//! A dispatcher in a process of its own before given hosts.

use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bitternlatch_chaos::process::Dispatcher;
use bitternlatch_mock_engine::capture::Capture;
use bitternlatch_mock_engine::{Config, Standins};
use bitternlatch_net::dial::DialOptions;

const SETTINGS: &str = include_str!("../../../deploy/dispatch.toml");

/// Hosts as (name, address, kind).
pub type Hosts = Vec<(String, String, &'static str)>;

const HOSTS: &str = r#"
[[hosts]]
name = "reader-1"
listen = "127.0.0.1:0"
role = "reader"
[[hosts]]
name = "writer-1"
listen = "127.0.0.1:0"
role = "writer"
token_gap_s = 0.005
"#;

/// One stand-in that reads and one that writes.
pub fn stand_ins(tls: Option<PathBuf>) -> Result<(Standins, Hosts), String> {
    stand_ins_seen(tls, Capture::none())
}

/// As [`stand_ins`], with what they hear.
pub fn stand_ins_seen(tls: Option<PathBuf>, capture: Capture) -> Result<(Standins, Hosts), String> {
    let config = Config {
        tls,
        ..Config::parse(HOSTS)?
    };
    let running = Standins::start(config, capture).map_err(|e| e.to_string())?;
    let list = running.addresses().iter().map(|(name, at)| {
        let kind = if name.starts_with("reader") {
            "reader"
        } else {
            "writer"
        };
        (name.clone(), at.to_string(), kind)
    });
    let list = list.collect();
    Ok((running, list))
}

/// Starts a dispatcher before hosts and waits until it is ready.
pub fn dispatcher(hosts: &Hosts, edit: impl Fn(&mut toml::Table)) -> Result<Dispatcher, String> {
    dispatcher_as(hosts, &DialOptions::default(), edit)
}

/// As [`dispatcher`], asked in a manner whether it is ready.
pub fn dispatcher_as(
    hosts: &Hosts,
    manner: &DialOptions,
    edit: impl Fn(&mut toml::Table),
) -> Result<Dispatcher, String> {
    let one = started(hosts, 1, manner, edit)?;
    ready(&one).map(|()| one)
}

/// One of several by its number from 1, which may be ready only when others are there: see [`ready`].
pub fn dispatcher_of(
    hosts: &Hosts,
    number: usize,
    edit: impl Fn(&mut toml::Table),
) -> Result<Dispatcher, String> {
    started(hosts, number, &DialOptions::default(), edit)
}

fn started(
    hosts: &Hosts,
    number: usize,
    manner: &DialOptions,
    edit: impl Fn(&mut toml::Table),
) -> Result<Dispatcher, String> {
    let dir = folder();
    std::fs::create_dir_all(&dir).map_err(|e| e.to_string())?;
    let mut list = String::from("name,address,port,kind,cell,zone\n");
    for (name, address, kind) in hosts {
        let (ip, port) = address
            .rsplit_once(':')
            .ok_or("an address without a port")?;
        list.push_str(&format!("{name},{ip},{port},{kind},rack-a,pos-site\n"));
    }
    std::fs::write(dir.join("hosts.csv"), list).map_err(|e| e.to_string())?;
    let mut settings: toml::Table = toml::from_str(SETTINGS).map_err(|e| e.to_string())?;
    edit(&mut settings);
    let mut one = Dispatcher::new(&dir, number, 1, &settings);
    one.without_record();
    one.secured(manner.clone());
    one.start(&std::env::current_exe().map_err(|e| e.to_string())?)
        .map_err(|e| e.to_string())?;
    Ok(one)
}

/// Waits until one is ready.
pub fn ready(one: &Dispatcher) -> Result<(), String> {
    match one.ready(Duration::from_secs(20)) {
        true => Ok(()),
        false => Err(format!(
            "{} is not ready; see its log in the temporary folder",
            one.name
        )),
    }
}

/// A folder for this run's files; each dispatcher has one of its own in it.
pub fn folder() -> PathBuf {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let name = format!(
        "bitternlatch-benchmark-{}-{}",
        std::process::id(),
        NEXT.fetch_add(1, Ordering::Relaxed)
    );
    std::env::temp_dir().join(name)
}

/// A value of a sorted list.
pub fn quantile(sorted: &[f64], q: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    sorted
        .get((q * last as f64).round() as usize)
        .copied()
        .unwrap_or(0.0)
}
