//! The reply that a caller gets.

use bytes::Bytes;
use http::{
    HeaderMap,
    StatusCode, //
};
use policy::forward::RelayRefusal;
use schema::peer::ShardStamp;

/// What a reply means to a daemon that has relayed the request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum ReplyVerdict {
    /// It is the answer for the caller.
    #[default]
    Answered,
    /// The same, and no replica ran the request.
    NotRun,
    /// This daemon has not taken the request.
    Declined(RelayRefusal),
}

/// A reply that the caller port writes to the caller.
#[derive(Clone, Debug, Default)]
pub(super) struct CallerReply {
    /// HTTP status code.
    pub(super) status: StatusCode,
    /// End-to-end headers; the HTTP library adds those of the connection.
    pub(super) headers: HeaderMap,
    /// The complete body.
    pub(super) body: Bytes,
    /// What it means to a daemon that has relayed the request.
    pub(super) verdict: ReplyVerdict,
    /// Replicas that leave, for a daemon that has relayed the request.
    pub(super) leaving: Vec<u64>,
    /// Shards that replied, for a daemon that has handed over some.
    pub(super) stamps: Vec<ShardStamp>,
}
