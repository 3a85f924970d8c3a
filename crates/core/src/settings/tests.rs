use super::*;

pub(crate) const SMALL: &str = r#"name = "d1"
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

pub(crate) fn small() -> Settings {
    Settings::parse("small.toml", SMALL).expect("the small settings are good")
}

#[test]
fn the_ready_made_cluster_is_one() {
    let texts = [
        include_str!("../../../../deploy/cluster/dispatch-1.toml"),
        include_str!("../../../../deploy/cluster/dispatch-2.toml"),
        include_str!("../../../../deploy/cluster/dispatch-3.toml"),
    ];
    let read = |text: &&str| Settings::parse("deploy", text).expect("good settings");
    let all: Vec<Settings> = texts.iter().map(read).collect();
    let roster = |s: &Settings| s.cluster.as_ref().map(|c| c.roster.clone());
    assert!(all.iter().all(|s| roster(s) == roster(&all[0])));
    let clients = |s: &Settings| {
        roster(s).and_then(|r| r.into_iter().find(|p| p.name == s.name)?.client_address)
    };
    assert!(all
        .iter()
        .all(|s| clients(s).as_ref() == Some(&s.listen.address)));
}

#[test]
fn a_cluster_is_checked_by_place_and_cause() {
    let fault = |roster: &str| {
        let table = "[cluster]\nname = \"hall\"\nsecret = \"s\"\n";
        Settings::parse("f.toml", &format!("{SMALL}{table}{roster}"))
            .map_err(|e| e.to_string())
            .err()
    };
    let peer = |name: &str, at: &str| {
        format!("[[cluster.roster]]\nname = \"{name}\"\naddress = \"{at}\"\n")
    };
    let (one, two) = (peer("d1", "127.0.0.1:7811"), peer("d2", "127.0.0.1:7812"));
    assert_eq!(fault(&(one.clone() + &two)), None);
    assert!(fault(&two).is_some_and(|f| f.contains("'d1', this dispatcher, is not in it")));
    let twice = fault(&(one.clone() + &peer("d2", "127.0.0.1:7811")));
    assert!(twice.is_some_and(|f| f.contains("cluster.roster.1.address: 127.0.0.1:7811 is also")));
    assert!(fault(&(one.clone() + &one)).is_some_and(|f| f.contains("'d1' is also the name")));
    assert!(fault(&peer("d1", "127.0.0.1:0")).is_some_and(|f| f.contains("cannot be sent to")));
    let seeds = |of: &str| format!("seeds = [{of}]\n");
    assert_eq!(fault(&seeds("\"127.0.0.1:7811\"")), None);
    assert!(fault(&seeds("\"127.0.0.1:0\""))
        .is_some_and(|f| f.contains("cluster.seeds.0: 127.0.0.1:0")));
    assert!(fault(&seeds(&"\"127.0.0.1:7811\",".repeat(17)))
        .is_some_and(|f| f.contains("16 at the most")));
    assert!(fault(&(seeds("\"127.0.0.1:7811\"") + &one))
        .is_some_and(|f| f.contains("keep one of them")));
    assert!(fault("").is_some_and(|f| f.contains("cluster.roster")));
    let workflows = |line: &str| format!("{one}[cluster.workflows]\n{line}\n");
    assert_eq!(fault(&workflows("")), None);
    for line in [
        "lease_s = 0.1",
        "steps = 0",
        "bytes = 9",
        "tokens = 0",
        "lasts_s = nan",
        "kept = \"\"",
    ] {
        let key = line.split(' ').next().unwrap_or_default();
        let found = fault(&workflows(line)).unwrap_or_default();
        assert!(
            found.contains(&format!("cluster.workflows.{key}: ")),
            "{line}: {found}"
        );
    }
}

#[test]
fn faults_name_file_line_and_key() {
    let fault = |from: &str, to: &str| {
        let text = SMALL.replacen(from, to, 1);
        Settings::parse("f.toml", &text).expect_err(to).to_string()
    };
    assert_eq!(
        fault("most = 4", "most = 0"),
        "f.toml:13:8: attempts.most: 0 is not between 1 and 100"
    );
    assert!(fault("deadline_s = 12.0", "deadline_s = -1")
        .starts_with("f.toml:28:14: classes.1.deadline_s"));
    assert!(
        fault("\"booking\"", "\"query\"").contains("f.toml:24:8: classes.1.name: 'query' is also")
    );
    assert!(fault("zone = \"z\"", "zon = 1").contains("unknown field `zon`"));
    assert!(fault("name = \"d1\"", "name = d1").starts_with("f.toml:1:"));
    assert!(fault("effect = \"safe\"", "effect = \"odd\"").starts_with("f.toml:17:"));
    assert!(fault("effect = \"safe\"", "effect = \"keyed\"").contains("needs key_window_s"));
    assert!(fault("ttft_aim_s = 1.5", "ttft_aim_s = nan").contains("ttft_aim_s: NaN"));
}
