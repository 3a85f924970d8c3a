//! Tests the script that writes a variant of a site file, with a small kit that the test creates.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const BASE: &str = r#"name = "base"
stock = "x1"

[day]
length_s = [40, 52]

[[tier]]
name = "fleet"

[tier.conn]
idle_s = 15

[[tier.kind]]
name = "reader"
speed = [0.9, 1.1]

[[tier.kind]]
name = "writer"
speed = [0.8, 1.0]

[[class]]
name = "ask"
effect = "safe"
stream = true

[[class]]
name = "book"
effect = "unsafe"
stream = true
"#;

/// Creates a directory for one test, with a kit and an overrides file.
fn folder(name: &str, overrides: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("sites-{name}"));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(folder.join("kit/more")).expect("a folder");
    std::fs::write(folder.join("kit/more/base.toml"), BASE).expect("a file");
    std::fs::write(folder.join("kit/more/wire.json"), "{}").expect("a file");
    std::fs::write(folder.join("new.toml"), overrides).expect("a file");
    folder
}

fn make(folder: &Path) -> Output {
    Command::new("python3")
        .arg(concat!(
            env!("CARGO_MANIFEST_DIR"),
            "/../../deploy/sites/make"
        ))
        .arg(folder.join("new.toml"))
        .arg("--kit")
        .arg(folder.join("kit"))
        .arg("--out")
        .arg(folder.join("out"))
        .output()
        .expect("python3 is there")
}

fn overrides(set: &str) -> String {
    format!("name = \"harbour\"\nbase = \"more/base.toml\"\n[set]\n{set}\n")
}

#[test]
fn overrides_replace_their_values_and_nothing_else() {
    let set = r#"
"class.1.effect" = "keyed"
"class.0.stream" = false
"tier.0.conn.idle_s" = [3, 4]
"tier.0.kind.1.speed" = [0.5, 0.6]"#;
    let folder = folder("good", &overrides(set));
    let output = make(&folder);
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    let made =
        std::fs::read_to_string(folder.join("out/harbour/harbour.toml")).expect("the site file");
    let expected = BASE
        .replace(r#"name = "base""#, r#"name = "harbour""#)
        .replace(r#"effect = "unsafe""#, r#"effect = "keyed""#)
        .replacen("stream = true", "stream = false", 1)
        .replace("idle_s = 15", "idle_s = [3, 4]")
        .replace("speed = [0.8, 1.0]", "speed = [0.5, 0.6]");
    assert_eq!(made, expected);
    assert!(
        folder.join("out/harbour/wire.json").exists(),
        "with what stands beside it"
    );
}

#[test]
fn invalid_overrides_give_one_error_line_and_exit_code_2() {
    let table = [
        (
            "no-place",
            overrides(r#""class.2.effect" = "keyed""#),
            "class.2.effect",
        ),
        (
            "no-table",
            overrides(r#""clas.1.effect" = "keyed""#),
            "clas.1.effect",
        ),
        (
            "text-for-number",
            overrides(r#""tier.0.conn.idle_s" = "soon""#),
            "tier.0.conn.idle_s",
        ),
        (
            "number-for-flag",
            overrides(r#""class.0.stream" = 1"#),
            "class.0.stream",
        ),
        ("nothing", overrides(""), "[set]"),
        (
            "no-name",
            "base = \"more/base.toml\"\n[set]\n\"stock\" = \"y\"\n".into(),
            "name",
        ),
        (
            "odd-name",
            overrides("\"stock\" = \"y\"").replace("harbour", "../harbour"),
            "name",
        ),
        (
            "no-kit",
            overrides("\"stock\" = \"y\"").replace("base.toml", "none.toml"),
            "--kit",
        ),
        ("no-toml", "name = ".into(), "new.toml"),
    ];
    for (name, overrides, word) in table {
        let folder = folder(name, &overrides);
        let output = make(&folder);
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{name}: {stderr}");
        assert!(
            stderr.trim().lines().count() == 1 && stderr.contains(word),
            "{name}: {stderr}"
        );
        assert!(!folder.join("out").exists(), "{name}: nothing is written");
    }
}

/// Checks the form of the variants in the repository. Whether they match the kit's site files can be tested only with the kit.
#[test]
fn variants_in_the_repository_name_a_base_and_overrides() {
    let sites = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/sites");
    let mut seen = 0;
    for entry in std::fs::read_dir(sites).expect("the folder").flatten() {
        if entry.path().extension().is_some_and(|e| e == "toml") {
            let text = std::fs::read_to_string(entry.path()).expect("a variant");
            assert!(
                text.contains("\nname = \"")
                    && text.contains("\nbase = \"")
                    && text.contains("\n[set]\n")
            );
            seen += 1;
        }
    }
    assert!(seen >= 2);
}
