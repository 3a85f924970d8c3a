//! Tests a configuration reload while the process has no file descriptor left. This file holds no other test, because
//! the descriptor limit applies to the whole process.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};

use crate::{read_config, Driver};

const DEPLOYED: &str = include_str!("../../../deploy/platform.json");

/// Writes the deployed configuration with a free listening port and the given discovery port.
fn write_config(path: &PathBuf, discovery_port: u16) {
    let text = DEPLOYED
        .replace("127.0.0.1:8081", "127.0.0.1:0")
        .replace("127.0.0.1:8500", &format!("127.0.0.1:{discovery_port}"));
    std::fs::write(path, text).expect("writing the configuration");
}

/// Lowers the descriptor limit so that the process cannot open another one. Returns the former limit.
fn use_up_descriptors() -> Rlimit {
    let before = getrlimit(Resource::Nofile);
    let free = std::fs::File::open("/dev/null").expect("opening a descriptor");
    let lowest_free = std::os::fd::AsRawFd::as_raw_fd(&free);
    drop(free);
    let limit = Rlimit {
        current: Some(lowest_free as u64),
        maximum: before.maximum,
    };
    setrlimit(Resource::Nofile, limit).expect("lowering the limit");
    before
}

#[test]
fn reload_without_descriptor_is_retried_and_does_not_block() {
    let path = std::env::temp_dir().join(format!("reload-{}.json", std::process::id()));
    write_config(&path, 1);
    let config = read_config(&path).expect("reading the configuration");
    let mut driver = Driver::start(&path, config).expect("starting the driver");

    write_config(&path, 2);
    driver.reloads.request(driver.clock.now());
    let limit = use_up_descriptors();
    let began = Instant::now();
    let opened = std::fs::File::open(&path).map(drop);
    driver.reload();
    let took = began.elapsed();
    setrlimit(Resource::Nofile, limit).expect("restoring the limit");
    assert!(opened.is_err(), "a descriptor was still available");
    assert!(took < Duration::from_millis(500), "{took:?}");
    assert!(
        driver.reloads.next_read_at().is_some(),
        "no retry is scheduled"
    );

    std::thread::sleep(Duration::from_millis(150));
    driver.reload();
    assert_eq!(
        driver.reloads.next_read_at(),
        None,
        "a retry is scheduled after the successful read"
    );
    std::fs::remove_file(&path).expect("removing the file");
}
