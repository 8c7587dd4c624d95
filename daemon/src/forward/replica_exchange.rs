//! One exchange with a replica.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use http::{
    header,
    response,
    HeaderValue,
    Request, //
};
use http_body_util::{
    BodyExt,
    Full,
    Limited, //
};
use platform::ReplyHeaders;
use policy::forward::{
    ForwardFailure,
    ForwardReply, //
};

use crate::upstream_link::UpstreamLink;

/// Longest time for a new connection: several round trips to the farthest data centre.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Largest reply that is taken, in bytes.
const REPLY_MAX: usize = 8 * 1024 * 1024;

/// A whole reply as it came.
#[derive(Debug)]
pub(super) struct WholeReply {
    /// Status and headers.
    pub(super) head: response::Parts,
    /// The body.
    pub(super) body: Bytes,
}

/// What came of an exchange.
#[derive(Debug)]
pub(super) struct ExchangeEnd {
    /// What the decision needs of the reply, or the failure.
    pub(super) result: Result<ForwardReply, ForwardFailure>,
    /// The reply, for a caller that gets it as it is.
    pub(super) reply: Option<WholeReply>,
    /// The connection, where it can carry another exchange.
    pub(super) link: Option<UpstreamLink>,
    /// Whether a connection was opened for it.
    pub(super) opened: bool,
}

impl ExchangeEnd {
    fn failed(failure: ForwardFailure, opened: bool) -> Self {
        Self {
            result: Err(failure),
            reply: None,
            link: None,
            opened,
        }
    }
}

/// Sends `request`, with the caller's `id`, on `link` or a new connection to `address`.
pub(super) async fn run_exchange(
    link: Option<UpstreamLink>,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    id: HeaderValue,
) -> ExchangeEnd {
    let opened = link.is_none();
    let link = match link {
        Some(link) => Some(link),
        None => UpstreamLink::connect(address, CONNECT_TIMEOUT, || ()).await,
    };
    let Some(mut link) = link else {
        return ExchangeEnd::failed(ForwardFailure::Unconnected, opened);
    };
    link.used = true;
    let response = match link.sender.send_request(request).await {
        Ok(response) => response,
        // The connection was closed before anything was written to it.
        Err(error) if error.is_canceled() => {
            return ExchangeEnd::failed(ForwardFailure::Unconnected, opened);
        }
        Err(error) if error.is_parse() => {
            return ExchangeEnd::failed(ForwardFailure::Garbled, opened);
        }
        Err(_) => return ExchangeEnd::failed(ForwardFailure::Broken, opened),
    };
    let (head, body) = response.into_parts();
    let marks = match ReplyHeaders::read(head.status, &head.headers, &id) {
        Ok(marks) => marks,
        Err(_) => return ExchangeEnd::failed(ForwardFailure::Garbled, opened),
    };
    let Ok(body) = Limited::new(body, REPLY_MAX).collect().await else {
        return ExchangeEnd::failed(ForwardFailure::Broken, opened);
    };
    let body = body.to_bytes();
    let closing = head.headers.get(header::CONNECTION);
    let closing = closing.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
    link.idle_limit = idle_limit(&head);
    ExchangeEnd {
        result: Ok(ForwardReply {
            status: head.status.as_u16(),
            not_run: marks.not_run,
            moved: marks.moved,
            stamp: marks.stamp,
            body: body.clone(),
        }),
        reply: Some(WholeReply { head, body }),
        link: Some(link).filter(|_| !closing),
        opened,
    }
}

/// How long the replica keeps an idle connection, less what a request on its way may take.
fn idle_limit(head: &response::Parts) -> Option<Duration> {
    /// Part of the replica's time in which a connection is used again.
    const IDLE_SHARE: f64 = 0.7;
    let text = head.headers.get("keep-alive")?.to_str().ok()?;
    let mut fields = text.split(',').map(str::trim);
    let seconds = fields.find_map(|field| field.strip_prefix("timeout="))?;
    let seconds: u32 = seconds.parse().ok()?;
    Some(Duration::from_secs(u64::from(seconds)).mul_f64(IDLE_SHARE))
}
