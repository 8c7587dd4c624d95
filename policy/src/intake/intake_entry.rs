//! A connection of a caller.

use std::net::IpAddr;

use schema::TimePoint;

/// Number of a connection; never used twice.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct IntakeId(pub u64);

/// What a connection is used for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum IntakeStage {
    /// It waits for the next request or for the end of its head.
    Idle,
    /// The body of a request is being read.
    Reading,
    /// A request has been read and is being served.
    Serving,
}

/// A connection and what it holds.
#[derive(Clone, Debug)]
pub(super) struct IntakeEntry {
    pub(super) address: IpAddr,
    pub(super) stage: IntakeStage,
    pub(super) bytes: usize,
    /// When the connection last became idle or made progress.
    pub(super) since: TimePoint,
    /// Bytes received since then.
    pub(super) received: usize,
    /// Whether it has been told to close.
    pub(super) leaving: bool,
}

impl IntakeEntry {
    /// Whether the connection waits for its caller, so that it may be dropped.
    pub(super) fn is_waiting(&self) -> bool {
        self.stage != IntakeStage::Serving && !self.leaving
    }
}
