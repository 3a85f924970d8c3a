//! What can be wrong, and what an operator can do.

/// Errors of overload control.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum OverloadError {
    #[error("not a message about overload")]
    Unreadable,
    #[error("a message about overload in another version")]
    OtherVersion,
    #[error("a member's figures are ten times those of its peers and more; they are bounded")]
    Nonsense,
    #[error("a rate in [cluster.overload] is no number above 0")]
    Rate,
    #[error("wait_share in [cluster.overload] is not between 0.02 and 1")]
    WaitShare,
}

impl OverloadError {
    pub const ALL: [OverloadError; 5] = [
        OverloadError::Unreadable,
        OverloadError::OtherVersion,
        OverloadError::Nonsense,
        OverloadError::Rate,
        OverloadError::WaitShare,
    ];

    /// What an operator can do.
    pub fn advice(&self) -> &'static str {
        match self {
            OverloadError::Unreadable => {
                "look for another program under the cluster's secret; what it says is dropped"
            }
            OverloadError::OtherVersion => {
                "bring all dispatchers to one version; until then each counts the others it can read"
            }
            OverloadError::Nonsense => {
                "look at that dispatcher's host and clock and at who calls it; start it again if its figures stay"
            }
            OverloadError::Rate => "give the tokens that one host of weight 1 reads or writes in a second",
            OverloadError::WaitShare => "leave wait_share out, or give the share of an aim that may be waited",
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_error_says_something_of_its_own_to_do() {
        let advice: std::collections::BTreeSet<_> =
            OverloadError::ALL.iter().map(|e| e.advice()).collect();
        assert_eq!(advice.len(), OverloadError::ALL.len());
        assert!(OverloadError::ALL.iter().all(|e| !e.to_string().is_empty()));
    }
}
