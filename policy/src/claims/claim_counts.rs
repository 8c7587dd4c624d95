//! Counters of claims.

/// How claims have ended since the daemon started.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ClaimCounts {
    /// Claims granted to this daemon.
    pub granted: u64,
    /// Claims answered with the recorded outcome of an earlier request.
    pub recorded: u64,
    /// Claims refused because another request holds the key and has no outcome yet.
    pub taken: u64,
    /// Claims refused because the store did not answer or too many claims were open.
    pub store_down: u64,
    /// Claims refused because the key is outside its window.
    pub too_old: u64,
    /// Claims released in the store.
    pub released: u64,
    /// Lost store replies whose result was found by reading the key back.
    pub read_back: u64,
    /// Claims that could not be released or recorded: a later request with the same key is answered
    /// `unknown`.
    pub dropped: u64,
}
