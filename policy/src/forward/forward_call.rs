//! Requests of callers.

use std::{
    sync::Arc,
    time::Duration, //
};

use schema::AccountSpec;

use super::{
    RelayTerms,
    RequestIdentity,
    RouteIndex, //
};

/// The properties of a caller's request on which forwarding decisions depend.
#[derive(Clone, Debug)]
pub struct ForwardCall {
    /// The route table in force when the request arrived.
    pub index: Arc<RouteIndex>,
    /// Index of the request's route in the table.
    pub route: usize,
    /// Time until the caller's deadline at arrival; `None` if the caller sent no deadline.
    pub time_left: Option<Duration>,
    /// By what the request is recognised when its caller sends it again.
    pub identity: RequestIdentity,
    /// Positions of the shards that another daemon wants, among those of the route; empty for all.
    pub shards: Vec<u32>,
    /// The caller's client account; `None` if it has none.
    pub account: Option<Arc<AccountSpec>>,
    /// The terms, if another daemon has relayed the request to this one.
    pub terms: Option<RelayTerms>,
}
