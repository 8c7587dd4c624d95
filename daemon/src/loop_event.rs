//! What the loop is told.

use std::sync::Arc;

use policy::{
    engine::{
        QueryAnswer,
        QueryCall, //
    },
    store::StoreReply, //
};
use schema::{
    bundle::SignedBundle,
    peer::{
        CopyReply,
        SyncBody, //
    },
    platform::VmList,
    AttemptId,
    DaemonName,
    DeploymentSpec,
    QueryId,
    VmName, //
};
use tokio::sync::oneshot;

use crate::{
    exchange::ExchangeOutcome,
    status_body::StatusBody,
    trace_context::TraceContext,
    upstream_link::UpstreamLink, //
};

/// A caller's request on its way to the loop.
#[derive(Debug)]
pub(crate) struct ArrivedCall {
    /// Number of the request.
    pub(crate) query: QueryId,
    /// The request.
    pub(crate) call: QueryCall,
    /// The caller's span.
    pub(crate) trace: Option<TraceContext>,
    /// Where the answer goes.
    pub(crate) answer: oneshot::Sender<CallerAnswer>,
}

/// An answer on its way to the caller.
#[derive(Debug)]
pub(crate) struct CallerAnswer {
    /// The answer.
    pub(crate) answer: QueryAnswer,
    /// What became of the charge: one of the states of `ChargeEntry`.
    pub(crate) charge: &'static str,
}

/// Who calls the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StoreUser {
    /// The claim manager.
    Claims,
    /// The charge ledger.
    Charges,
}

/// An event for the loop, sent by the tasks that do input and output.
#[derive(Debug)]
pub(crate) enum LoopEvent {
    /// A caller sent a request.
    CallArrived(Box<ArrivedCall>),
    /// A caller closed its connection before it had its answer.
    CallerGone(QueryId),
    /// A connection to an upstream stands.
    LinkOpened(VmName, UpstreamLink),
    /// A connection to an upstream could not be opened.
    LinkRefused(VmName),
    /// A connection to an upstream is closed.
    LinkClosed(VmName),
    /// An exchange with an upstream is over.
    ExchangeEnded {
        /// The attempt.
        attempt: AttemptId,
        /// The upstream.
        vm: VmName,
        /// What came of it.
        outcome: Box<ExchangeOutcome>,
    },
    /// The VM list was read.
    PlacementRead(Box<VmList>),
    /// The VM list could not be read.
    PlacementMissed,
    /// A peer told its VM list.
    PlacementTold(Box<VmList>),
    /// A bundle to start with, not signed.
    BundleForced(Arc<DeploymentSpec>),
    /// The store or a peer has a bundle.
    BundleOffered(Box<SignedBundle>),
    /// The store has no bundle.
    HeadMissing,
    /// The store answered, or did not.
    StoreSeen(bool),
    /// The store answered a call.
    StoreReplied {
        /// Who called.
        user: StoreUser,
        /// Number of the call.
        call: u64,
        /// What came of it.
        reply: StoreReply,
    },
    /// A peer answered a copy of charges, or did not.
    CopyAnswered {
        /// The peer.
        peer: DaemonName,
        /// What it holds.
        reply: Option<CopyReply>,
    },
    /// A peer told all that it knows, or did not answer.
    SyncAnswered(Option<SyncBody>),
    /// The operators' port asks for the status.
    StatusAsked(oneshot::Sender<StatusBody>),
    /// The daemon shall stop; a second time, at once.
    StopAsked,
    /// All callers have their answers and the caller port is closed.
    FrontClosed,
}
