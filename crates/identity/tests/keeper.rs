//! The key set's life: an issuer that is down, slow or lying, unknown keys, clocks that jump. And rights.

use bitternlatch_identity::keeper::{Keeper, KeeperRules, Taken};
use bitternlatch_identity::rights::{Denial, Rights, Wish};
use bitternlatch_identity::{Caller, Proof};

fn document(ids: &[&str]) -> Vec<u8> {
    // Two points of Ed25519 that are public keys of nobody in particular.
    let x = "11qYAYKxCrfVS_7TyWQHOg7hcvPapiMlrwIaaPcHURo";
    let keys: Vec<String> = ids
        .iter()
        .map(|id| format!("{{\"kty\":\"OKP\",\"crv\":\"Ed25519\",\"kid\":\"{id}\",\"x\":\"{x}\"}}"))
        .collect();
    format!("{{\"keys\":[{}]}}", keys.join(",")).into_bytes()
}

fn rules() -> KeeperRules {
    KeeperRules {
        refresh_s: 60.0,
        keep_s: 3600.0,
        pause_s: (1.0, 30.0),
        unknown_every_s: 5.0,
    }
}

fn ids(keeper: &Keeper, now: f64) -> Option<Vec<String>> {
    keeper
        .set(now)
        .map(|s| s.ids().map(str::to_string).collect())
}

#[test]
fn an_issuer_down_at_the_start_is_asked_with_growing_pauses_and_its_first_set_counts() {
    let mut keeper = Keeper::new(rules(), 0.0);
    let (mut now, mut fetches) = (0.0, 0);
    while now < 600.0 {
        if keeper.fetch_due(now) {
            assert!(!keeper.fetch_due(now), "one at a time");
            keeper.failed(now, 0.5);
            fetches += 1;
        }
        now += 0.5;
    }
    assert!((20..40).contains(&fetches), "{fetches} in ten minutes");
    assert!(ids(&keeper, now).is_none());
    assert!(matches!(
        keeper.fetched(now, &document(&["a"]), 0.5),
        Taken::New { .. }
    ));
    assert_eq!(ids(&keeper, now), Some(vec!["a".to_string()]));
}

#[test]
fn the_last_good_set_counts_through_an_hour_without_the_issuer_and_no_longer() {
    let mut keeper = Keeper::new(rules(), 0.0);
    keeper.fetched(0.0, &document(&["a"]), 0.5);
    for (at, garbage) in [
        (60.0, &b"<html>"[..]),
        (120.0, b"{}"),
        (180.0, &document(&["b", "b"])),
    ] {
        assert!(
            matches!(keeper.fetched(at, garbage, 0.5), Taken::Refused(_)),
            "{at}"
        );
        assert_eq!(ids(&keeper, at), Some(vec!["a".to_string()]));
    }
    assert!(ids(&keeper, 3599.0).is_some() && ids(&keeper, 3600.0).is_none());
    let Taken::New { dropped } = keeper.fetched(4000.0, &document(&["c"]), 0.5) else {
        panic!("a new set")
    };
    assert_eq!(dropped, ["a"], "what counted before and is gone is told");
    assert_eq!(keeper.fetched(4060.0, &document(&["c"]), 0.5), Taken::Same);
}

#[test]
fn unknown_keys_set_off_one_fetch_however_many_ask() {
    let mut keeper = Keeper::new(rules(), 0.0);
    keeper.fetched(0.0, &document(&["a"]), 0.5);
    let mut fetches = 0;
    for i in 0..10_000 {
        let now = 1.0 + f64::from(i) * 0.001;
        keeper.unknown_key(now, &format!("made-up-{i}"));
        if keeper.fetch_due(now) {
            fetches += 1;
            keeper.fetched(now, &document(&["a"]), 0.5);
        }
    }
    assert!(
        (1..=3).contains(&fetches),
        "{fetches} fetches for 10,000 made-up keys in ten seconds"
    );
    keeper.unknown_key(20.0, "new");
    assert!(keeper.fetch_due(20.0));
    keeper.fetched(20.0, &document(&["a", "new"]), 0.5);
    assert_eq!(ids(&keeper, 20.0).map(|i| i.len()), Some(2));
    keeper.unknown_key(30.0, "gone");
    assert!(keeper.fetch_due(30.0));
    keeper.fetched(30.0, &document(&["a"]), 0.5);
    keeper.unknown_key(36.0, "gone");
    assert!(!keeper.fetch_due(36.0), "the issuer has just not known it");
}

