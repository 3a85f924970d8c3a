//! Configuration of the SWIM failure detector: probe, suspicion and gossip intervals.

use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

use foca::{Config, PeriodicParams};

use crate::datagram_auth::MAX_PAYLOAD;

/// Time between two direct probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Time to wait for the acknowledgement of a direct probe before indirect probes are sent.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);
/// Number of members that are asked to probe a member that did not acknowledge a direct probe.
const INDIRECT_PROBES: usize = 3;
/// Time that a suspected member has to refute the suspicion before it is declared down.
const SUSPECT_TO_DOWN: Duration = Duration::from_millis(900);
/// Time between two rounds of gossip while there are membership updates to send.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(50);
/// Number of random members that each round of gossip is sent to.
const GOSSIP_MEMBERS: usize = 3;
/// Maximum number of times that this member transmits the same membership update.
const MAX_TRANSMISSIONS: u8 = 10;
/// Time between two announcements of this member to a random member.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(10);
/// Time between two attempts to contact members that are down, so that the sides of a healed partition merge.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(1000);
/// Number of members that are down to contact at each [`RECONNECT_INTERVAL`].
const RECONNECT_MEMBERS: usize = 2;
/// Time after which the record of a member that is down is removed from the failure detector.
const FORGET_DOWN_AFTER: Duration = Duration::from_secs(3600);

pub(crate) fn detector_config() -> Config {
    let count = |n: usize| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
    let periodic = |frequency: Duration, members: usize| {
        Some(PeriodicParams {
            frequency,
            num_members: count(members),
        })
    };
    Config {
        probe_period: PROBE_INTERVAL,
        probe_rtt: PROBE_TIMEOUT,
        num_indirect_probes: count(INDIRECT_PROBES),
        max_transmissions: NonZeroU8::new(MAX_TRANSMISSIONS).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: SUSPECT_TO_DOWN,
        remove_down_after: Some(FORGET_DOWN_AFTER),
        max_packet_size: count(MAX_PAYLOAD),
        notify_down_members: true,
        periodic_announce: periodic(ANNOUNCE_INTERVAL, 1),
        periodic_announce_to_down_members: periodic(RECONNECT_INTERVAL, RECONNECT_MEMBERS),
        periodic_gossip: periodic(GOSSIP_INTERVAL, GOSSIP_MEMBERS),
    }
}
