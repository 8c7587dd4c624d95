//! A caller's request between its arrival and its answer.

use std::{
    net::IpAddr,
    rc::Rc,
    time::Duration, //
};

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
use platform::{
    set_account,
    set_forward_headers, //
};
use policy::forward::SendCommand;
use schema::{
    AttemptId,
    DaemonName,
    ReplicaName,
    RouteName,
    TimePoint, //
};
use smallvec::SmallVec;
use tokio::sync::oneshot;

use super::{
    caller_reply::CallerReply,
    replica_exchange::ReplicaReply,
    request_access::RequestAccess, //
};

/// Hop-by-hop headers, which are not forwarded.
const HOP_BY_HOP_HEADERS: [HeaderName; 9] = [
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

/// The parts of a caller's request that are sent to replicas.
#[derive(Clone, Debug)]
pub(super) struct RequestTemplate {
    pub(super) method: Method,
    pub(super) target: http::Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    /// The request id that the caller chose; a reply with another id is not accepted.
    pub(super) id: HeaderValue,
}

impl RequestTemplate {
    /// Keeps the parts of `head` that are forwarded. If `access` was checked, the API key is taken off and the
    /// account is named.
    pub(super) fn new(
        head: request::Parts,
        body: Bytes,
        id: HeaderValue,
        access: &RequestAccess,
    ) -> Self {
        let mut headers = head.headers;
        remove_hop_by_hop_headers(&mut headers);
        headers.remove(header::EXPECT);
        // The body is complete, and the HTTP library sets its length.
        headers.remove(header::CONTENT_LENGTH);
        // After the hop-by-hop headers, or a caller could have the account removed by naming it as one.
        if access.checked {
            set_account(&mut headers, access.account_name());
        }
        let path = head.uri.path_and_query().cloned();
        Self {
            method: head.method,
            target: path.map_or_else(|| http::Uri::from_static("/"), http::Uri::from),
            headers,
            body,
            id,
        }
    }

    /// Builds the request for the replica of `command`, with its name and remaining time.
    pub(super) fn build(&self, command: &SendCommand, now: TimePoint) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.clone();
        let mut headers = self.headers.clone();
        set_forward_headers(&mut headers, &command.name, command.deadline.since(now));
        *request.headers_mut() = headers;
        request
    }
}

/// A request that is not answered yet.
#[derive(Debug)]
pub(super) struct PendingRequest {
    /// What is sent to replicas.
    pub(super) template: Rc<RequestTemplate>,
    /// How it was let in.
    pub(super) access: RequestAccess,
    /// Name of the route that matched.
    pub(super) route: RouteName,
    /// When its head was read.
    pub(super) arrived_at: TimePoint,
    /// Largest number of attempts per service; 1 if the route is not idempotent.
    pub(super) max_attempts: u32,
    /// Address of the caller.
    pub(super) caller: IpAddr,
    /// Whether the caller's daemon wants some of the shards only.
    pub(super) is_branch: bool,
    /// The daemon that has relayed the request to this one, if one has.
    pub(super) relayed_by: Option<DaemonName>,
    /// The daemon to which this one has relayed it last.
    pub(super) helper: Option<DaemonName>,
    /// Requests sent to replicas for it so far.
    pub(super) sends: u32,
    /// Age of the directory when it was sent to a replica last; `None` if it was not.
    pub(super) directory_age: Option<Duration>,
    /// The replica of the last attempt, if one reply answers the request.
    pub(super) last_replica: Option<ReplicaName>,
    /// Replies of replicas, one of which may become the answer.
    pub(super) replies: SmallVec<[(AttemptId, ReplicaReply); 1]>,
    /// Whether one reply is passed on to the caller; false if replies of shards are merged.
    pub(super) keeps_replies: bool,
    /// Sends the reply back to the handler that holds the connection.
    pub(super) reply_sender: oneshot::Sender<CallerReply>,
}

impl PendingRequest {
    /// Converts the reply to `attempt` for the caller; `None` if there is no such reply.
    pub(super) fn take_reply(&mut self, attempt: AttemptId) -> Option<CallerReply> {
        let index = self
            .replies
            .iter()
            .position(|(replied, _)| *replied == attempt)?;
        let (_, reply) = self.replies.remove(index);
        Some(CallerReply {
            status: reply.head.status,
            headers: end_to_end_headers(reply.head, &self.template.method),
            body: reply.body,
            ..CallerReply::default()
        })
    }
}

fn end_to_end_headers(head: response::Parts, method: &Method) -> HeaderMap {
    let mut headers = head.headers;
    remove_hop_by_hop_headers(&mut headers);
    // A reply to HEAD has a length but no body; for others the HTTP library sets the length.
    if method != Method::HEAD {
        headers.remove(header::CONTENT_LENGTH);
    }
    headers
}

fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    let connection_headers: SmallVec<[HeaderName; 2]> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in connection_headers.iter().chain(&HOP_BY_HOP_HEADERS) {
        headers.remove(name);
    }
}
