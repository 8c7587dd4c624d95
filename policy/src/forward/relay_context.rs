//! Requests that other daemons have.

use schema::{
    DaemonName,
    QueryId,
    TimePoint, //
};

/// A request at another daemon.
#[derive(Clone, Debug)]
pub(super) struct RelayContext {
    pub(super) query: QueryId,
    pub(super) helper: DaemonName,
    pub(super) sent_at: TimePoint,
    /// Replicas of one service on which the helper may run it.
    pub(super) granted: u32,
    /// Whether this daemon could serve the request itself.
    pub(super) delegated: bool,
}
