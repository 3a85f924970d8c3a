use super::*;

#[test]
fn each_error_has_advice_of_its_own() {
    let io = || io::Error::from(io::ErrorKind::PermissionDenied);
    let json = || serde_json::from_str::<u8>("x").expect_err("not a number");
    let (path, address) = (
        PathBuf::from("f"),
        SocketAddrV4::new([127, 0, 0, 1].into(), 1),
    );
    let faults = || {
        SeedErrors(vec![
            (address, SeedError::Malformed),
            (address, SeedError::InvalidTag),
        ])
    };
    let peer = SocketAddr::V4(address);
    let all = [
        ClusterNetError::Secret {
            path: path.clone(),
            error: io::ErrorKind::NotFound.into(),
        },
        ClusterNetError::Secret {
            path: path.clone(),
            error: io(),
        },
        ClusterNetError::SecretSize {
            path: path.clone(),
            bytes: 1,
            min: 16,
            max: 4096,
        },
        ClusterNetError::Roster(RosterError::Size(0)),
        ClusterNetError::NoOwnAddress,
        ClusterNetError::Bind {
            kind: EndpointKind::Datagrams,
            address,
            error: io(),
        },
        ClusterNetError::StartNumberFile {
            path: path.clone(),
            error: io(),
        },
        ClusterNetError::InvalidStartNumber { path },
        ClusterNetError::Random(getrandom::Error::UNSUPPORTED),
        ClusterNetError::Thread(io()),
        ClusterNetError::Seeds(faults()),
        ClusterNetError::StoredRoster {
            seeds: faults(),
            stored: SeedError::OtherCluster("x".into()),
        },
        ClusterNetError::Unreachable { peer, error: io() },
        ClusterNetError::InvalidStatus {
            peer,
            error: json(),
        },
    ];
    let advice: std::collections::BTreeSet<&str> =
        all.iter().map(ClusterNetError::advice).collect();
    assert_eq!(advice.len(), all.len());
    assert!(all
        .iter()
        .all(|e| e.with_advice().ends_with(e.advice())
            && e.with_advice().len() > e.advice().len() + 2));
    assert!(faults()
        .to_string()
        .contains("; 127.0.0.1:1: the authentication tag"));
}
