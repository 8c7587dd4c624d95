//! Requests of callers.

use std::{
    sync::Arc,
    time::Duration, //
};

use super::RouteIndex;

/// A caller's request, as far as decisions need it.
#[derive(Clone, Debug)]
pub struct ForwardCall {
    /// The table in force at its arrival.
    pub index: Arc<RouteIndex>,
    /// Place of its route in the table.
    pub route: usize,
    /// Time that the caller will wait; `None` where it does not say.
    pub patience: Option<Duration>,
}
