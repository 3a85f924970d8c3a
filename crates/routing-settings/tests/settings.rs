//! Checks the meaning and default of each key of the start settings, and the error message for
//! values that cannot be parsed.

use bitternlatch_policy::interface::{
    ClassSettings, Effect, KeyScope, KindSettings, Limits, ReportField, ReportMode, Role, Settings,
    SlowStart, TenantSettings,
};
use bitternlatch_routing_settings::{
    read_bounds, read_names, read_settings, Bounds, Names, RawSettings,
};
use serde_json::json;

/// The smallest complete settings: every required key and no other.
const REQUIRED_LINES: &str = "balancers=2\nlocality=1\nclasses.count=1\nclasses.0.name=chat\n\
classes.0.aimS=1.5\nclasses.0.deadlineS=6.0\nclasses.0.effect=free\nreport.how=off\n\
contract.overloadFactor=2.5\ncontract.startCapacity=0.25\ncontract.fallS=3.0\n\
contract.warmAfterS=14.0\nextra.kindRole=read\nextra.pinLimitS=0.5\nlimits.maxAttempts=4\n\
membershipMode=pushed\n";

/// Settings that contain every key.
const ALL_LINES: &str = "balancers=60\nlocality=1\nclasses.count=3\nclasses.0.name=chat\n\
classes.0.aimS=1.5\nclasses.0.deadlineS=6.0\nclasses.0.effect=free\nclasses.0.worth=2.0\n\
classes.0.lateWorth=0.3\nclasses.1.name=book\nclasses.1.aimS=2.5\nclasses.1.deadlineS=12.0\n\
classes.1.effect=guarded\nclasses.1.keyScope=zone\nclasses.1.repeatWindowS=5.0\n\
classes.2.name=pay\nclasses.2.aimS=3.5\nclasses.2.deadlineS=9.0\nclasses.2.effect=single_shot\n\
customers.count=2\ncustomers.0.name=a\ncustomers.0.quotaRps=4.0\ncustomers.1.name=b\n\
customers.1.quotaRps=8.0\nreport.how=on_probe\n\
report.fields=concurrent,depth,load_share,x0,x1,x2\nextra.reportX0=share_of_memory_held\n\
extra.reportX1=thousands_of_prompt_tokens\ncontract.overloadFactor=2.5\n\
contract.startCapacity=0.25\ncontract.fallS=3.0\ncontract.warmAfterS=14.0\n\
extra.kindRole=read,write,both\nextra.kindMemoryTokens=200000,150000\nextra.pinLimitS=0.5\n\
extra.aimUsPer1000PromptTokens=40000,120000\nextra.tokenAimS=0.07\nextra.unseenReadsRun=true\n\
extra.localRead=true\nextra.resume=true\noverShareWorth=0.1\nmembershipMode=on_request\ntickS=0.002\n\
limits.maxAttempts=4\nlimits.cancel=true\nlimits.probing=true\nlimits.maxRetryAfterS=2.0\n\
limits.connectTimeoutS=0.5\nlimits.connIdleS=20.0\nlimits.mostHeld=500\nlimits.retryAfter=true\n\
limits.peers=true\nme=7\nkinds=reader,writer,mixed\nzones=north,south\n";

fn raw_settings(text: &str) -> RawSettings {
    RawSettings::from_lines(text).expect("lines of key=value")
}

fn class(effect: Effect) -> ClassSettings {
    ClassSettings {
        effect,
        ttft_objective_s: 1.5,
        ttft_objective_per_token_s: 0.0,
        inter_token_objective_s: 0.0,
        deadline_s: 6.0,
        priority_weight: 1.0,
        late_weight_fraction: 0.0,
    }
}

fn kind(role: Role, memory_tokens: f64) -> KindSettings {
    KindSettings {
        role,
        memory_tokens,
    }
}

fn all_settings() -> Settings {
    let (scope, window_s) = (KeyScope::Zone, 5.0);
    Settings {
        dispatchers: 60,
        zone: 1,
        classes: vec![
            ClassSettings {
                ttft_objective_per_token_s: 4e-5,
                inter_token_objective_s: 0.07,
                priority_weight: 2.0,
                late_weight_fraction: 0.3,
                ..class(Effect::Idempotent)
            },
            ClassSettings {
                ttft_objective_s: 2.5,
                ttft_objective_per_token_s: 12e-5,
                deadline_s: 12.0,
                ..class(Effect::IdempotencyKey { scope, window_s })
            },
            ClassSettings {
                ttft_objective_s: 3.5,
                deadline_s: 9.0,
                ..class(Effect::NonIdempotent)
            },
        ],
        tenants: vec![
            TenantSettings { quota_rps: 4.0 },
            TenantSettings { quota_rps: 8.0 },
        ],
        kinds: vec![
            kind(Role::Prefill, 200_000.0),
            kind(Role::Decode, 150_000.0),
            kind(Role::Mixed, 0.0),
        ],
        report_fields: vec![
            ReportField::Concurrent,
            ReportField::Queue,
            ReportField::SlotUtilization,
            ReportField::MemoryUtilization,
            ReportField::QueuedKiloTokens,
            ReportField::Other,
        ],
        report_mode: ReportMode::OnProbe,
        slow_start: SlowStart {
            start_capacity: 0.25,
            overload_factor: 2.5,
            window_s: 3.0,
            warm_after_s: 14.0,
        },
        limits: Limits {
            max_attempts: 4,
            may_cancel: true,
            may_probe: true,
            max_retry_after_s: 2.0,
            connect_timeout_s: 0.5,
        },
        kv_hold_limit_s: 0.5,
        over_quota_weight_fraction: 0.1,
        must_subscribe: true,
        lost_prefill_may_have_run: true,
        decode_servers_prefill: true,
        tick_s: 0.002,
    }
}

