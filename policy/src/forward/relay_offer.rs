//! What daemons say to each other about relayed requests.

use std::time::Duration;

use schema::{
    DaemonName,
    ZoneName, //
};

/// Another live daemon, which may forward requests for this one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RelayPeer {
    /// Its name.
    pub daemon: DaemonName,
    /// Its data centre.
    pub zone: ZoneName,
}

/// Why a daemon forwards no requests for another one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RelayRefusal {
    /// It has lost its own links to the replicas, or suspects so.
    Stranded,
    /// It starts or stops.
    NotReady,
    /// It has no room beside the requests of its own callers.
    NoRoom,
    /// Its route table is older than that of the other daemon.
    OldTable,
    /// It did not answer.
    NoAnswer,
}

impl RelayRefusal {
    /// The name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Stranded => "stranded",
            Self::NotReady => "not_ready",
            Self::NoRoom => "no_room",
            Self::OldTable => "old_table",
            Self::NoAnswer => "no_answer",
        }
    }
}

/// The answer to the question how many relayed requests a daemon takes.
pub type RelayOffer = Result<u32, RelayRefusal>;

/// The terms under which a daemon forwards a request for another one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RelayTerms {
    /// Time since the request arrived at the other daemon.
    pub age: Duration,
    /// Replicas of one service on which it may still run.
    pub attempts: u32,
    /// Whether the other daemon has sent it to replicas itself, so that another attempt is an extra one.
    pub sent: bool,
}

/// How the relay of a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RelayOutcome {
    /// The other daemon answered.
    Answered,
    /// The other daemon answered, and no replica ran the request.
    NotRun,
    /// The other daemon did not take the request, or it was not sent.
    Declined(RelayRefusal),
    /// The connection broke after the request was sent, which may have run.
    Broken,
}

impl RelayOutcome {
    /// The name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun => "not_run",
            Self::Declined(refusal) => refusal.as_str(),
            Self::Broken => "broken",
        }
    }
}
