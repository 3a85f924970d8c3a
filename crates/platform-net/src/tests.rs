//! A reload while the process has no file descriptor left. It is the only test of this file, as the limit is the whole
//! process's.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};

use crate::{read_config, Driver};

const DEPLOYED: &str = include_str!("../../../deploy/platform.json");

/// The deployed configuration with addresses that are free, and discovery at the given port.
fn write_config(path: &PathBuf, discovery_port: u16) {
    let text = DEPLOYED
        .replace("127.0.0.1:8081", "127.0.0.1:0")
        .replace("127.0.0.1:8500", &format!("127.0.0.1:{discovery_port}"));
    std::fs::write(path, text).expect("a configuration");
}

/// Leaves the process no further descriptor; gives the limit as it was.
fn use_up_descriptors() -> Rlimit {
    let before = getrlimit(Resource::Nofile);
    let free = std::fs::File::open("/dev/null").expect("a descriptor");
    let lowest_free = std::os::fd::AsRawFd::as_raw_fd(&free);
    drop(free);
    let limit = Rlimit {
        current: Some(lowest_free as u64),
        maximum: before.maximum,
    };
    setrlimit(Resource::Nofile, limit).expect("a lower limit");
    before
}

#[test]
fn reload_without_descriptor_is_retried_and_does_not_block() {
    let path = std::env::temp_dir().join(format!("reload-{}.json", std::process::id()));
    write_config(&path, 1);
    let config = read_config(&path).expect("the configuration");
    let mut driver = Driver::start(&path, config).expect("a driver");

    write_config(&path, 2);
    driver.reloads.request(driver.clock.now());
    let limit = use_up_descriptors();
    let began = Instant::now();
    let opened = std::fs::File::open(&path).map(drop);
    driver.reload();
    let took = began.elapsed();
    setrlimit(Resource::Nofile, limit).expect("the limit as it was");
    assert!(opened.is_err(), "a descriptor was left");
    assert!(took < Duration::from_millis(500), "{took:?}");
    assert!(driver.reloads.next().is_some(), "it is read again");

    std::thread::sleep(Duration::from_millis(150));
    driver.reload();
    assert_eq!(driver.reloads.next(), None, "it is read once it can be");
    std::fs::remove_file(&path).expect("the file");
}
