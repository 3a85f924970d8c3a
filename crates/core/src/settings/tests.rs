use super::*;

/// A settings file without optional tables.
pub(crate) const MINIMAL: &str = r#"name = "d1"
zone = "z"
dispatchers = 1
[listen]
address = "127.0.0.1:0"
[inventory]
file = "hosts.csv"
[rules]
pin_limit_s = 1.0
drain_grace_s = 0.25
cold = { start_capacity = 0.25, overload_factor = 2.5, window_s = 3.0, warm_after_s = 14.0 }
[attempts]
most = 4
max_retry_after_s = 5.0
[[classes]]
name = "query"
effect = "safe"
ttft_aim_s = 1.5
token_gap_aim_s = 0.07
deadline_s = 6.0
worth = 1.0
late_worth = 0.3
[[classes]]
name = "booking"
effect = "unsafe"
ttft_aim_s = 2.5
token_gap_aim_s = 0.08
deadline_s = 12.0
worth = 2.0
late_worth = 0.2
[[kinds]]
name = "reader"
role = "reader"
memory_tokens = 200000
[[kinds]]
name = "writer"
role = "writer"
memory_tokens = 150000
"#;

/// The parsed settings of [`MINIMAL`].
pub(crate) fn minimal_settings() -> Settings {
    Settings::parse("minimal.toml", MINIMAL).expect("the minimal settings are valid")
}

#[test]
fn deployed_cluster_settings_are_consistent() {
    let texts = [
        include_str!("../../../../deploy/cluster/dispatch-1.toml"),
        include_str!("../../../../deploy/cluster/dispatch-2.toml"),
        include_str!("../../../../deploy/cluster/dispatch-3.toml"),
    ];
    let parse = |text: &&str| Settings::parse("deploy", text).expect("valid settings");
    let all: Vec<Settings> = texts.iter().map(parse).collect();
    let roster = |s: &Settings| s.cluster.as_ref().map(|c| c.roster.clone());
    assert!(all.iter().all(|s| roster(s) == roster(&all[0])));
    let client_address = |s: &Settings| {
        roster(s).and_then(|r| r.into_iter().find(|p| p.name == s.name)?.client_address)
    };
    assert!(all
        .iter()
        .all(|s| client_address(s).as_ref() == Some(&s.listen.address)));
}

#[test]
fn cluster_errors_name_key_and_cause() {
    let error = |roster: &str| {
        let table = "[cluster]\nname = \"hall\"\nsecret = \"s\"\n";
        Settings::parse("f.toml", &format!("{MINIMAL}{table}{roster}"))
            .map_err(|e| e.to_string())
            .err()
    };
    let peer = |name: &str, address: &str| {
        format!("[[cluster.roster]]\nname = \"{name}\"\naddress = \"{address}\"\n")
    };
    let (one, two) = (peer("d1", "127.0.0.1:7811"), peer("d2", "127.0.0.1:7812"));
    assert_eq!(error(&(one.clone() + &two)), None);
    assert!(error(&two).is_some_and(|f| f.contains("'d1', this dispatcher, is not in it")));
    let same_address = error(&(one.clone() + &peer("d2", "127.0.0.1:7811")));
    assert!(same_address
        .is_some_and(|f| f.contains("cluster.roster.1.address: 127.0.0.1:7811 is also")));
    assert!(error(&(one.clone() + &one)).is_some_and(|f| f.contains("'d1' is also the name")));
    assert!(error(&peer("d1", "127.0.0.1:0")).is_some_and(|f| f.contains("cannot be sent to")));
    let seeds = |addresses: &str| format!("seeds = [{addresses}]\n");
    assert_eq!(error(&seeds("\"127.0.0.1:7811\"")), None);
    assert!(error(&seeds("\"127.0.0.1:0\""))
        .is_some_and(|f| f.contains("cluster.seeds.0: 127.0.0.1:0")));
    assert!(error(&seeds(&"\"127.0.0.1:7811\",".repeat(17)))
        .is_some_and(|f| f.contains("16 at the most")));
    assert!(error(&(seeds("\"127.0.0.1:7811\"") + &one))
        .is_some_and(|f| f.contains("keep one of them")));
    assert!(error("").is_some_and(|f| f.contains("cluster.roster")));
    let workflows = |line: &str| format!("{one}[cluster.workflows]\n{line}\n");
    assert_eq!(error(&workflows("")), None);
    for line in [
        "lease_s = 0.1",
        "steps = 0",
        "bytes = 9",
        "tokens = 0",
        "lasts_s = nan",
        "kept = \"\"",
    ] {
        let key = line.split(' ').next().unwrap_or_default();
        let found = error(&workflows(line)).unwrap_or_default();
        assert!(
            found.contains(&format!("cluster.workflows.{key}: ")),
            "{line}: {found}"
        );
    }
}

#[test]
fn errors_name_file_line_and_key() {
    let error = |from: &str, to: &str| {
        let text = MINIMAL.replacen(from, to, 1);
        Settings::parse("f.toml", &text).expect_err(to).to_string()
    };
    assert_eq!(
        error("most = 4", "most = 0"),
        "f.toml:13:8: attempts.most: 0 is not between 1 and 100"
    );
    assert!(error("deadline_s = 12.0", "deadline_s = -1")
        .starts_with("f.toml:28:14: classes.1.deadline_s"));
    assert!(
        error("\"booking\"", "\"query\"").contains("f.toml:24:8: classes.1.name: 'query' is also")
    );
    assert!(error("zone = \"z\"", "zon = 1").contains("unknown field `zon`"));
    assert!(error("name = \"d1\"", "name = d1").starts_with("f.toml:1:"));
    assert!(error("effect = \"safe\"", "effect = \"odd\"").starts_with("f.toml:17:"));
    assert!(error("effect = \"safe\"", "effect = \"keyed\"").contains("needs key_window_s"));
    assert!(error("ttft_aim_s = 1.5", "ttft_aim_s = nan").contains("ttft_aim_s: NaN"));
}
