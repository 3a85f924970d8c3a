//! When files that changed in service are taken: a pure state machine over looks at them.

/// What to do after a look.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Look {
    /// As in force, or as refused before.
    Nothing,
    /// Changed since the last look: somebody may still be writing.
    Wait,
    /// Alike twice and not tried yet.
    Try,
}

/// Tells when a set of files has settled. Each look is given a hash of all their bytes, so that several files that belong
/// together (a certificate and its key) count as one: half of a change is a set that does not fit, and is refused whole.
#[derive(Clone, Debug)]
pub struct Reload {
    in_force: u64,
    seen: u64,
    refused: Option<u64>,
}

impl Reload {
    /// With the set that is in force.
    pub fn new(in_force: u64) -> Reload {
        Reload {
            in_force,
            seen: in_force,
            refused: None,
        }
    }

    /// After a look.
    pub fn look(&mut self, hash: u64) -> Look {
        let settled = std::mem::replace(&mut self.seen, hash) == hash;
        if hash == self.in_force {
            self.refused = None;
            Look::Nothing
        } else if self.refused == Some(hash) {
            Look::Nothing
        } else if settled {
            Look::Try
        } else {
            Look::Wait
        }
    }

    /// What was tried counts now.
    pub fn taken(&mut self) {
        (self.in_force, self.refused) = (self.seen, None);
    }

    /// What was tried does not count; it is not tried again until it changes.
    pub fn refused(&mut self) {
        self.refused = Some(self.seen);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_set_counts_when_seen_alike_twice_and_a_bad_one_is_tried_once() {
        let mut reload = Reload::new(1);
        assert_eq!(reload.look(1), Look::Nothing);
        assert_eq!(
            [reload.look(2), reload.look(3), reload.look(3)],
            [Look::Wait, Look::Wait, Look::Try]
        );
        reload.refused();
        assert_eq!(
            [reload.look(3), reload.look(4), reload.look(4)],
            [Look::Nothing, Look::Wait, Look::Try]
        );
        reload.taken();
        assert_eq!(
            [reload.look(4), reload.look(3), reload.look(3)],
            [Look::Nothing, Look::Wait, Look::Try]
        );
        // Back to what is in force: what was refused before may be tried again later.
        reload.refused();
        assert_eq!(
            [reload.look(4), reload.look(3), reload.look(3)],
            [Look::Nothing, Look::Wait, Look::Try]
        );
    }
}
