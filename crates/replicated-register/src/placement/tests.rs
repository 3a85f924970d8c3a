use super::*;

#[test]
fn replicas_are_spread_evenly_and_few_move_with_the_roster() {
    let six_members: BTreeSet<NameKey> = (1..=6).map(NameKey).collect();
    let seven_members: BTreeSet<NameKey> = (1..=7).map(NameKey).collect();
    let (mut registers_per_member, mut moved) = (std::collections::BTreeMap::new(), 0);
    for i in 0..6000u128 {
        let key = RegisterKey(i.to_le_bytes());
        let (before, after) = (
            replicas(&six_members, 3, key),
            replicas(&seven_members, 3, key),
        );
        assert!(before.len() == 3 && before.iter().collect::<BTreeSet<_>>().len() == 3);
        before
            .iter()
            .for_each(|name| *registers_per_member.entry(*name).or_insert(0) += 1);
        moved += after.iter().filter(|name| !before.contains(name)).count();
    }
    assert!(
        registers_per_member
            .values()
            .all(|n| (2800..=3200).contains(n)),
        "{registers_per_member:?}"
    );
    assert!((2350..=2800).contains(&moved), "{moved}");
    assert_eq!(replicas(&six_members, 9, RegisterKey([0; 16])).len(), 6);
}
