//! Size of a majority.

/// Smallest number of so many replicas that is more than half of them.
pub fn majority(replicas: usize) -> usize {
    replicas / 2 + 1
}
