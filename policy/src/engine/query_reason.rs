//! Reasons in answers.

use std::fmt;

/// Why an answer, or a part of it, is missing. The text form is stable.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum QueryReason {
    /// The bundle has no such service group.
    UnknownGroup,
    /// The deadline had passed or could not be met.
    Deadline,
    /// The request could not be served in time because of overload.
    Overload,
    /// The end user had more than its share of waiting requests.
    UserOverShare,
    /// No replica of the range could be reached.
    Unreachable,
    /// No replica of the range held the answer's snapshot.
    SnapshotGone,
    /// The range was moving between shards.
    RangeMoved,
    /// The query has crashed upstreams.
    Quarantined,
    /// Every upstream tried refused for lack of a free slot.
    Shed,
    /// A reply did not arrive in time.
    Straggler,
    /// The upstream ran the request and failed.
    UpstreamFailed,
    /// The connection broke after the request was sent.
    ConnectionLost,
    /// The request has no idempotency key but its group requires one.
    KeyMissing,
    /// The idempotency key is claimed and its outcome is not known.
    KeyTaken,
    /// The idempotency key is older than the window in which keys are kept.
    KeyTooOld,
    /// The store that holds idempotency keys can't be reached.
    StoreDown,
    /// The daemon has no bundle or is stopping.
    NotServing,
    /// The charges that wait for the store have reached their bound.
    ChargesFull,
}

impl QueryReason {
    /// Returns the stable text form.
    pub fn code(self) -> &'static str {
        match self {
            Self::UnknownGroup => "unknown_group",
            Self::Deadline => "deadline",
            Self::Overload => "overload",
            Self::UserOverShare => "user_over_share",
            Self::Unreachable => "unreachable",
            Self::SnapshotGone => "snapshot_gone",
            Self::RangeMoved => "range_moved",
            Self::Quarantined => "quarantined",
            Self::Shed => "shed",
            Self::Straggler => "straggler",
            Self::UpstreamFailed => "upstream_failed",
            Self::ConnectionLost => "connection_lost",
            Self::KeyMissing => "key_missing",
            Self::KeyTaken => "key_taken",
            Self::KeyTooOld => "key_too_old",
            Self::StoreDown => "store_down",
            Self::NotServing => "not_serving",
            Self::ChargesFull => "charges_full",
        }
    }
}

impl fmt::Display for QueryReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.code())
    }
}
