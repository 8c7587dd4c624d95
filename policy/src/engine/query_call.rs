//! Requests of callers.

use bytes::Bytes;
use schema::{
    CoverageShare,
    GroupName,
    IdempotencyKey,
    RequestId,
    TimePoint,
    UserName, //
};

/// A request as it arrived.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueryCall {
    /// Service group that it is for.
    pub group: GroupName,
    /// Identifier chosen by the caller.
    pub request: RequestId,
    /// End user that is charged.
    pub user: UserName,
    /// Time by which the answer must be sent.
    pub deadline: TimePoint,
    /// Minimum coverage that the caller accepts; `None` selects the default of the group.
    pub min_coverage: Option<CoverageShare>,
    /// Idempotency key of a request that may run only once.
    pub once_key: Option<IdempotencyKey>,
    /// The query, as UTF-8 text.
    pub body: Bytes,
}
