//! What a reply says about the limit of its replica.

use compact_str::CompactString;
use schema::RequestRate;

/// What a reply says about the requests that its replica takes.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum LimitStatement {
    /// The replica names no limit.
    #[default]
    Unlimited,
    /// Requests a second that the replica takes from all daemons together.
    Limited(RequestRate),
    /// A value that is no rate, shortened. It changes nothing.
    Unreadable(CompactString),
}
