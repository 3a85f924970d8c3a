//! Decides when files that change while the process runs are reloaded, from a hash of their contents at each poll.

/// What to do after a poll of the files.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReloadAction {
    /// Nothing: the contents are those in effect, or were rejected before.
    Keep,
    /// Poll again: the contents changed since the last poll and may still be written.
    Wait,
    /// Load the contents: they were the same at two polls and have not been tried yet.
    Load,
}

/// Tracks a set of files that belong together, such as a certificate and its key, by one hash of all their contents. A
/// set of which only a part has been replaced does not match and is rejected as a whole.
#[derive(Clone, Debug)]
pub struct ReloadTracker {
    /// Hash of the contents in effect.
    in_effect: u64,
    /// Hash at the last poll.
    last_seen: u64,
    /// Hash of contents that could not be loaded.
    rejected: Option<u64>,
}

impl ReloadTracker {
    /// Creates a tracker for files whose current contents, with hash `in_effect`, are loaded.
    pub fn new(in_effect: u64) -> ReloadTracker {
        ReloadTracker {
            in_effect,
            last_seen: in_effect,
            rejected: None,
        }
    }

    /// Records the hash found by a poll and returns what to do.
    pub fn observe(&mut self, hash: u64) -> ReloadAction {
        let settled = std::mem::replace(&mut self.last_seen, hash) == hash;
        if hash == self.in_effect {
            self.rejected = None;
            ReloadAction::Keep
        } else if self.rejected == Some(hash) {
            ReloadAction::Keep
        } else if settled {
            ReloadAction::Load
        } else {
            ReloadAction::Wait
        }
    }

    /// Reports that the contents of the last poll were loaded and are in effect.
    pub fn accepted(&mut self) {
        (self.in_effect, self.rejected) = (self.last_seen, None);
    }

    /// Reports that the contents of the last poll could not be loaded; they are not tried again until they change.
    pub fn rejected(&mut self) {
        self.rejected = Some(self.last_seen);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn contents_are_loaded_after_two_equal_polls_and_rejected_ones_only_once() {
        let mut reload = ReloadTracker::new(1);
        assert_eq!(reload.observe(1), ReloadAction::Keep);
        assert_eq!(
            [reload.observe(2), reload.observe(3), reload.observe(3)],
            [ReloadAction::Wait, ReloadAction::Wait, ReloadAction::Load]
        );
        reload.rejected();
        assert_eq!(
            [reload.observe(3), reload.observe(4), reload.observe(4)],
            [ReloadAction::Keep, ReloadAction::Wait, ReloadAction::Load]
        );
        reload.accepted();
        assert_eq!(
            [reload.observe(4), reload.observe(3), reload.observe(3)],
            [ReloadAction::Keep, ReloadAction::Wait, ReloadAction::Load]
        );
        // After the contents in effect have returned, contents that were rejected before may be tried again.
        reload.rejected();
        assert_eq!(
            [reload.observe(4), reload.observe(3), reload.observe(3)],
            [ReloadAction::Keep, ReloadAction::Wait, ReloadAction::Load]
        );
    }
}
