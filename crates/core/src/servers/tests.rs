use super::*;
use bitternlatch_inventory::parse;

fn list(text: &str) -> Vec<ModelServer> {
    parse("hosts.csv", text)
        .expect("a good list")
        .into_values()
        .collect()
}

#[test]
fn list_change_contains_links_to_open_and_close() {
    let settings = crate::settings::tests::minimal_settings();
    let mut servers = ServerTable::new("z");
    let first = servers.apply_list(
        list("name,port,kind,address\na,1,reader,127.0.0.1\nb,2,writer,127.0.0.1\nc,3,odd,127.0.0.1\n"),
        &settings,
    );
    assert_eq!(
        (
            first.entries.len(),
            first.connect.len(),
            first.disconnect.len()
        ),
        (2, 2, 0)
    );
    assert!(first.skipped[0].contains("'odd'"));
    let second = servers.apply_list(
        list(
            "name,port,kind,address,state\na,9,reader,127.0.0.1,ready\nb,2,writer,127.0.0.1,draining\n",
        ),
        &settings,
    );
    let (a, b) = (
        bitternlatch_inventory::server_id("a"),
        bitternlatch_inventory::server_id("b"),
    );
    assert_eq!(
        (second.connect, second.disconnect, second.closed),
        (vec![a], vec![a], vec![b])
    );
    let third = servers.apply_list(
        list("name,port,kind,address\na,9,reader,127.0.0.1\n"),
        &settings,
    );
    assert_eq!((third.disconnect, third.closed), (vec![b], vec![b]));
}

#[test]
fn recently_started_server_warms_up_and_restart_is_detected() {
    let settings = crate::settings::tests::minimal_settings();
    let mut servers = ServerTable::new("z");
    servers.apply_list(list("name,port,kind\na,1,reader\n"), &settings);
    let a = bitternlatch_inventory::server_id("a");
    let at = |s: u64| Micros(s * 1_000_000);
    let (entry, restarted) = servers
        .apply_hello(at(100), a, 500.0, EngineState::Ready, 14.0)
        .expect("known");
    assert_eq!((entry.booted_at, restarted), (0.0, false));
    let (entry, restarted) = servers
        .apply_hello(at(200), a, 2.0, EngineState::Ready, 14.0)
        .expect("known");
    assert_eq!((entry.booted_at, restarted), (198.0, true));
    let (_, restarted) = servers
        .apply_hello(at(203), a, 5.1, EngineState::Ready, 14.0)
        .expect("known");
    assert!(!restarted, "another hello message from the same boot");
}
