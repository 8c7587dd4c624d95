//! Requests in flight and their sub-queries, as the event loop keeps them.

use policy::{
    charges::ChargeToken,
    engine::QueryAnswer, //
};
use schema::{
    GroupName,
    TimePoint,
    UserName,
    VmName, //
};
use tokio::{
    sync::oneshot,
    task::AbortHandle, //
};

use crate::{
    loop_event::CallerAnswer,
    trace_context::TraceContext, //
};

/// A caller's request in flight.
#[derive(Debug)]
pub(crate) struct RunningCall {
    /// Service group that the request is for.
    pub(crate) group: GroupName,
    /// End user that the request is charged to.
    pub(crate) user: UserName,
    /// Token that counts a repeated charge of this request only once.
    pub(crate) token: ChargeToken,
    /// The answer, while it waits for its charge to be copied.
    pub(crate) pending_answer: Option<QueryAnswer>,
    /// When the request arrived.
    pub(crate) arrived_at: TimePoint,
    /// Span of the request.
    pub(crate) trace: TraceContext,
    /// Span of the caller, if it sent one.
    pub(crate) parent: Option<TraceContext>,
    /// Sends the answer to the caller port.
    pub(crate) answer_sender: oneshot::Sender<CallerAnswer>,
}

/// A sub-query that waits for a connection or runs on one.
#[derive(Debug)]
pub(crate) struct RunningAttempt {
    /// The upstream that it is sent to.
    pub(crate) vm: VmName,
    /// Service group of the upstream.
    pub(crate) group: GroupName,
    /// When the engine asked for it.
    pub(crate) ordered_at: TimePoint,
    /// Span of the sub-query.
    pub(crate) trace: TraceContext,
    /// Span of the request that it belongs to.
    pub(crate) parent: TraceContext,
    /// Aborts the exchange; `None` until it has started.
    pub(crate) task: Option<AbortHandle>,
}
