//! Size of a majority quorum.

/// Smallest number of replicas that is more than half of `replicas`.
pub fn majority(replicas: usize) -> usize {
    replicas / 2 + 1
}
