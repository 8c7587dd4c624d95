//! One request to a replica and its reply.

use std::time::Duration;

use bytes::Bytes;
use http::{
    header,
    response, //
};
use platform::{
    ReplyHeaders,
    UnreadableValue, //
};
use policy::forward::{
    ForwardFailure,
    ForwardReply,
    LimitStatement,
    ReplicaStatements,
    UnreadableStatement, //
};
use schema::{
    ReplicaLoad,
    RequestRate,
    RestPeriod, //
};
use smallvec::SmallVec;

use super::exchange_call::ExchangeCall;
use crate::{
    exchange::{
        read_body,
        BodyFailure, //
    },
    upstream_link::UpstreamLink, //
};

/// Longest time to open a connection; several round trips to the farthest data centre.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Largest accepted body of a reply.
const MAX_REPLY_BYTES: usize = 8 * 1024 * 1024;

/// A complete reply as the replica sent it.
#[derive(Debug)]
pub(super) struct ReplicaReply {
    /// Status and headers, hop-by-hop ones included.
    pub(super) head: response::Parts,
    /// The complete body.
    pub(super) body: Bytes,
}

/// The outcome of an exchange.
#[derive(Debug)]
pub(super) struct ExchangeOutcome {
    /// The parts of the reply that the engine needs, or the failure.
    pub(super) result: Result<ForwardReply, ForwardFailure>,
    /// The reply, to be passed on if it becomes the answer.
    pub(super) reply: Option<ReplicaReply>,
    /// The connection, if it can carry another exchange.
    pub(super) link: Option<UpstreamLink>,
    /// Whether a new connection was needed.
    pub(super) opened: bool,
}

impl ExchangeOutcome {
    fn failed(failure: ForwardFailure, opened: bool) -> Self {
        Self {
            result: Err(failure),
            reply: None,
            link: None,
            opened,
        }
    }
}

/// Sends a request on `link`, or on a new connection, and reads the reply. A reply that is too large
/// or has another id counts as garbled. The engine cancels the exchange at its deadline, which
/// bounds a reply that goes on slowly without an end.
pub(super) async fn run_exchange(
    link: Option<UpstreamLink>,
    call: ExchangeCall,
) -> ExchangeOutcome {
    let opened = link.is_none();
    let ExchangeCall {
        address,
        request,
        id,
        mark,
        budget,
    } = call;
    let link = match link {
        Some(link) => Some(link),
        None => UpstreamLink::connect(address, CONNECT_TIMEOUT, || ())
            .await
            .ok(),
    };
    let Some(mut link) = link else {
        return ExchangeOutcome::failed(ForwardFailure::Unconnected, opened);
    };
    // A connection opened ahead of need is as new as one opened now.
    let broken = match link.used {
        true => ForwardFailure::Broken,
        false => ForwardFailure::BrokenNew,
    };
    link.start_exchange();
    link.history.record(mark);
    let response = match link.sender.send_request(request).await {
        Ok(response) => response,
        // The connection was closed before the request was written to it.
        Err(error) if error.is_canceled() => {
            return ExchangeOutcome::failed(ForwardFailure::Unconnected, opened);
        }
        Err(error) if error.is_parse() || link.is_overrun() => {
            return ExchangeOutcome::failed(ForwardFailure::Garbled, opened);
        }
        Err(_) => return ExchangeOutcome::failed(broken, opened),
    };
    let (head, body) = response.into_parts();
    let marks = match ReplyHeaders::read(head.status, &head.headers, &id) {
        Ok(marks) if is_attributed(&mut link, &marks) => marks,
        _ => return ExchangeOutcome::failed(ForwardFailure::Garbled, opened),
    };
    link.allow_body(MAX_REPLY_BYTES);
    let account = budget.start_reply();
    let may_hold = |bytes: usize| account.try_take(bytes);
    let body = match read_body(body, MAX_REPLY_BYTES, may_hold).await {
        Ok(body) => account.attach(body),
        Err(BodyFailure::Broken) if !link.is_overrun() => {
            return ExchangeOutcome::failed(broken, opened);
        }
        Err(_) => return ExchangeOutcome::failed(ForwardFailure::Garbled, opened),
    };
    let connection = head.headers.get(header::CONNECTION);
    let closes = connection.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
    link.idle_limit = idle_limit(&head);
    ExchangeOutcome {
        result: Ok(ForwardReply {
            status: head.status.as_u16(),
            not_run: marks.not_run,
            moved: marks.moved,
            stamp: marks.stamp,
            statements: statements_of(marks.limit, marks.load, marks.leaving, marks.rest),
            body: body.clone(),
        }),
        reply: Some(ReplicaReply { head, body }),
        link: Some(link).filter(|_| !closes),
        opened,
    }
}

/// Whether a reply belongs to the request that was sent last on its connection.
fn is_attributed(link: &mut UpstreamLink, marks: &ReplyHeaders) -> bool {
    if marks.repeats_id {
        link.history.record_reply();
        return true;
    }
    let ran = !marks.not_run && !marks.moved;
    link.history.attribute_unnamed(ran, marks.stamp.as_ref())
}

fn statements_of(
    limit: Option<Result<RequestRate, UnreadableValue>>,
    load: Option<Result<ReplicaLoad, UnreadableValue>>,
    leaving: Option<Result<bool, UnreadableValue>>,
    rest: Option<Result<RestPeriod, UnreadableValue>>,
) -> ReplicaStatements {
    let mut unreadable = SmallVec::new();
    let load = read_or_note("load", load, &mut unreadable);
    let leaving = read_or_note("leaving", leaving, &mut unreadable);
    let rest = read_or_note("rest", rest, &mut unreadable);
    ReplicaStatements {
        limit: match limit {
            None => LimitStatement::Unlimited,
            Some(Ok(limit)) => LimitStatement::Limited(limit),
            Some(Err(UnreadableValue(value))) => LimitStatement::Unreadable(value),
        },
        load,
        leaving: leaving.unwrap_or(false),
        rest,
        unreadable,
    }
}

/// The value of a statement, if it can be read; otherwise notes it.
fn read_or_note<T>(
    subject: &'static str,
    value: Option<Result<T, UnreadableValue>>,
    unreadable: &mut SmallVec<[UnreadableStatement; 1]>,
) -> Option<T> {
    match value? {
        Ok(value) => Some(value),
        Err(UnreadableValue(value)) => {
            unreadable.push(UnreadableStatement { subject, value });
            None
        }
    }
}

/// How long an idle connection may be used again: less than the time after which the replica closes
/// it, so that a request in transit does not meet a closed connection.
fn idle_limit(head: &response::Parts) -> Option<Duration> {
    /// Ratio of that time to the time that the replica announces.
    const IDLE_REUSE_RATIO: f64 = 0.7;
    let text = head.headers.get("keep-alive")?.to_str().ok()?;
    let mut fields = text.split(',').map(str::trim);
    let seconds = fields.find_map(|field| field.strip_prefix("timeout="))?;
    let seconds: u32 = seconds.parse().ok()?;
    Some(Duration::from_secs(u64::from(seconds)).mul_f64(IDLE_REUSE_RATIO))
}
