//! What the forwarding loop is told.

use std::time::Duration;

use bytes::Bytes;
use http::{
    request,
    HeaderMap,
    StatusCode, //
};
use policy::{
    directory::FeedPage,
    forward::ReplicaKey, //
};
use schema::{
    peer::SyncBody,
    AttemptId,
    DaemonName,
    QueryId, //
};
use tokio::sync::oneshot;

use super::{
    replica_exchange::ExchangeEnd,
    store_reader::{
        ReadError,
        StoreReading, //
    },
};
use crate::upstream_link::UpstreamLink;

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

/// An answer on its way to the caller.
#[derive(Clone, Debug, Default)]
pub(super) struct CallerReply {
    /// HTTP status.
    pub(super) status: StatusCode,
    /// End-to-end headers.
    pub(super) headers: HeaderMap,
    /// The body.
    pub(super) body: Bytes,
}

/// What a reading of the directory brought.
#[derive(Debug)]
pub(super) enum DirectoryNews {
    /// The store answered, or did not.
    StoreRead {
        /// What was asked for.
        call: &'static str,
        /// What came of it.
        reading: Result<StoreReading, ReadError>,
    },
    /// A reader answered, or did not or is stale.
    ReaderTold {
        /// The reader.
        daemon: DaemonName,
        /// Its news.
        page: Option<FeedPage>,
    },
}

/// An event for the forwarding loop.
#[derive(Debug)]
pub(super) enum DeskEvent {
    /// A caller sent a request.
    Arrived(Box<ArrivedRequest>),
    /// A caller closed its connection before it had its answer.
    CallerGone(QueryId),
    /// An exchange with a replica is over.
    ExchangeEnded {
        /// The attempt.
        attempt: AttemptId,
        /// The replica.
        replica: ReplicaKey,
        /// What came of it.
        end: Box<ExchangeEnd>,
    },
    /// A connection was opened before it is needed, or could not be.
    Warmed(ReplicaKey, Option<UpstreamLink>),
    /// News of the directory.
    Directory(DirectoryNews),
    /// A peer told all that it knows, or did not answer.
    SyncAnswered(Option<SyncBody>),
    /// The daemon shall stop; a second time, at once.
    StopAsked,
    /// The settings file has changed.
    SettingsChanged,
    /// The callers' port is closed.
    FrontClosed,
}
