//! One member's part: copies that it holds, and calls that it makes.

use std::collections::BTreeSet;
use std::time::Duration;

use bitternlatch_agreement::Process;
use bitternlatch_membership::NameKey;

use crate::{Input, Output, RegisterKey, Settings, Version};

pub struct Replica {
    roster: BTreeSet<NameKey>,
    settings: Settings,
}

impl Replica {
    pub fn new(
        _own: Process,
        roster: BTreeSet<NameKey>,
        settings: Settings,
        _seed: u64,
        _now: Duration,
    ) -> Replica {
        Replica { roster, settings }
    }

    /// When it wants [`Input::Wake`], at the latest.
    pub fn wake_at(&self) -> Option<Duration> {
        None
    }

    /// Takes one input at a clock time and appends what is to be done, in order.
    pub fn step(&mut self, _now: Duration, _input: Input, _out: &mut Vec<Output>) {}

    /// Keys held here with their latest accepted value, which may not be the latest of all.
    pub fn held(&self) -> impl Iterator<Item = (&RegisterKey, Version, &[u8])> {
        std::iter::empty()
    }

    /// Who holds copies of a key: rendezvous hashing over the roster.
    pub fn copies(&self, key: RegisterKey) -> Vec<NameKey> {
        crate::placement::copies(&self.roster, self.settings.copies, key)
    }
}
