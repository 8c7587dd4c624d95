//! Requests on their way to the loop.

use std::time::Duration;

use bytes::Bytes;
use http::request;
use schema::QueryId;
use tokio::sync::oneshot;

use super::caller_reply::CallerReply;

/// A caller's request on its way to the loop.
#[derive(Debug)]
pub(super) struct ArrivedRequest {
    /// Number of the request.
    pub(super) query: QueryId,
    /// Its head.
    pub(super) head: request::Parts,
    /// Its body.
    pub(super) body: Bytes,
    /// Time since its head was read.
    pub(super) age: Duration,
    /// Where the answer goes.
    pub(super) answer: oneshot::Sender<CallerReply>,
}
