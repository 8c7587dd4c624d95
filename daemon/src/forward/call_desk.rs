//! A caller's request while it is served.

use std::rc::Rc;

use bytes::Bytes;
use http::{
    header,
    request,
    response,
    HeaderMap,
    HeaderName,
    HeaderValue,
    Method,
    Request, //
};
use http_body_util::Full;
use platform::set_forward_headers;
use policy::forward::SendCommand;
use schema::{
    AttemptId,
    ReplicaName,
    RouteName,
    TimePoint, //
};
use smallvec::SmallVec;
use tokio::sync::oneshot;

use super::{
    caller_reply::CallerReply,
    replica_exchange::WholeReply, //
};

/// Headers that concern one connection only.
const HOP_HEADERS: [HeaderName; 9] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// The part of a request that replicas get.
#[derive(Debug)]
pub(super) struct CallHead {
    method: Method,
    target: http::Uri,
    headers: HeaderMap,
    body: Bytes,
    /// The caller's id.
    pub(super) id: HeaderValue,
}

impl CallHead {
    /// What to forward of the request with `head` and `body`.
    pub(super) fn new(head: request::Parts, body: Bytes, id: HeaderValue) -> Self {
        let mut headers = head.headers;
        drop_hop_headers(&mut headers);
        headers.remove(header::EXPECT);
        // The body is whole by now and goes out with its length.
        headers.remove(header::CONTENT_LENGTH);
        let path = head.uri.path_and_query().cloned();
        Self {
            method: head.method,
            target: path.map_or_else(|| http::Uri::from_static("/"), http::Uri::from),
            headers,
            body,
            id,
        }
    }

    /// The request for the replica of `order`.
    pub(super) fn request(&self, order: &SendCommand, now: TimePoint) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.clone();
        let mut headers = self.headers.clone();
        set_forward_headers(&mut headers, &order.name, order.deadline.since(now));
        *request.headers_mut() = headers;
        request
    }
}

/// A request that has no answer yet.
#[derive(Debug)]
pub(super) struct CallDesk {
    /// What replicas get.
    pub(super) head: Rc<CallHead>,
    /// Its route.
    pub(super) route: RouteName,
    /// Arrival.
    pub(super) arrived: TimePoint,
    /// Replicas of one service that its route lets run it; 1 also where it may run once only.
    pub(super) attempts: u32,
    /// Requests sent for it.
    pub(super) sends: u32,
    /// The replica that had it last, where one reply answers it.
    pub(super) replica: Option<ReplicaName>,
    /// Replies that may be relayed.
    pub(super) replies: SmallVec<[(AttemptId, WholeReply); 1]>,
    /// Whether replies are kept for relaying.
    pub(super) relays: bool,
    /// Where the answer goes.
    pub(super) answer: oneshot::Sender<CallerReply>,
}

impl CallDesk {
    /// The reply to `attempt` as the caller gets it.
    pub(super) fn relay(&mut self, attempt: AttemptId) -> Option<CallerReply> {
        let place = self
            .replies
            .iter()
            .position(|(known, _)| *known == attempt)?;
        let (_, reply) = self.replies.remove(place);
        Some(CallerReply {
            status: reply.head.status,
            headers: relayed_headers(reply.head, &self.head.method),
            body: reply.body,
        })
    }
}

fn relayed_headers(head: response::Parts, method: &Method) -> HeaderMap {
    let mut headers = head.headers;
    drop_hop_headers(&mut headers);
    // The reply to HEAD tells a length without a body.
    if method != Method::HEAD {
        headers.remove(header::CONTENT_LENGTH);
    }
    headers
}

fn drop_hop_headers(headers: &mut HeaderMap) {
    let named: SmallVec<[HeaderName; 2]> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_HEADERS) {
        headers.remove(name);
    }
}
