//! Answers to daemons that read the directory from this one.

use schema::TimePoint;

use super::FeedPage;

/// The answer to a daemon that asks this one for changes of the directory.
#[derive(Clone, Debug, PartialEq)]
pub enum FeedAnswer {
    /// The changes, or the whole directory.
    Page(FeedPage),
    /// There is no change yet: keep the call open and answer at this time at the latest.
    Wait(TimePoint),
    /// This daemon has not read the store recently enough to answer.
    Stale,
}
