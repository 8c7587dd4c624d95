//! Shards of one gather at a delegate.

use schema::{
    AttemptId,
    TimePoint, //
};

/// A part of a gather that a delegate has.
#[derive(Clone, Debug)]
pub(in super::super) struct GatherBranch {
    /// The relay.
    pub(in super::super) attempt: AttemptId,
    /// Positions of its shards among the parts of the request.
    pub(super) parts: Vec<u32>,
    /// When the delegate was asked for a sign of life.
    pub(super) asked_at: Option<TimePoint>,
    /// When the delegate counts as silent, unless it has given a sign of life.
    pub(in super::super) silent_at: TimePoint,
}
