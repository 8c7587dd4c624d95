//! Status of a query in the quarantine, and the notice that daemons send each other.

use std::time::Duration;

use schema::{
    QueryPrint,
    TimePoint,
    VmName, //
};

/// How a query is treated on its arrival.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuarantineStatus {
    /// The query has succeeded before: run it without restrictions.
    Proven,
    /// Nothing is known of the query, or a replica that ran it and other queries crashed after it
    /// had succeeded: run it on one replica first, with at most one hedge on a second one.
    Unproven,
    /// One replica crashed while running the query: run it on one replica first, without hedge or
    /// retry.
    Suspect,
    /// Another daemon has reported a crash and is about to run the query again: treat it as
    /// suspect, but don't run it before this time.
    Deferred {
        /// When the query may run.
        until: TimePoint,
    },
    /// Enough replicas crashed while running the query: refuse it before anything is sent.
    Refused {
        /// Time until the quarantine of the query ends.
        retry_after: Duration,
    },
}

/// Crashes of replicas that ran a query, as daemons report them to each other.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QuarantineNotice {
    /// Fingerprint of the query.
    pub print: QueryPrint,
    /// Replicas that crashed while running the query.
    pub deaths: Vec<VmName>,
    /// When the notice expires.
    pub until: TimePoint,
}
