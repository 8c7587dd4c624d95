//! Answers to callers.

use std::{
    fmt,
    time::Duration, //
};

use bytes::Bytes;
use compact_str::CompactString;
use schema::AttemptId;

/// Why a request has no answer of a replica.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RefusalReason {
    /// No replica of a service that it needs is up.
    NoReplica,
    /// It could not be served in time.
    Overload,
    /// Replicas ran it and failed, or broke off.
    UpstreamFailed,
    /// Too few shards replied.
    FewShards,
    /// Its time is over.
    Deadline,
}

impl RefusalReason {
    /// The name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoReplica => "no_replica",
            Self::Overload => "overload",
            Self::UpstreamFailed => "upstream_failed",
            Self::FewShards => "few_shards",
            Self::Deadline => "deadline",
        }
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The answer to a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ForwardAnswer {
    /// The reply to an attempt, as it is.
    Relayed {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The greatest records of the shards that replied.
    Merged {
        /// Signatures of their replies.
        stamps: Vec<CompactString>,
        /// Shards that are left out.
        missing: usize,
        /// The records.
        records: Bytes,
    },
    /// No replica ran the request, nor will one.
    NotRun {
        /// Why.
        reason: RefusalReason,
        /// When to ask again.
        retry_after: Duration,
    },
    /// The request may have run and brought nothing.
    Failed {
        /// Why.
        reason: RefusalReason,
    },
}
