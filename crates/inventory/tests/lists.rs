//! Tests of both list formats, of invalid lists, and of when a changed list is applied.

use bitternlatch_inventory::{
    expand, parse, Difference, LastValidList, ListFormat, ServerState, UpdateOutcome,
};

const CSV: &str = "host,ansible_host,port,kind,rack,site,weight,state,note\n\
    box-7.example.org,127.0.0.1,9001,reader,a,pos,,,\"Hall side, \"\"north\"\"\"\n\
    box-8.example.org,127.0.0.1,9002,writer,b,pos,2,draining,\n";

const YAML: &str = "
all:
  vars: { site: pos, ansible_host: 127.0.0.1, rack: a }
  children:
    reading:
      hosts:
        box-7.example.org: { ansible_port: 9001 }
      vars: { kind: reader }
    writing:
      vars: { kind: writer, rack: c }
      children:
        north:
          vars: { rack: b }
          hosts:
            box-8.example.org: { ansible_port: 9002, weight: 2, state: draining, tags: [x, y] }
";

#[test]
fn both_formats_yield_the_same_servers() {
    let (csv, yaml) = (
        parse("h.csv", CSV).expect("CSV"),
        parse("h.yml", YAML).expect("YAML"),
    );
    assert_eq!(csv, yaml);
    let eight = &csv["box-8.example.org"];
    assert_eq!(
        (eight.cell.as_str(), eight.weight, eight.state),
        ("b", 2.0, ServerState::Draining)
    );
    assert_eq!(csv["box-7.example.org"].endpoint(), "127.0.0.1:9001");
}

#[test]
fn format_is_detected_by_extension_or_content() {
    assert_eq!(ListFormat::of("x", CSV), ListFormat::Csv);
    assert_eq!(ListFormat::of("x", YAML), ListFormat::Yaml);
    assert_eq!(ListFormat::of("x.yaml", CSV), ListFormat::Yaml);
    assert_eq!(
        ListFormat::of("hosts.inventory", "# all of them\n\nname,port\n"),
        ListFormat::Csv
    );
}

#[test]
fn ranges_expand_with_padding_step_and_order() {
    let names = |p: &str| expand(p, 100).expect(p);
    assert_eq!(names("box-[1:3]"), ["box-1", "box-2", "box-3"]);
    assert_eq!(
        names("box-[08:12:2].org"),
        ["box-08.org", "box-10.org", "box-12.org"]
    );
    assert_eq!(names("[a:b][1:2]"), ["a1", "a2", "b1", "b2"]);
    for bad in [
        "box-[1:",
        "box-[3:1]",
        "box-[1:2:0]",
        "box-[1]",
        "box-[a:3]",
        "box-[01:100]",
        "box-[1:101]",
        "x[1:50][1:50]",
    ] {
        assert!(expand(bad, 100).is_err(), "{bad}");
    }
    assert!(expand("box-[0:18446744073709551615]", 100).is_err());
}

#[test]
fn errors_name_file_and_line() {
    let fault = |file: &str, text: &str| parse(file, text).expect_err(text).to_string();
    let row = |row: &str| {
        fault(
            "h.csv",
            &format!("name,port,kind,weight,state\nok,1,reader,1,ready\n{row}\n"),
        )
    };
    assert_eq!(
        row("a,0,reader,1,ready"),
        "h.csv:3: host 'a': port '0' is not between 1 and 65535"
    );
    assert!(row("a,7,,1,ready").contains("h.csv:3: host 'a' has no kind"));
    assert!(row("a,7,reader,-1,ready").contains("h.csv:3: host 'a': weight '-1'"));
    assert!(row("a,7,reader,1,resting").contains("none of ready, draining, gone"));
    assert!(row("ok,7,reader,1,ready").contains("h.csv:3: host 'ok' is listed twice"));
    assert!(row("a,7,reader").contains("h.csv:3: this row has 3 fields, the header 5"));
    assert!(row("a b,7,reader,1,ready").contains("is no host name"));
    assert!(fault("h.csv", "port,kind\n1,reader\n")
        .starts_with("h.csv:1: the header row has no column"));
    assert!(fault("h.csv", "name,port,port\n").contains("names column 'port' twice"));
    assert!(fault("h.csv", "name,port,kind\n").contains("names no host"));
    assert!(fault("h.yml", "").contains("h.yml"));
    assert!(fault("h.yml", "all:\n  hosts:\n    a: [1\n").starts_with("h.yml:"));
    assert!(fault("h.yml", "all:\n  hots:\n    a: {}\n").contains("hots"));
    let deep = "all:\n  vars: {kind: reader}\n  hosts:\n    box-[1:3]: { ansible_port: none }\n";
    assert!(fault("h.yml", deep).starts_with("h.yml:4: host 'box-1': port 'none'"));
    assert!(fault("h.yml", "all:\n  hosts:\n    box-[1:99999]: {}\n")
        .starts_with("h.yml:3: host range"));
}

#[test]
fn list_is_applied_once_complete_and_stable() {
    let mut list = LastValidList::default();
    assert!(matches!(list.update("h.csv", CSV), UpdateOutcome::Applied(d) if d.added.len() == 2));
    let second = CSV.replace("9001", "9009") + "box-9,127.0.0.1,9003,reader,a,pos,1,ready,\n";
    // No truncated version of the new file is applied, valid or not, as none is read twice in a row.
    for cut in 1..second.len() {
        if second.is_char_boundary(cut) {
            assert_eq!(
                list.update("h.csv", &second[..cut]),
                UpdateOutcome::Unchanged,
                "cut at {cut}"
            );
        }
    }
    assert_eq!(list.servers().len(), 2);
    assert_eq!(
        list.update("h.csv", &second),
        UpdateOutcome::Unchanged,
        "read once"
    );
    let UpdateOutcome::Applied(change) = list.update("h.csv", &second) else {
        panic!("read twice in a row")
    };
    let want = Difference {
        added: vec!["box-9".into()],
        removed: vec![],
        changed: vec!["box-7.example.org".into()],
    };
    assert_eq!(change, want);
    assert_eq!(list.update("h.csv", "name\n"), UpdateOutcome::Unchanged);
    assert!(matches!(
        list.update("h.csv", "name\n"),
        UpdateOutcome::Invalid(_)
    ));
    assert_eq!(
        list.update("h.csv", "name\n"),
        UpdateOutcome::Unchanged,
        "reported once"
    );
    assert_eq!(
        list.servers().len(),
        3,
        "the last valid list stays in effect"
    );
    assert_eq!(
        list.update("h.csv", &second),
        UpdateOutcome::Unchanged,
        "the text in effect again"
    );
    list.update("h.csv", "name\n");
    assert!(
        matches!(list.update("h.csv", "name\n"), UpdateOutcome::Invalid(_)),
        "reported again after a valid text"
    );
}
