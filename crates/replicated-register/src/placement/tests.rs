use super::*;

#[test]
fn replicas_are_spread_evenly_and_few_move_with_the_roster() {
    let short: BTreeSet<NameKey> = (1..=6).map(NameKey).collect();
    let long: BTreeSet<NameKey> = (1..=7).map(NameKey).collect();
    let (mut held, mut moved) = (std::collections::BTreeMap::new(), 0);
    for i in 0..6000u128 {
        let key = RegisterKey(i.to_le_bytes());
        let (few, many) = (replicas(&short, 3, key), replicas(&long, 3, key));
        assert!(few.len() == 3 && few.iter().collect::<BTreeSet<_>>().len() == 3);
        few.iter()
            .for_each(|name| *held.entry(*name).or_insert(0) += 1);
        moved += many.iter().filter(|name| !few.contains(name)).count();
    }
    assert!(held.values().all(|n| (2800..=3200).contains(n)), "{held:?}");
    assert!((2350..=2800).contains(&moved), "{moved}");
    assert_eq!(replicas(&short, 9, RegisterKey([0; 16])).len(), 6);
}
