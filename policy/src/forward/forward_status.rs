//! State of the forwarding engine for metrics.

use std::time::Duration;

use schema::{
    DaemonName,
    ReplicaName,
    RequestRate,
    ServiceName, //
};

use super::LinkLoss;

/// Counts for the metrics.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ForwardStatus {
    /// Number of listed replicas by state: `usable`, `draining` (by the directory or by their own
    /// replies), `avoided` during the backoff after a failed connection, or `resting`.
    pub replicas: [(&'static str, usize); 4],
    /// Hedges and retries that the retry budget of each service still allows.
    pub budgets: Vec<(ServiceName, u32)>,
    /// Replicas that name a limit, with the limit and this daemon's share, in requests a second.
    pub limits: Vec<(ReplicaName, RequestRate, f64)>,
    /// Number of request parts that are queued for a replica.
    pub waiting: usize,
    /// Number of fingerprints of requests that are refused because they crashed replicas.
    pub quarantined: usize,
    /// Replicas that leave, by the directory or by their own replies.
    pub leaving: Vec<ReplicaName>,
    /// Replicas that rest, with the time until they get requests again.
    pub resting: Vec<(ReplicaName, Duration)>,
    /// How the links to all replicas were lost, and how long ago, if they are.
    pub lost_links: Option<(LinkLoss, Duration)>,
    /// Daemons that forward requests for this one.
    pub helpers: Vec<DaemonName>,
    /// Requests of other daemons that this one forwards.
    pub relayed: usize,
}
