use std::net::SocketAddrV4;

use super::*;

fn cluster() -> Cluster {
    let peer = |n: u16| Peer {
        name: format!("d{n}"),
        address: SocketAddrV4::new([127, 0, 0, 1].into(), 7000 + n),
        client_address: Some(format!("c{n}")),
    };
    let roster = vec![peer(1), peer(2)];
    let (name, secret) = ("hall".to_string(), String::new());
    Cluster {
        name,
        secret,
        roster,
        ..Cluster::default()
    }
}

#[test]
fn an_answer_is_accepted_only_for_the_same_nonce_secret_and_cluster() {
    let (cluster, secret) = (cluster(), Secret::new("hall", b"s"));
    let nonce = "0".repeat(2 * NONCE_BYTES);
    let sent = answer(&cluster, &secret, &format!("roster 1 d2 {nonce}")).expect("an answer");
    assert_eq!(
        verify_answer("hall", &secret, &nonce, &sent).ok(),
        Some(cluster.roster.clone())
    );
    let fails = |secret: &Secret, name: &str, nonce: &str, sent: &str| {
        verify_answer(name, secret, nonce, sent).is_err()
    };
    assert!(
        fails(&secret, "hall", &"1".repeat(2 * NONCE_BYTES), &sent),
        "a replayed answer"
    );
    assert!(
        fails(&Secret::new("hall", b"t"), "hall", &nonce, &sent),
        "another secret"
    );
    assert!(fails(&secret, "yard", &nonce, &sent), "another cluster's");
    assert!(
        fails(&secret, "hall", &nonce, &sent.replace("7001", "7009")),
        "changed in transit"
    );
    assert!(fails(&secret, "hall", &nonce, ""));
    for request in [
        "members 1",
        "roster 1 d2",
        "roster 2 d2 00",
        "roster 1 d2 00",
        "",
    ] {
        assert_eq!(answer(&cluster, &secret, request), None, "{request}");
    }
}
