//! Outcomes of claiming an idempotency key.

use super::QueryAnswer;

/// The result of claiming an idempotency key.
#[derive(Clone, Debug)]
pub enum ClaimVerdict {
    /// The request holds the claim and may run once.
    Granted,
    /// The key was used before and its outcome is recorded.
    Recorded(Box<QueryAnswer>),
    /// The key is claimed but no outcome is recorded: the earlier request may have run.
    Taken,
    /// The store can't be reached; nothing has run under this claim.
    StoreDown,
    /// The key is older than the window in which the store keeps keys.
    TooOld,
}
