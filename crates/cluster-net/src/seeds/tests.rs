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
fn an_answer_is_taken_for_its_own_question_secret_and_cluster_alone() {
    let (cluster, secret) = (cluster(), Secret::new("hall", b"s"));
    let nonce = "0".repeat(2 * NONCE);
    let told = answer(&cluster, &secret, &format!("roster 1 d2 {nonce}")).expect("an answer");
    assert_eq!(
        read("hall", &secret, &nonce, &told).ok(),
        Some(cluster.roster.clone())
    );
    let fails = |secret: &Secret, name: &str, nonce: &str, told: &str| {
        read(name, secret, nonce, told).is_err()
    };
    assert!(
        fails(&secret, "hall", &"1".repeat(2 * NONCE), &told),
        "an old answer"
    );
    assert!(
        fails(&Secret::new("hall", b"t"), "hall", &nonce, &told),
        "a stranger's"
    );
    assert!(fails(&secret, "yard", &nonce, &told), "another cluster's");
    assert!(
        fails(&secret, "hall", &nonce, &told.replace("7001", "7009")),
        "changed on the way"
    );
    assert!(fails(&secret, "hall", &nonce, ""));
    for question in [
        "members 1",
        "roster 1 d2",
        "roster 2 d2 00",
        "roster 1 d2 00",
        "",
    ] {
        assert_eq!(answer(&cluster, &secret, question), None, "{question}");
    }
}
