//! What is known of a service.

use schema::ServiceName;

use super::{
    ExtraBudget,
    LatencySketch,
    ReplicaKey,
    WaitLine, //
};

/// A service with its replicas.
#[derive(Clone, Debug)]
pub(super) struct ServiceState {
    /// Its name.
    pub(super) name: ServiceName,
    /// Its replicas.
    pub(super) members: Vec<ReplicaKey>,
    /// Second sends.
    pub(super) budget: ExtraBudget,
    /// Parts that wait for a replica.
    pub(super) line: WaitLine,
    /// Latencies of its replies without the link's part.
    pub(super) latency: LatencySketch,
    /// Connections that each replica accepts from all callers together.
    pub(super) connections: u32,
}
