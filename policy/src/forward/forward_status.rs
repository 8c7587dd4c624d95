//! What the forwarding engine tells of its state.

use schema::ServiceName;

/// Counts for metrics.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ForwardStatus {
    /// Replicas in the directory by state: `usable`, `draining`, or `avoided` for a while after they
    /// were not to be reached.
    pub replicas: [(&'static str, usize); 3],
    /// Second sends that the budget of each service still allows.
    pub budgets: Vec<(ServiceName, u32)>,
    /// Parts of requests that wait for a replica.
    pub waiting: usize,
}