#[test]
fn fetches_of_many_dispatchers_spread_and_a_clock_that_jumps_back_does_not_stop_them() {
    let next: Vec<f64> = (0..10)
        .map(|i| {
            let mut keeper = Keeper::new(rules(), 0.0);
            keeper.fetched(0.0, &document(&["a"]), f64::from(i) / 9.0);
            keeper.next_at()
        })
        .collect();
    assert!(
        next[0] >= 54.0 && next[9] <= 66.0 && next[9] - next[0] > 10.0,
        "{next:?}"
    );
    let mut keeper = Keeper::new(rules(), 1000.0);
    keeper.fetched(1000.0, &document(&["a"]), 0.5);
    assert!(!keeper.fetch_due(1001.0));
    assert!(keeper.fetch_due(500.0), "the clock went back");
    assert!(ids(&keeper, 500.0).is_some());
}

#[test]
fn a_restart_with_only_the_last_good_keys_counts_them_for_what_is_left_of_their_time() {
    let mut first = Keeper::new(rules(), 0.0);
    first.fetched(0.0, &document(&["a"]), 0.5);
    let (kept, age_s) = first
        .document(1000.0)
        .map(|(d, a)| (d.to_vec(), a))
        .expect("a document");
    let mut second = Keeper::new(rules(), 0.0);
    second.restore(0.0, &kept, age_s + 600.0).expect("good");
    assert!(ids(&second, 1999.0).is_some() && ids(&second, 2000.0).is_none());
    assert!(second.restore(0.0, &kept[..10], 0.0).is_err());
    assert!(second.fetch_due(0.0), "and a fresh one is fetched at once");
}

const RIGHTS: &str = r#"
[[rule]]
name = "directors"
groups = ["directors"]
tenant = "choirs"
classes = ["slot-query", "season-booking"]
models = ["*"]
max_output_tokens = 500

[[rule]]
name = "members"
subjects = ["ann"]
groups = ["members"]
tenant = "choirs"
classes = ["slot-query"]
models = ["small"]
max_output_tokens = 200
"#;

fn caller(subject: &str, groups: &[&str]) -> Caller {
    let groups = groups.iter().map(|g| g.to_string()).collect();
    Caller {
        subject: subject.into(),
        groups,
        key_id: "k".into(),
        token_id: None,
        ends: 0,
        proof: Proof::Token,
    }
}

#[test]
fn rights_are_given_by_the_first_rule_that_names_the_caller_and_refused_otherwise() {
    let rights = Rights::parse(RIGHTS).expect("good rights");
    let wish = |class, model| Wish {
        class,
        model,
        max_output_tokens: None,
        tenant: None,
    };
    let may = |c: &Caller, w: Wish<'_>| {
        rights
            .may(c, &w)
            .map(|g| (g.rule, g.max_output_tokens))
            .map_err(|d| d.code())
    };
    let (director, member, nobody) = (
        caller("d", &["members", "directors"]),
        caller("ann", &[]),
        caller("x", &["y"]),
    );
    assert_eq!(
        may(&director, wish("season-booking", "any")),
        Ok(("directors".into(), 500))
    );
    assert_eq!(
        may(&member, wish("slot-query", "small")),
        Ok(("members".into(), 200))
    );
    assert_eq!(
        may(&member, wish("season-booking", "small")),
        Err("class_not_allowed")
    );
    assert_eq!(
        may(&member, wish("slot-query", "large")),
        Err("model_not_allowed")
    );
    assert_eq!(
        may(&nobody, wish("slot-query", "small")),
        Err("caller_unknown")
    );
    let most = Wish {
        max_output_tokens: Some(201),
        ..wish("slot-query", "small")
    };
    assert_eq!(may(&member, most), Err("output_not_allowed"));
    let other = Wish {
        tenant: Some("bands"),
        ..wish("slot-query", "small")
    };
    let denial = rights.may(&member, &other).expect_err("another tenant");
    assert_eq!(
        denial,
        Denial::Tenant {
            claimed: "bands".into()
        }
    );
    assert_eq!(denial.param(), Some("metadata.tenant"));
    assert!(may(
        &member,
        Wish {
            tenant: Some("choirs"),
            ..wish("slot-query", "small")
        }
    )
    .is_ok());
}

#[test]
fn rights_files_that_are_wrong_name_the_place() {
    let fault = |from: &str, to: &str| Rights::parse(&RIGHTS.replacen(from, to, 1)).expect_err(to);
    assert!(fault("tenant = \"choirs\"", "tenat = \"choirs\"").starts_with("line 5: unknown field"));
    assert!(fault("\"members\"\nsubj", "\"directors\"\nsubj")
        .contains("rule 'directors': its name is used twice"));
    assert!(fault("groups = [\"directors\"]\n", "").contains("names neither"));
    assert!(fault("max_output_tokens = 500", "max_output_tokens = 0").contains("allows nothing"));
    assert!(Rights::parse("")
        .expect("none")
        .may(
            &caller("a", &[]),
            &Wish {
                class: "c",
                model: "m",
                max_output_tokens: None,
                tenant: None
            }
        )
        .is_err());
}
