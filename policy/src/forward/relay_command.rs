//! Requests to be sent to other daemons.

use std::time::Duration;

use schema::{
    AttemptId,
    BundleVersion,
    DaemonName,
    QueryId,
    TimePoint, //
};

use super::RelayTerms;

/// A request to be sent to another daemon, which forwards it to replicas.
#[derive(Clone, Debug)]
pub struct RelayCommand {
    /// The relay. Unless it is cancelled first, the daemon must report its end.
    pub attempt: AttemptId,
    /// The caller's request.
    pub query: QueryId,
    /// The other daemon.
    pub to: DaemonName,
    /// Time for which the caller still waits, less the way back; `None` if it sent no deadline.
    pub time_left: Option<Duration>,
    /// Positions of the shards to which the other daemon sends it, among those of its route; empty for all
    /// that the route names.
    pub shards: Vec<u32>,
    /// Version of the route table by which this daemon handles the request.
    pub table: BundleVersion,
    /// Longest time to open a connection to the other daemon.
    pub connect_timeout: Duration,
    /// When the caller is answered at the latest.
    pub answer_by: TimePoint,
    /// The terms for the other daemon.
    pub terms: RelayTerms,
}
