//! Runs `--platform --check` on the deployed configuration and on an invalid one.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn deployed() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/platform.json")
}

fn check(path: &Path) -> Output {
    Command::new(env!("CARGO_BIN_EXE_bitternlatch-dispatch"))
        .args(["--platform", "--check", "--config"])
        .arg(path)
        .output()
        .expect("the program")
}

#[test]
fn deployed_platform_configuration_is_accepted() {
    let output = check(&deployed());
    assert_eq!(output.status.code(), Some(0), "{output:?}");
}

#[test]
fn invalid_platform_configuration_is_reported_with_its_field() {
    let text = std::fs::read_to_string(deployed()).expect("the deployed configuration");
    let invalid = text.replace("\"sockets\": 512", "\"sockets\": 3");
    assert_ne!(invalid, text);
    let path = std::env::temp_dir().join(format!("platform-check-{}.json", std::process::id()));
    std::fs::write(&path, invalid).expect("a file");
    let output = check(&path);
    std::fs::remove_file(&path).expect("the file");
    assert_ne!(output.status.code(), Some(0));
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(stderr.contains("limits.sockets"), "{stderr}");
}
