//! Failures of attempts.

/// Why an attempt brought no data.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum AttemptFailure {
    /// No connection could be opened: no byte was sent.
    ConnectFailed,
    /// The connection broke before the first byte was sent.
    BrokeBefore,
    /// The connection broke after the first byte was sent: the upstream may have run the request.
    BrokeAfter,
    /// The reply was truncated, malformed, too large, or echoed another attempt.
    BadReply,
    /// The upstream refused before running: no slot was free.
    Shed,
    /// The upstream refused before running: it is draining.
    Draining,
    /// The upstream refused before running: it no longer holds the snapshot.
    SnapshotGone,
    /// The upstream refused before running: it no longer serves the range.
    RangeGone,
    /// The upstream refused before running: the deadline had passed.
    Late,
    /// The upstream ran the request and failed.
    RanFailed,
}

impl AttemptFailure {
    /// Whether the failure suggests that the upstream itself is down.
    pub fn indicates_replica_loss(self) -> bool {
        matches!(self, Self::ConnectFailed | Self::BrokeAfter)
    }

    /// Whether the failure guarantees that the request did not run.
    pub fn guarantees_not_run(self) -> bool {
        !matches!(self, Self::BrokeAfter | Self::BadReply | Self::RanFailed)
    }
}
