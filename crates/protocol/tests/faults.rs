//! Invalid client events: the error names the invalid field and no internal type name.

use bitternlatch_protocol::client::parse;

#[test]
fn bad_request_names_its_field() {
    let good = r#""type":"response.create","model":"m","input":"x""#;
    for (text, code, param) in [
        (
            format!("{{{good},\"max_output_tokens\":-1}}"),
            "invalid_value",
            Some("max_output_tokens"),
        ),
        (
            format!("{{{good},\"max_output_tokens\":1e30}}"),
            "invalid_value",
            Some("max_output_tokens"),
        ),
        (
            format!("{{{good},\"max_output_tokens\":0}}"),
            "invalid_value",
            Some("max_output_tokens"),
        ),
        (
            format!("{{{good},\"temperature\":\"hot\"}}"),
            "invalid_value",
            Some("temperature"),
        ),
        (
            format!("{{{good},\"metadata\":{{\"class\":7}}}}"),
            "invalid_value",
            Some("metadata.class"),
        ),
        (
            r#"{"type":"response.create","model":"m","input":7}"#.to_string(),
            "invalid_value",
            Some("input"),
        ),
        (
            r#"{"model":"m"}"#.to_string(),
            "invalid_value",
            Some("type"),
        ),
        (r#"{"type":7}"#.to_string(), "invalid_value", Some("type")),
        (
            r#"["response.create","m","x"]"#.to_string(),
            "invalid_json",
            None,
        ),
        ("\"response.create\"".to_string(), "invalid_json", None),
        (format!("{{{good}"), "invalid_json", None),
        (format!("{{{good}}} {{}}"), "invalid_json", None),
    ] {
        let bad = parse(&text).expect_err(&text);
        assert_eq!(
            (bad.code, bad.param.as_deref()),
            (code, param),
            "{text}: {}",
            bad.message
        );
        assert!(
            !bad.message.contains("Raw") && !bad.message.contains("struct"),
            "{}",
            bad.message
        );
    }
}
