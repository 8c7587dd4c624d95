//! Events in the inbox of the forwarding loop.

use std::time::Duration;

use policy::{
    directory::FeedPage,
    forward::{
        ClaimOutcome,
        RelayOffer,
        ReplicaKey, //
    },
};
use schema::{
    peer::{
        BranchReply,
        SyncBody, //
    },
    AttemptId,
    ContactRecord,
    DaemonName,
    QueryId,
    QueryPrint, //
};
use tokio::sync::oneshot;

use super::{
    arrived_request::ArrivedRequest,
    replica_exchange::ExchangeOutcome,
    reply_budget::ReplyAccount,
    settings_watch::SettingsChange,
    store_reader::{
        ReadError,
        StoreBatch, //
    },
};
use crate::{
    daemon_error::DaemonError,
    peering::RelayFailure,
    status_body::StatusBody,
    upstream_link::{
        ConnectFailure,
        UpstreamLink, //
    },
};

/// The result of one read of the directory.
#[derive(Debug)]
pub(super) enum DirectoryUpdate {
    /// A read of the store ended.
    StoreRead {
        /// Label of the call in the metrics: `all` or `changes`.
        call: &'static str,
        /// The entries read, or why there are none.
        batch: Result<StoreBatch, ReadError>,
    },
    /// A call to another daemon that reads the store ended.
    PeerRead {
        /// The daemon that was asked.
        daemon: DaemonName,
        /// Its answer; `None` if it did not answer.
        page: Option<PeerPage>,
    },
}

/// The answer of a daemon that reads the directory for this one.
#[derive(Debug)]
pub(super) enum PeerPage {
    /// Changes, or the whole directory.
    Read(FeedPage),
    /// It is itself out of date.
    Stale,
    /// It has no bandwidth for an answer.
    Busy,
}

/// An event that the forwarding loop handles.
#[derive(Debug)]
pub(super) enum InboxEvent {
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
        /// The reply or the failure.
        outcome: Box<ExchangeOutcome>,
    },
    /// A health check of a replica ended; `None` if there was no complete reply. The reply may say for how long
    /// the replica is still cold.
    HealthChecked(ReplicaKey, Option<(UpstreamLink, Option<Duration>)>),
    /// A daemon that was asked how many requests it takes answered, or did not.
    OfferReceived(DaemonName, RelayOffer),
    /// The relay of a request ended.
    RelayEnded(AttemptId, Result<(BranchReply, ReplyAccount), RelayFailure>),
    /// A probe of a replica ended.
    Probed(ReplicaKey, Result<UpstreamLink, ConnectFailure>),
    /// An attempt to open a connection ahead of need ended; `None` if it failed.
    Preconnected(ReplicaKey, Option<UpstreamLink>),
    /// A read of the directory ended.
    Directory(DirectoryUpdate),
    /// The store has answered the claim of a trial, or could not be asked.
    TrialClaimed(QueryId, QueryPrint, ClaimOutcome),
    /// The store was told to keep the crashes under a request; whether it has them.
    CrashesKept(QueryPrint, Result<bool, ReadError>),
    /// The record of the fleet was sent to the store; whether the store has taken it.
    FleetWritten(Result<bool, ReadError>),
    /// A membership sync with a peer ended; `None` if the peer did not answer.
    SyncAnswered(Option<SyncBody>),
    /// An operator asked for the status.
    StatusRequested(oneshot::Sender<StatusBody>),
    /// A stop was requested; a second request stops the daemon at once.
    StopAsked,
    /// The settings file has changed.
    SettingsChanged(SettingsChange),
    /// The settings file has changed and can't be used.
    SettingsUnusable(DaemonError),
    /// A read of the record of contacts ended: the record and its revision.
    ContactsRead(Result<(ContactRecord, u64), ReadError>),
    /// This record of contacts was sent to the store; whether the store has taken it.
    ContactsWritten(ContactRecord, Result<bool, ReadError>),
    /// The caller port is closed and all its connections have ended.
    CallerPortClosed,
}
