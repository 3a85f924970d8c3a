//! Every settings file below `deploy/` is taken as it stands by the program that it is for. `crates/core` and
//! `crates/platform` hold the dispatcher's own.

use std::path::{Path, PathBuf};

use bitternlatch_chaos::day::Day;

fn deploy() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy")
}

fn text(file: &str) -> String {
    std::fs::read_to_string(deploy().join(file)).expect("a file of deploy/")
}

#[test]
fn every_scenario_is_read() {
    let mut names = vec![];
    for entry in std::fs::read_dir(deploy().join("scenarios")).expect("the scenarios") {
        let path = entry.expect("an entry").path();
        Day::read(&path).unwrap_or_else(|e| panic!("{e}"));
        names.push(path.file_name().expect("a name").to_os_string());
    }
    assert_eq!(names.len(), 7, "{names:?}");
}

#[test]
fn the_mock_engine_takes_its_settings() {
    bitternlatch_mock_engine::config::Config::parse(&text("mock-engine.toml")).expect("settings");
}

#[test]
fn the_quota_server_takes_its_settings() {
    let path = deploy().join("quota-server.toml");
    bitternlatch_quota_server::Settings::read(&path).expect("settings");
}

#[test]
fn the_access_rights_are_read() {
    bitternlatch_identity::rights::AccessRights::parse(&text("rights.toml")).expect("rights");
}

#[test]
fn a_settings_file_with_an_unknown_key_is_refused() {
    let changed = text("mock-engine.toml").replacen("listen", "listens", 1);
    assert_ne!(changed, text("mock-engine.toml"));
    assert!(bitternlatch_mock_engine::config::Config::parse(&changed).is_err());
}
