//! Addresses at which daemons find the others, as kept in the platform's store.

use std::net::SocketAddr;

use serde::{
    Deserialize,
    Serialize, //
};

/// A few daemons of the deployment.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ContactRecord {
    /// Number of daemons that the writer reckoned with.
    pub daemons: u32,
    /// Peer addresses of some of them; some may be out of date.
    pub addresses: Vec<SocketAddr>,
}
