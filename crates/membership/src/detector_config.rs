//! Intervals and bounds of the failure detector.

use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

use foca::{Config, PeriodicParams};

use crate::datagram_auth::MAX_PAYLOAD;

/// Time between two probes, and within it until others are asked to probe too.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);
const INDIRECT_PROBES: usize = 3;
/// Time that a suspect has to refute the suspicion.
const SUSPECT_TO_DOWN: Duration = Duration::from_millis(900);
/// How often gossip goes out while there is any, and to how many members.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(50);
const GOSSIP_MEMBERS: usize = 3;
/// How often a gossip message is repeated at most.
const MAX_TRANSMISSIONS: u8 = 10;
/// How often this member announces itself to a random member.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(10);
/// How often members that are down are contacted, and how many, so that two sides of a partition find each other again.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(1000);
const RECONNECT_MEMBERS: usize = 2;
/// How long a member that is down is remembered as such.
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