#[test]
fn every_key_is_parsed() {
    let raw = raw_settings(ALL_LINES);
    assert_eq!(read_settings(&raw), Ok(all_settings()));
    let bounds = Bounds {
        connect_timeout_s: 0.5,
        idle_timeout_s: 20.0,
        max_open_requests: 500,
        sends_retry_after: true,
        allows_peer_messages: true,
        clients_resume: true,
        dispatcher_index: 7,
    };
    assert_eq!(read_bounds(&raw), Ok(bounds));
    let owned = |names: &[&str]| names.iter().map(|name| name.to_string()).collect();
    let names = Names {
        classes: owned(&["chat", "book", "pay"]),
        kinds: owned(&["reader", "writer", "mixed"]),
        zones: owned(&["north", "south"]),
        report_fields: owned(&["concurrent", "depth", "load_share", "x0", "x1", "x2"]),
        tenants: owned(&["a", "b"]),
    };
    assert_eq!(read_names(&raw), Ok(names));
}

#[test]
fn missing_optional_keys_have_defaults() {
    let raw = raw_settings(REQUIRED_LINES);
    let settings = Settings {
        dispatchers: 2,
        classes: vec![class(Effect::Idempotent)],
        tenants: vec![],
        kinds: vec![kind(Role::Prefill, 0.0)],
        report_fields: vec![],
        report_mode: ReportMode::Off,
        limits: Limits {
            max_attempts: 4,
            may_cancel: false,
            may_probe: false,
            max_retry_after_s: 0.0,
            connect_timeout_s: 0.25,
        },
        over_quota_weight_fraction: 1.0,
        must_subscribe: false,
        lost_prefill_may_have_run: false,
        decode_servers_prefill: false,
        tick_s: 0.001,
        ..all_settings()
    };
    assert_eq!(read_settings(&raw), Ok(settings));
    let bounds = Bounds {
        connect_timeout_s: 0.25,
        idle_timeout_s: 15.0,
        max_open_requests: 20_000,
        sends_retry_after: false,
        allows_peer_messages: false,
        clients_resume: false,
        dispatcher_index: 0,
    };
    assert_eq!(read_bounds(&raw), Ok(bounds));
}

#[test]
fn nested_json_and_lines_give_equal_settings() {
    let value = json!({
        "balancers": 2,
        "classes": [{"name": "a b,c", "aimS": 1.5, "none": null}],
        "report": {"fields": ["depth", "x0"]},
        "limits": {"cancel": true},
    });
    let lines = "balancers=2\nclasses.count=1\nclasses.0.name=a_b_c\nclasses.0.aimS=1.5\n\n\
report.fields=depth,x0\nlimits.cancel = true\n";
    assert_eq!(RawSettings::from_json(&value), Ok(raw_settings(lines)));
    let list = RawSettings::from_json(&json!([1])).expect_err("a list is not an object");
    assert_eq!(list.to_string(), "the settings are no object");
    let no_value =
        RawSettings::from_lines("balancers=2\nbare").expect_err("a line without a value");
    assert_eq!(no_value.to_string(), "settings line 2 has no '='");
}

#[test]
fn errors_name_the_key_and_value() {
    let table = [
        ("balancers=2", "", "setting balancers is missing"),
        (
            "balancers=2",
            "balancers=x",
            "setting balancers is no number: x",
        ),
        (
            "balancers=2",
            "balancers=1.5",
            "setting balancers is no small whole number: 1.5",
        ),
        (
            "=0.25",
            "=inf",
            "setting contract.startCapacity is no number: inf",
        ),
        (
            "classes.count=1",
            "classes.count=0",
            "setting classes.count is 0",
        ),
        (
            "effect=free",
            "effect=odd",
            "setting classes.0.effect is not known: odd",
        ),
        (
            "effect=free",
            "effect=free\nclasses.0.keyScope=odd",
            "setting classes.0.keyScope is not known: odd",
        ),
        ("how=off", "how=odd", "setting report.how is not known: odd"),
        (
            "kindRole=read",
            "kindRole=odd",
            "setting extra.kindRole is not known: odd",
        ),
        (
            "balancers=2",
            "balancers=2\nlimits.cancel=odd",
            "setting limits.cancel is neither true nor false: odd",
        ),
        (
            "balancers=2",
            "balancers=2\ncustomers.count=1",
            "setting customers.0.quotaRps is missing",
        ),
    ];
    for (from, to, message) in table {
        let error =
            read_settings(&raw_settings(&REQUIRED_LINES.replace(from, to))).expect_err(message);
        assert_eq!(error.to_string(), message);
    }
    let unnamed_class = raw_settings(&REQUIRED_LINES.replace("classes.0.name=chat\n", ""));
    let error = read_names(&unnamed_class).expect_err("a class without a name");
    assert_eq!(error.to_string(), "setting classes.0.name is missing");
    let negative_index = raw_settings(&format!("{REQUIRED_LINES}me=-1\n"));
    let error = read_bounds(&negative_index).expect_err("a negative index");
    assert_eq!(error.to_string(), "setting me is no small whole number: -1");
}
