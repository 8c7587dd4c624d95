//! What replicas of a service bear while they are cold.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

/// Limit on the requests to a replica that has just started.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct ColdLimit {
    /// Time after its start for which a replica is cold.
    pub period: Duration,
    /// Requests a second that a cold replica takes, from all daemons together.
    pub per_second: f64,
}
