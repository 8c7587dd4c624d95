//! State of the forwarding engine for metrics.

use schema::ServiceName;

/// Counts for the metrics.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ForwardStatus {
    /// Number of listed replicas by state: `usable`, `draining`, or `avoided` during the backoff
    /// after a failed connection.
    pub replicas: [(&'static str, usize); 3],
    /// Hedges and retries that the retry budget of each service still allows.
    pub budgets: Vec<(ServiceName, u32)>,
    /// Number of request parts that are queued for a replica.
    pub waiting: usize,
    /// Number of fingerprints of requests that are refused because they crashed replicas.
    pub quarantined: usize,
}
