//! A request that the caller port has read and passes to the forwarding loop.

use std::time::Duration;

use bytes::Bytes;
use http::request;
use policy::forward::RelayTerms;
use schema::{
    BundleVersion,
    DaemonName,
    QueryId, //
};
use tokio::sync::oneshot;

use super::caller_reply::CallerReply;

/// The daemon that has relayed a request.
#[derive(Debug)]
pub(super) struct RelaySource {
    /// Its name.
    pub(super) daemon: DaemonName,
    /// Version of the route table by which it handles the request.
    pub(super) table: BundleVersion,
    /// Its terms.
    pub(super) terms: RelayTerms,
}

/// A caller's request, fully read and not yet seen by the forwarding loop.
#[derive(Debug)]
pub(super) struct ArrivedRequest {
    /// Number of the request, unique within this process.
    pub(super) query: QueryId,
    /// Method, path and headers as the caller sent them.
    pub(super) head: request::Parts,
    /// The complete body.
    pub(super) body: Bytes,
    /// Time between the end of the head and the end of the body.
    pub(super) read_time: Duration,
    /// The daemon that has relayed the request, if one has.
    pub(super) relayed: Option<RelaySource>,
    /// Positions of the shards that this daemon wants; empty for all of the route.
    pub(super) shards: Vec<u32>,
    /// Sends the reply back to the handler that holds the connection.
    pub(super) reply_sender: oneshot::Sender<CallerReply>,
}
