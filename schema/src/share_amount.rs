//! Shares of a replica's limit.

use crate::RequestRate;

/// What a daemon needs of a replica's limit, or is granted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ShareAmount {
    /// Requests that the sender would send the replica.
    Needed(RequestRate),
    /// The receiver's share of the limit, from 0 to 1.
    Granted(f64),
}
