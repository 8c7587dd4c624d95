//! Events that the daemon's event loop handles.

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

/// A request that the caller port passes to the event loop.
#[derive(Debug)]
pub(crate) struct ArrivedCall {
    /// Number of the request within this daemon.
    pub(crate) query: QueryId,
    /// Group, user, deadline and text of the request.
    pub(crate) call: QueryCall,
    /// Trace context that the caller sent, if any.
    pub(crate) trace: Option<TraceContext>,
    /// Sends the answer back to the caller port.
    pub(crate) answer: oneshot::Sender<CallerAnswer>,
}

/// An answer that the event loop passes to the caller port.
#[derive(Debug)]
pub(crate) struct CallerAnswer {
    /// Outcome and items of the query.
    pub(crate) answer: QueryAnswer,
    /// State of the charge as the caller sees it: `none`, `copied` or `uncopied`.
    pub(crate) charge: &'static str,
}

/// The component that a store call is made for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallOwner {
    /// Claims of idempotency keys.
    Claims,
    /// Charges of answers.
    Charges,
}

/// An event for the loop, sent by a task that does input or output.
#[derive(Debug)]
pub(crate) enum LoopEvent {
    /// A caller sent a request.
    CallArrived(Box<ArrivedCall>),
    /// A caller closed its connection before it had its answer.
    CallerGone(QueryId),
    /// A connection to an upstream was opened.
    LinkOpened(VmName, UpstreamLink),
    /// A connection to an upstream could not be opened.
    LinkFailed(VmName),
    /// A connection to an upstream is closed.
    LinkClosed(VmName),
    /// An exchange with an upstream succeeded or failed.
    ExchangeEnded {
        /// The attempt that the exchange was for.
        attempt: AttemptId,
        /// The upstream at the other end.
        vm: VmName,
        /// The reply or failure, and the connection if it can be used again.
        outcome: Box<ExchangeOutcome>,
    },
    /// The VM list was read and differs from the last one.
    VmListRead(Box<VmList>),
    /// A read of the VM list failed.
    VmListFailed,
    /// Another daemon sent its VM list.
    PeerVmListRead(Box<VmList>),
    /// An unsigned bundle to start with was passed to the daemon, in tests and measurements.
    UnsignedBundle(Arc<DeploymentSpec>),
    /// The store or another daemon has a bundle, which may be newer than the one in force.
    BundleOffered(Box<SignedBundle>),
    /// The store holds no bundle head.
    HeadMissing,
    /// The store became reachable (`true`) or unreachable.
    StoreChecked(bool),
    /// A store call ended.
    StoreReplied {
        /// The component that made the call.
        owner: CallOwner,
        /// Number of the call within that component.
        call: u64,
        /// The store's reply, or the failure.
        reply: StoreReply,
    },
    /// A call that sends copies of charges to another daemon ended.
    CopyAnswered {
        /// The other daemon.
        peer: DaemonName,
        /// What it holds now; `None` if the call failed.
        reply: Option<CopyReply>,
    },
    /// A membership sync with another daemon ended; `None` if it failed.
    SyncAnswered(Option<SyncBody>),
    /// The operators' port requests the status.
    StatusRequested(oneshot::Sender<StatusBody>),
    /// A graceful stop was requested; the second request ends it at once.
    StopRequested,
    /// The caller port has closed its last connection.
    CallerPortClosed,
}
