//! Configuration parsing. The JSON settings and the simulator's wire settings of one deployment give equal results.
mod common;

use bitternlatch_platform::config::Config;
use bitternlatch_platform::discovery::EndpointList;
use bitternlatch_platform::responses::parse_load_report;
use bitternlatch_policy::interface::Settings;
use bitternlatch_routing_settings::{read_settings, RawSettings};
use common::*;

/// Settings of the test deployment in the format of the simulator's wire.
const WIRE_SETTINGS: &str =
    "balancers=2\nclasses.count=2\nclasses.0.name=ask\nclasses.0.effect=free\nclasses.0.aimS=1.5\n\
classes.0.deadlineS=6.0\nclasses.0.worth=1.0\nclasses.0.lateWorth=0.3\nclasses.1.name=book\n\
classes.1.effect=single_shot\nclasses.1.aimS=2.5\nclasses.1.deadlineS=12.0\nclasses.1.worth=2.0\n\
classes.1.lateWorth=0.2\ncontract.overloadFactor=2.5\ncontract.startCapacity=0.25\ncontract.fallS=3.0\n\
contract.warmAfterS=14.0\ncustomers=\nextra.kindRole=read,write\nextra.pinLimitS=1.0\nextra.resume=true\n\
extra.aimUsPer1000PromptTokens=40000.0,120000.0\nextra.tokenAimS=0.07,0.08\n\
extra.kindMemoryTokens=200000,150000\nextra.localRead=true\nextra.reportX0=share_of_memory_that_is_held\n\
kinds=reads,writes\nzones=hall\nlocality=0\nmembershipMode=pushed\ntickS=0.002\nlimits.maxAttempts=4\n\
limits.cancel=true\nlimits.probing=true\nlimits.maxRetryAfterS=2.0\nreport.how=inline\n\
report.fields=load_share,depth,x0\n";

#[test]
fn json_and_wire_settings_are_equal() {
    let from_wire =
        read_settings(&RawSettings::from_lines(WIRE_SETTINGS).expect("lines")).expect("settings");
    // The platform differs in one setting: when a connection ends, the prefill on the server may still complete.
    assert!(!from_wire.lost_prefill_may_have_run);
    assert_eq!(
        Settings {
            lost_prefill_may_have_run: true,
            ..from_wire
        },
        config().settings
    );
}

#[test]
fn invalid_field_is_named_in_one_line() {
    let valid = config_json(256);
    let table = [
        (r#""name":"d0","#, "", "name"),
        ("127.0.0.1:8081", "here", "listen"),
        ("127.0.2.1:8500", "127.0.2.1", "discovery"),
        (r#""sockets":256"#, r#""sockets":3"#, "limits.sockets"),
        (r#""memory_mb":64"#, r#""memory_mb":-1"#, "limits.memory_mb"),
        (r#""balancers":2,"#, "", "balancers"),
        (
            r#""effect":"free""#,
            r#""effect":"cheap""#,
            "classes.0.effect",
        ),
        (
            r#""pinLimitS":1.0"#,
            r#""pinLimitS":"soon""#,
            "extra.pinLimitS",
        ),
        (r#""balancers":2"#, r#""balancers":2,,"#, "line"),
    ];
    for (from, to, field) in table {
        assert!(valid.contains(from), "{from}");
        let error = Config::parse(&valid.replace(from, to))
            .expect_err(field)
            .to_string();
        assert!(
            error.contains(field) && !error.contains('\n'),
            "{field}: {error}"
        );
    }
}

/// An endpoint list in the configuration that is invalid or contradictory is ignored, and its error is reported;
/// startup continues without it.
#[test]
fn invalid_known_list_is_left_out_with_its_cause() {
    let valid = config_json(256);
    for (from, to, cause) in [
        (
            r#""model":"reads""#,
            r#""model":"thinks""#,
            "model 'thinks'",
        ),
        (r#""uid":"h-r2""#, r#""uid":"h-r1""#, "named twice"),
        (r#""rev":7"#, r#""rev":-7"#, "rev"),
        (r#""boot_ms":0"#, r#""boot_ms":-1"#, "boot_ms"),
        ("127.0.1.1:80", "nowhere", "endpoint 'nowhere'"),
    ] {
        assert!(valid.contains(from), "{from}");
        let config = Config::parse(&valid.replacen(from, to, 1)).expect(cause);
        assert_eq!(config.cached_list, None);
        let error = config.cached_list_error.expect(cause);
        assert!(
            (error.contains(cause) || cause == "rev") && !error.contains('\n'),
            "{error}"
        );
    }
    assert_eq!(config().cached_list_error, None);
}

#[test]
fn unknown_keys_are_skipped() {
    let more = config_json(256).replacen('{', r#"{"colour":"red","#, 1);
    assert_eq!(Config::parse(&more), Ok(config()));
    let without = config_json(256).replace(r#""known":"#, r#""once_known":"#);
    assert_eq!(Config::parse(&without).map(|c| c.cached_list), Ok(None));
}

#[test]
fn load_report_fields_have_two_names() {
    let names = config().names;
    let expected = vec![0.61, 2.0, 0.3];
    assert_eq!(
        parse_load_report("queue=2,util=0.61,x0=0.3,more=1", &names),
        expected
    );
    assert_eq!(
        parse_load_report("depth=2, load_share=0.61, x0=0.3", &names),
        expected
    );
    for invalid in [
        "",
        "queue=2",
        "queue=2,util=NaN,x0=1",
        "queue=2,util=-1,x0=1",
        "queue:2",
        "util=1e999,queue=1,x0=1",
    ] {
        assert_eq!(
            parse_load_report(invalid, &names),
            Vec::<f64>::new(),
            "{invalid}"
        );
    }
}

#[test]
fn invalid_discovery_line_reports_cause() {
    let names = config().names;
    let valid = endpoint_list_json(
        3,
        false,
        &[endpoint_json("h", "127.0.1.1:80", "reads", "in_service")],
    );
    assert!(EndpointList::parse(valid.as_bytes(), &names).is_ok());
    for (from, to, word) in [
        ("in_service", "asleep", "state 'asleep'"),
        ("reads", "sings", "model 'sings'"),
        ("hall", "moon", "az 'moon'"),
        ("127.0.1.1:80", "there", "endpoint 'there'"),
        ("\"rev\":3", "\"rev\":-3", "rev"),
    ] {
        let error =
            EndpointList::parse(valid.replace(from, to).as_bytes(), &names).expect_err(word);
        assert!(error.contains(word) || word == "rev", "{error}");
    }
    for at in 0..valid.len() {
        assert!(
            EndpointList::parse(&valid.as_bytes()[..at], &names).is_err(),
            "cut at {at}"
        );
    }
}
