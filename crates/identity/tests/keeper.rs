//! Tests of the key set cache (unavailable or faulty issuer, unknown keys, clock jumps) and of access rights.

use bitternlatch_identity::keeper::{FetchOutcome, KeySetCache, KeySetCacheRules};
use bitternlatch_identity::rights::{AccessRequest, AccessRights, Denial};
use bitternlatch_identity::{Caller, Credential};

fn document(ids: &[&str]) -> Vec<u8> {
    // The public key of the Ed25519 example in RFC 8037, appendix A.
    let x = "11qYAYKxCrfVS_7TyWQHOg7hcvPapiMlrwIaaPcHURo";
    let keys: Vec<String> = ids
        .iter()
        .map(|id| format!("{{\"kty\":\"OKP\",\"crv\":\"Ed25519\",\"kid\":\"{id}\",\"x\":\"{x}\"}}"))
        .collect();
    format!("{{\"keys\":[{}]}}", keys.join(",")).into_bytes()
}

fn rules() -> KeySetCacheRules {
    KeySetCacheRules {
        refresh_interval_s: 60.0,
        max_age_s: 3600.0,
        retry_delay_s: (1.0, 30.0),
        min_unknown_key_interval_s: 5.0,
    }
}

fn ids(keeper: &KeySetCache, now: f64) -> Option<Vec<String>> {
    keeper
        .current(now)
        .map(|s| s.ids().map(str::to_string).collect())
}

#[test]
fn unavailable_issuer_is_retried_with_backoff_until_the_first_key_set() {
    let mut keeper = KeySetCache::new(rules(), 0.0);
    let (mut now, mut fetches) = (0.0, 0);
    while now < 600.0 {
        if keeper.fetch_due(now) {
            assert!(!keeper.fetch_due(now), "one fetch at a time");
            keeper.fetch_failed(now, 0.5);
            fetches += 1;
        }
        now += 0.5;
    }
    assert!(
        (20..40).contains(&fetches),
        "{fetches} fetches in ten minutes"
    );
    assert!(ids(&keeper, now).is_none());
    assert!(matches!(
        keeper.fetched(now, &document(&["a"]), 0.5),
        FetchOutcome::Replaced { .. }
    ));
    assert_eq!(ids(&keeper, now), Some(vec!["a".to_string()]));
}

#[test]
fn last_valid_key_set_is_used_for_its_maximum_age_while_the_issuer_fails() {
    let mut keeper = KeySetCache::new(rules(), 0.0);
    keeper.fetched(0.0, &document(&["a"]), 0.5);
    for (at, garbage) in [
        (60.0, &b"<html>"[..]),
        (120.0, b"{}"),
        (180.0, &document(&["b", "b"])),
    ] {
        assert!(
            matches!(keeper.fetched(at, garbage, 0.5), FetchOutcome::Invalid(_)),
            "{at}"
        );
        assert_eq!(ids(&keeper, at), Some(vec!["a".to_string()]));
    }
    assert!(ids(&keeper, 3599.0).is_some() && ids(&keeper, 3600.0).is_none());
    let FetchOutcome::Replaced { removed } = keeper.fetched(4000.0, &document(&["c"]), 0.5) else {
        panic!("replaced")
    };
    assert_eq!(removed, ["a"], "removed keys are reported");
    assert_eq!(
        keeper.fetched(4060.0, &document(&["c"]), 0.5),
        FetchOutcome::Unchanged
    );
}

#[test]
fn unknown_keys_trigger_a_limited_number_of_fetches() {
    let mut keeper = KeySetCache::new(rules(), 0.0);
    keeper.fetched(0.0, &document(&["a"]), 0.5);
    let mut fetches = 0;
    for i in 0..10_000 {
        let now = 1.0 + f64::from(i) * 0.001;
        keeper.report_unknown_key(now, &format!("unknown-{i}"));
        if keeper.fetch_due(now) {
            fetches += 1;
            keeper.fetched(now, &document(&["a"]), 0.5);
        }
    }
    assert!(
        (1..=3).contains(&fetches),
        "{fetches} fetches for 10,000 unknown keys in ten seconds"
    );
    keeper.report_unknown_key(20.0, "new");
    assert!(keeper.fetch_due(20.0));
    keeper.fetched(20.0, &document(&["a", "new"]), 0.5);
    assert_eq!(ids(&keeper, 20.0).map(|i| i.len()), Some(2));
    keeper.report_unknown_key(30.0, "gone");
    assert!(keeper.fetch_due(30.0));
    keeper.fetched(30.0, &document(&["a"]), 0.5);
    keeper.report_unknown_key(36.0, "gone");
    assert!(
        !keeper.fetch_due(36.0),
        "a recent fetch did not return the key"
    );
}

