//! One request and reply on a connection to an upstream.

use bytes::{
    Bytes,
    BytesMut, //
};
use http::{
    Request,
    StatusCode, //
};
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::body::{
    Body,
    Incoming, //
};
use policy::engine::{
    AttemptFailure,
    ReplicaLoad,
    ReplicaReply, //
};

use crate::{
    reply_check::check_reply,
    upstream_link::UpstreamLink, //
};

/// Why an exchange brought no result, with the load report of an upstream that refused.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ExchangeFailure {
    /// Kind of failure.
    pub failure: AttemptFailure,
    /// Load report of the upstream; set only where the upstream refused the request.
    pub load: Option<ReplicaLoad>,
}

impl From<AttemptFailure> for ExchangeFailure {
    fn from(failure: AttemptFailure) -> Self {
        Self {
            failure,
            load: None,
        }
    }
}

/// Result of an exchange.
#[derive(Debug)]
pub(crate) struct ExchangeOutcome {
    pub(crate) result: Result<ReplicaReply, ExchangeFailure>,
    /// The connection, where it can carry another exchange.
    pub(crate) link: Option<UpstreamLink>,
}

/// A request to an upstream and the limits on its reply.
#[derive(Debug)]
pub(crate) struct ExchangeCall {
    pub(crate) request: Request<Full<Bytes>>,
    /// Attempt id that the reply must repeat.
    pub(crate) attempt_id: String,
    /// Largest reply, in bytes.
    pub(crate) reply_max_bytes: usize,
}

/// Sends the request on `link` and checks the reply.
pub(crate) async fn run_exchange(mut link: UpstreamLink, call: ExchangeCall) -> ExchangeOutcome {
    link.start_exchange();
    let failed = |failure: AttemptFailure| ExchangeOutcome {
        result: Err(failure.into()),
        link: None,
    };
    let response = match link.sender.try_send_request(call.request).await {
        Ok(response) => response,
        Err(mut error) => {
            // The request is returned only where none of it was written.
            return failed(match error.take_message() {
                Some(_) => AttemptFailure::BrokeBefore,
                None => AttemptFailure::BrokeAfter,
            });
        }
    };
    let status = response.status();
    if status != StatusCode::OK && status != StatusCode::SERVICE_UNAVAILABLE {
        return failed(AttemptFailure::BadReply);
    }
    link.allow_body(call.reply_max_bytes);
    let body = read_body(response.into_body(), call.reply_max_bytes, |_| true);
    let Ok(body) = body.await else {
        return failed(AttemptFailure::BadReply);
    };
    let result = check_reply(&body, &call.attempt_id);
    let reusable = !is_bad_reply(&result) && link.sender.ready().await.is_ok();
    ExchangeOutcome {
        result,
        link: reusable.then_some(link),
    }
}

fn is_bad_reply(result: &Result<ReplicaReply, ExchangeFailure>) -> bool {
    let has_bad_reply = |failure: &ExchangeFailure| failure.failure == AttemptFailure::BadReply;
    result.as_ref().is_err_and(has_bad_reply)
}

/// Why a body was not read to its end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum BodyFailure {
    /// The connection ended before, or the body is malformed.
    Broken,
    /// The body is longer than allowed.
    TooLarge,
}

/// Reads a whole body of at most `max` bytes. `may_hold` is asked for each piece, with its length.
///
/// # Errors
///
/// [`BodyFailure`] if the body is truncated or too long.
pub(crate) async fn read_body(
    mut body: Incoming,
    max: usize,
    mut may_hold: impl FnMut(usize) -> bool,
) -> Result<Bytes, BodyFailure> {
    let size_hint = body.size_hint();
    if size_hint.lower() > max as u64 {
        return Err(BodyFailure::TooLarge);
    }
    let mut first_chunk: Option<Bytes> = None;
    let mut later_chunks = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyFailure::Broken)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let size = first_chunk.as_ref().map_or(0, Bytes::len) + later_chunks.len() + data.len();
        if size > max || !may_hold(data.len()) {
            return Err(BodyFailure::TooLarge);
        }
        if first_chunk.is_none() {
            first_chunk = Some(data);
            continue;
        }
        later_chunks.extend_from_slice(&data);
    }
    let first_chunk = first_chunk.unwrap_or_default();
    if later_chunks.is_empty() {
        return Ok(first_chunk);
    }
    let mut whole = BytesMut::with_capacity(first_chunk.len() + later_chunks.len());
    whole.extend_from_slice(&first_chunk);
    whole.extend_from_slice(&later_chunks);
    Ok(whole.freeze())
}
