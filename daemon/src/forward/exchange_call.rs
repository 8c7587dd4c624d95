//! What is sent to a replica, and how much it may reply.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{
    HeaderValue,
    Request, //
};
use http_body_util::Full;
use policy::forward::RequestMark;

use super::reply_budget::ReplyBudget;

/// A request to a replica and the limits on its reply.
#[derive(Debug)]
pub(super) struct ExchangeCall {
    /// Address of the replica, for a new connection.
    pub(super) address: SocketAddr,
    /// What is sent.
    pub(super) request: Request<Full<Bytes>>,
    /// The id that the reply has to repeat, if it has one.
    pub(super) id: HeaderValue,
    /// The mark by which the connection remembers the request.
    pub(super) mark: RequestMark,
    /// Memory for replies.
    pub(super) budget: ReplyBudget,
}
