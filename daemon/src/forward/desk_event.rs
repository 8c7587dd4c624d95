//! What the forwarding loop is told.

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

use super::{
    arrived_request::ArrivedRequest,
    replica_exchange::ExchangeEnd,
    store_reader::{
        ReadError,
        StoreReading, //
    },
};
use crate::upstream_link::UpstreamLink;

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
