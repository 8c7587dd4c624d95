//! A request that the caller port has read and passes to the forwarding loop.

use std::{
    net::{
        IpAddr,
        Ipv4Addr, //
    },
    time::Duration, //
};

use bytes::Bytes;
use http::{
    header,
    request, //
};
use policy::forward::{
    RelayTerms,
    RequestIdentity, //
};
use schema::{
    BundleVersion,
    DaemonName,
    QueryId, //
};
use tokio::sync::oneshot;

use super::caller_reply::CallerReply;
use crate::caller_port::CallerAddress;

/// The daemon that has relayed a request.
#[derive(Debug)]
pub(super) struct RelaySource {
    /// Its name.
    pub(super) daemon: DaemonName,
    /// Version of the route table by which it handles the request.
    pub(super) table: BundleVersion,
    /// Its terms.
    pub(super) terms: RelayTerms,
}

/// A caller's request, fully read and not yet seen by the forwarding loop.
#[derive(Debug)]
pub(super) struct ArrivedRequest {
    /// Number of the request, unique within this process.
    pub(super) query: QueryId,
    /// Method, path and headers as the caller sent them.
    pub(super) head: request::Parts,
    /// The complete body.
    pub(super) body: Bytes,
    /// Time between the end of the head and the end of the body.
    pub(super) read_time: Duration,
    /// The daemon that has relayed the request, if one has.
    pub(super) relayed: Option<RelaySource>,
    /// Positions of the shards that this daemon wants; empty for all of the route.
    pub(super) shards: Vec<u32>,
    /// Sends the reply back to the handler that holds the connection.
    pub(super) reply_sender: oneshot::Sender<CallerReply>,
}

impl ArrivedRequest {
    /// The host that it names, which may include a port; empty without one.
    pub(super) fn host(&self) -> &str {
        let host = self.head.headers.get(header::HOST);
        let host = host.and_then(|host| std::str::from_utf8(host.as_bytes()).ok());
        host.or_else(|| self.head.uri.host()).unwrap_or("")
    }

    /// Address of the caller.
    pub(super) fn caller(&self) -> IpAddr {
        let caller = self.head.extensions.get::<CallerAddress>();
        caller.map_or(IpAddr::V4(Ipv4Addr::UNSPECIFIED), |caller| caller.0)
    }

    /// By what it is recognised when its caller sends it again.
    pub(super) fn identity(&self) -> RequestIdentity {
        let target = self.head.uri.path_and_query();
        RequestIdentity::of(
            self.head.method.as_str(),
            self.host(),
            target.map_or("/", |target| target.as_str()),
            &self.body,
            self.caller(),
        )
    }
}
