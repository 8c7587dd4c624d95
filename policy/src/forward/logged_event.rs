//! Decisions worth a line in the log.

use std::time::Duration;

use schema::{
    QueryId,
    ReplicaName,
    ServiceName, //
};

/// A decision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ForwardNote {
    /// A request is sent to a second replica.
    SentAgain {
        /// The request.
        query: QueryId,
        /// The service.
        service: ServiceName,
        /// The replica that gets it.
        replica: ReplicaName,
        /// Why: `late` or `failed`.
        cause: &'static str,
        /// Time since its arrival.
        age: Duration,
        /// Second sends that the budget still allows.
        budget_left: u32,
    },
    /// An attempt failed.
    AttemptFailed {
        /// The request.
        query: QueryId,
        /// The service.
        service: ServiceName,
        /// The replica.
        replica: ReplicaName,
        /// How.
        cause: &'static str,
        /// Time since it was sent.
        age: Duration,
    },
    /// A replica is in the directory, new or changed.
    ReplicaListed {
        /// The replica.
        replica: ReplicaName,
        /// Its service.
        service: ServiceName,
        /// Whether it leaves.
        draining: bool,
    },
    /// A replica is in the directory no more.
    ReplicaUnlisted {
        /// The replica.
        replica: ReplicaName,
    },
    /// A replica that was avoided has replied.
    ReplicaBack {
        /// The replica.
        replica: ReplicaName,
        /// Its service.
        service: ServiceName,
    },
    /// A replica is avoided for a while.
    ReplicaAvoided {
        /// The replica.
        replica: ReplicaName,
        /// Its service.
        service: ServiceName,
        /// For how long.
        period: Duration,
    },
}
