//! Answers to requests.

use std::{
    fmt,
    time::Duration, //
};

use schema::{
    BundleVersion,
    ChargeUnits,
    KeySpan,
    SnapshotId,
    SpanSet, //
};

use super::{
    QueryReason,
    ResultItem, //
};

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum AnswerOutcome {
    /// The answer covers the whole key space.
    Complete,
    /// The answer covers part of the key space.
    Partial,
    /// No upstream ran the request: it may be sent again.
    NotRun,
    /// An upstream ran the request and failed.
    RanFailed,
    /// The request may have run, but no result is known.
    Unknown,
}

impl fmt::Display for AnswerOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Complete => "complete",
            Self::Partial => "partial",
            Self::NotRun => "not_run",
            Self::RanFailed => "ran_failed",
            Self::Unknown => "unknown",
        })
    }
}

/// The answer to a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueryAnswer {
    /// How the request ended.
    pub outcome: AnswerOutcome,
    /// Main reason why the answer is not complete; `None` for a complete one.
    pub reason: Option<QueryReason>,
    /// Delay before a retry; `None` where a retry can't succeed or is not needed.
    pub retry_after: Option<Duration>,
    /// Snapshot that every item comes from; 0 in an answer without results.
    pub snapshot: SnapshotId,
    /// Keys covered by the results.
    pub covered: SpanSet,
    /// Keys not covered, with the reason for each range.
    pub missing: Vec<(KeySpan, QueryReason)>,
    /// Results in key order.
    pub items: Vec<ResultItem>,
    /// Units to charge the end user.
    pub charge: ChargeUnits,
    /// Version of the bundle that the request ran under.
    pub bundle: BundleVersion,
    /// Sub-queries sent, hedges and retries included.
    pub sent: u32,
    /// Hedges and retries sent.
    pub extra: u32,
}

impl QueryAnswer {
    /// Creates the answer to a request that no upstream ran.
    pub fn not_run(
        reason: QueryReason,
        retry_after: Option<Duration>,
        bundle: BundleVersion,
    ) -> Self {
        Self {
            outcome: AnswerOutcome::NotRun,
            reason: Some(reason),
            retry_after,
            snapshot: SnapshotId(0),
            covered: SpanSet::default(),
            missing: vec![(KeySpan::ALL, reason)],
            items: Vec::new(),
            charge: ChargeUnits(0),
            bundle,
            sent: 0,
            extra: 0,
        }
    }
}