#[test]
fn fetches_are_spread_and_continue_after_the_clock_is_set_back() {
    let next: Vec<f64> = (0..10)
        .map(|i| {
            let mut keeper = KeySetCache::new(rules(), 0.0);
            keeper.fetched(0.0, &document(&["a"]), f64::from(i) / 9.0);
            keeper.next_fetch_at()
        })
        .collect();
    assert!(
        next[0] >= 54.0 && next[9] <= 66.0 && next[9] - next[0] > 10.0,
        "{next:?}"
    );
    let mut keeper = KeySetCache::new(rules(), 1000.0);
    keeper.fetched(1000.0, &document(&["a"]), 0.5);
    assert!(!keeper.fetch_due(1001.0));
    assert!(keeper.fetch_due(500.0), "the clock was set back");
    assert!(ids(&keeper, 500.0).is_some());
}

#[test]
fn restored_key_set_is_used_for_the_remainder_of_its_maximum_age() {
    let mut first = KeySetCache::new(rules(), 0.0);
    first.fetched(0.0, &document(&["a"]), 0.5);
    let (stored, age_s) = first
        .document(1000.0)
        .map(|(d, a)| (d.to_vec(), a))
        .expect("a document");
    let mut second = KeySetCache::new(rules(), 0.0);
    second.restore(0.0, &stored, age_s + 600.0).expect("good");
    assert!(ids(&second, 1999.0).is_some() && ids(&second, 2000.0).is_none());
    assert!(second.restore(0.0, &stored[..10], 0.0).is_err());
    assert!(second.fetch_due(0.0), "a fetch is due at once");
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
        expires_at: 0,
        credential: Credential::Token,
    }
}

#[test]
fn first_matching_rule_decides_and_unknown_callers_are_denied() {
    let rights = AccessRights::parse(RIGHTS).expect("good rights");
    let request = |class, model| AccessRequest {
        class,
        model,
        max_output_tokens: None,
        tenant: None,
    };
    let authorize = |c: &Caller, r: AccessRequest<'_>| {
        rights
            .authorize(c, &r)
            .map(|g| (g.rule, g.max_output_tokens))
            .map_err(|d| d.code())
    };
    let (director, member, nobody) = (
        caller("d", &["members", "directors"]),
        caller("ann", &[]),
        caller("x", &["y"]),
    );
    assert_eq!(
        authorize(&director, request("season-booking", "any")),
        Ok(("directors".into(), 500))
    );
    assert_eq!(
        authorize(&member, request("slot-query", "small")),
        Ok(("members".into(), 200))
    );
    assert_eq!(
        authorize(&member, request("season-booking", "small")),
        Err("class_not_allowed")
    );
    assert_eq!(
        authorize(&member, request("slot-query", "large")),
        Err("model_not_allowed")
    );
    assert_eq!(
        authorize(&nobody, request("slot-query", "small")),
        Err("caller_unknown")
    );
    let excessive = AccessRequest {
        max_output_tokens: Some(201),
        ..request("slot-query", "small")
    };
    assert_eq!(authorize(&member, excessive), Err("output_not_allowed"));
    let other = AccessRequest {
        tenant: Some("bands"),
        ..request("slot-query", "small")
    };
    let denial = rights
        .authorize(&member, &other)
        .expect_err("another tenant");
    assert_eq!(
        denial,
        Denial::Tenant {
            claimed: "bands".into()
        }
    );
    assert_eq!(denial.param(), Some("metadata.tenant"));
    assert!(authorize(
        &member,
        AccessRequest {
            tenant: Some("choirs"),
            ..request("slot-query", "small")
        }
    )
    .is_ok());
}

#[test]
fn invalid_rights_files_are_rejected_with_line_or_rule() {
    let fault =
        |from: &str, to: &str| AccessRights::parse(&RIGHTS.replacen(from, to, 1)).expect_err(to);
    assert!(fault("tenant = \"choirs\"", "tenat = \"choirs\"").starts_with("line 5: unknown field"));
    assert!(fault("\"members\"\nsubj", "\"directors\"\nsubj")
        .contains("rule 'directors': its name is used twice"));
    assert!(fault("groups = [\"directors\"]\n", "").contains("names neither"));
    assert!(fault("max_output_tokens = 500", "max_output_tokens = 0").contains("allows nothing"));
    assert!(AccessRights::parse("")
        .expect("none")
        .authorize(
            &caller("a", &[]),
            &AccessRequest {
                class: "c",
                model: "m",
                max_output_tokens: None,
                tenant: None
            }
        )
        .is_err());
}
