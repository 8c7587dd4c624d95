//! The input and the decision of the admission controller.

use std::time::Duration;

use schema::{
    GroupName,
    QueryId,
    TimePoint,
    UserName, //
};

use crate::engine::QueryReason;

/// A request that is to be admitted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdmissionRequest {
    /// Identifies the request in this daemon.
    pub query: QueryId,
    /// End user that the request is for; the queue is fair between end users.
    pub user: UserName,
    /// Service group that is asked; each has its own limit and queue.
    pub group: GroupName,
    /// When the answer must have been sent.
    pub deadline: TimePoint,
    /// Time that the request is expected to run, waiting not included.
    pub expected_time: Duration,
}

/// What happens to a request on arrival.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionDecision {
    /// Run the request now.
    Run,
    /// Queue the request: a later `release` names it as ready or as refused.
    Wait,
    /// Answer at once that the request did not run.
    Refuse {
        /// Cause of the refusal, for the answer.
        reason: QueryReason,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}
