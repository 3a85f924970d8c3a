use super::*;

fn meta(pairs: &[(&str, &str)]) -> BTreeMap<String, String> {
    pairs
        .iter()
        .map(|(k, v)| (k.to_string(), v.to_string()))
        .collect()
}

#[test]
fn each_operation_requires_its_own_fields() {
    let parsed = |pairs: &[(&str, &str)]| parse(&meta(pairs));
    let request = |operation| {
        Ok(Some(WorkflowRequest {
            workflow: "w".into(),
            operation,
        }))
    };
    assert_eq!(
        parsed(&[("workflow_do", "dance")]),
        Ok(None),
        "no workflow is named"
    );
    let claim = parsed(&[
        ("workflow", "w"),
        ("workflow_do", "claim"),
        ("workflow_worker", "a"),
    ]);
    assert_eq!(claim, request(Operation::Claim { worker: "a".into() }));
    let step = parsed(&[
        ("workflow", "w"),
        ("workflow_epoch", "3"),
        ("workflow_step", "7"),
    ]);
    assert_eq!(step, request(Operation::Step { epoch: 3, step: 7 }));
    for (operation, expected) in [
        ("carry", Operation::RenewLease { epoch: 2 }),
        ("finish", Operation::Finish { epoch: 2 }),
        ("cancel", Operation::Cancel { epoch: 2 }),
    ] {
        let pairs = [
            ("workflow", "w"),
            ("workflow_do", operation),
            ("workflow_epoch", "2"),
        ];
        assert_eq!(parsed(&pairs), request(expected));
    }
    let mut settle = vec![
        ("workflow", "w"),
        ("workflow_do", "settle"),
        ("workflow_step", "2"),
        ("workflow_fate", "done"),
    ];
    assert_eq!(
        parsed(&settle),
        request(Operation::Settle {
            step: 2,
            decision: StepDecision::Done
        })
    );
    settle[3].1 = "perhaps";
    assert_eq!(
        parsed(&settle).expect_err("rejected").param.as_deref(),
        Some("metadata.workflow_fate")
    );
    let long = "é".repeat(65);
    for (pairs, param) in [
        (vec![("workflow", "")], "metadata.workflow_epoch"),
        (
            vec![("workflow", "w"), ("workflow_do", "dance")],
            "metadata.workflow_do",
        ),
        (
            vec![("workflow", "w"), ("workflow_do", "claim")],
            "metadata.workflow_worker",
        ),
        (
            vec![("workflow", "w"), ("workflow_epoch", "0")],
            "metadata.workflow_epoch",
        ),
        (
            vec![("workflow", "w"), ("workflow_epoch", "1")],
            "metadata.workflow_step",
        ),
        (
            vec![
                ("workflow", "w"),
                ("workflow_epoch", "1"),
                ("workflow_step", "-1"),
            ],
            "metadata.workflow_step",
        ),
        (
            vec![
                ("workflow", &long),
                ("workflow_do", "carry"),
                ("workflow_epoch", "1"),
            ],
            "metadata.workflow",
        ),
    ] {
        let bad = parsed(&pairs).expect_err("rejected");
        assert_eq!(
            (bad.status, bad.param.as_deref()),
            (400, Some(param)),
            "{pairs:?}"
        );
    }
}

#[test]
fn claim_answer_keeps_its_json() {
    let step = |number, fate, result: Option<&str>| ClaimedStep {
        number,
        effect: StepEffect::Unsafe,
        key: "k".into(),
        fate,
        result: result.map(str::to_string),
    };
    let steps = vec![
        step(1, StepFate::Done, Some("yes")),
        step(2, StepFate::MayHaveRun, None),
    ];
    let claimed = Claimed {
        epoch: 4,
        context: "c".into(),
        lease_ms: 3000,
        steps,
    };
    let text = r#"{"epoch":4,"context":"c","lease_ms":3000,"steps":[{"number":1,"effect":"unsafe","key":"k","fate":"done","result":"yes"},{"number":2,"effect":"unsafe","key":"k","fate":"may_have_run"}]}"#;
    assert_eq!(serde_json::to_string(&claimed).expect("JSON"), text);
    assert_eq!(
        serde_json::from_str::<Claimed>(text).expect("a claim"),
        claimed
    );
}
