use bitternlatch_membership::simulated::{address, ms, name, roster};
use bitternlatch_membership::{Roster, Secret};

use super::*;

#[test]
fn dense_datagrams_do_not_delay_due_work() {
    let all = Roster::new(&name(0), &roster(1)).expect("a roster");
    let member = Membership::new(&name(0), 1, all, Secret::new("hall", b"secret"), 1, ms(0));
    let mut whole = ClusterMember::new(member, 1, ms(0));
    // Noise, and never a moment in which nothing is heard.
    for at in 0..500 {
        whole.handle_datagram(ms(10 * at), address(1), b"noise", &mut Vec::new());
    }
    assert!(
        (whole.quota().lease().leased - 0.9).abs() < 1e-9,
        "its own leader: {:?}",
        whole.quota().lease()
    );
}
