use bitternlatch_membership::simulated::{address, ms, name, roster};
use bitternlatch_membership::{Roster, Secret};

use super::*;

#[test]
fn dense_datagrams_do_not_delay_due_work() {
    let all = Roster::new(&name(0), &roster(1)).expect("a valid roster");
    let member = Membership::new(&name(0), 1, all, Secret::new("hall", b"secret"), 1, ms(0));
    let mut member = ClusterMember::new(member, 1, ms(0));
    // Guards against a quota member that is woken by its timer only: a stream of invalid datagrams, of which each comes
    // before the timer is served, would keep it from ever campaigning.
    for at in 0..500 {
        member.handle_datagram(ms(10 * at), address(1), b"invalid", &mut Vec::new());
    }
    assert!(
        (member.quota().lease().leased - 0.9).abs() < 1e-9,
        "the only member must elect itself and get a lease: {:?}",
        member.quota().lease()
    );
}
