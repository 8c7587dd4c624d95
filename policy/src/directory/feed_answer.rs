//! Answers to daemons that ask for news of the directory.

use schema::TimePoint;

use super::FeedPage;

/// What a daemon is told that asks this one.
#[derive(Clone, Debug, PartialEq)]
pub enum FeedAnswer {
    /// The news.
    Page(FeedPage),
    /// Nothing new before this time.
    Wait(TimePoint),
    /// This daemon does not know what is new.
    Stale,
}
