//! Parts of a request: key ranges, one sub-query each.

use schema::{
    AttemptId,
    KeySpan,
    TimePoint,
    VmName, //
};
use smallvec::SmallVec;

use super::QueryReason;

/// State of a part.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum PartState {
    /// Will be sent as soon as a replica is picked.
    Unsent,
    /// Queued because every suitable replica is at its limit.
    Waiting,
    /// At least one attempt is in flight.
    Sent,
    /// Will be sent again when it is due.
    BackingOff,
    /// A reply is merged. Keys that the reply did not cover went to new parts.
    Merged,
    /// Failed; its keys are reported as missing.
    Failed,
}

/// A key range that one sub-query asks for.
#[derive(Clone, Debug)]
pub(super) struct SpanPart {
    /// The key range.
    pub(super) span: KeySpan,
    /// First key of the declared shard that contains the range.
    pub(super) shard_start: u32,
    /// Current state.
    pub(super) state: PartState,
    /// Attempts in flight.
    pub(super) attempts: SmallVec<[AttemptId; 2]>,
    /// Replicas that have received an attempt; cleared when all have.
    pub(super) tried: SmallVec<[VmName; 2]>,
    /// Failed attempts, and retries that the budget refused.
    pub(super) failures: u32,
    /// Attempts whose connection broke after the sub-query was sent.
    pub(super) broken_attempts: u32,
    /// Reason reported for its keys if they are missing.
    pub(super) reason: QueryReason,
    /// Time of its next hedge, retry or check.
    pub(super) due: TimePoint,
    /// Whether its next retry still has to spend a token of the budget.
    pub(super) needs_token: bool,
    /// Deadline under which it is queued for a replica, which orders the queue.
    pub(super) queue_deadline: TimePoint,
}

impl SpanPart {
    /// Creates a part that has not been sent.
    pub(super) fn new(span: KeySpan, shard_start: u32) -> Self {
        Self {
            span,
            shard_start,
            state: PartState::Unsent,
            attempts: SmallVec::new(),
            tried: SmallVec::new(),
            failures: 0,
            broken_attempts: 0,
            reason: QueryReason::Straggler,
            due: TimePoint::NEVER,
            needs_token: false,
            queue_deadline: TimePoint::NEVER,
        }
    }

    /// Reason reported for its keys in an answer given now; `pending_reason` while it is in flight.
    pub(super) fn missing_reason(&self, pending_reason: QueryReason) -> QueryReason {
        match self.state {
            PartState::Waiting => QueryReason::Overload,
            PartState::BackingOff | PartState::Failed => self.reason,
            PartState::Unsent | PartState::Sent | PartState::Merged => pending_reason,
        }
    }

    /// Whether it is neither merged nor failed.
    pub(super) fn is_pending(&self) -> bool {
        !matches!(self.state, PartState::Merged | PartState::Failed)
    }
}
