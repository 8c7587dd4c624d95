//! Requests to be sent to other daemons.

use std::time::Duration;

use schema::{
    AttemptId,
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
    /// When the caller is answered at the latest.
    pub answer_by: TimePoint,
    /// The terms for the other daemon.
    pub terms: RelayTerms,
}
