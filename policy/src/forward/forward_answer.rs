//! Answers to callers.

use std::{
    fmt,
    time::Duration, //
};

use bytes::Bytes;
use compact_str::CompactString;
use schema::AttemptId;

use super::RelayRefusal;

/// Why a request is answered with an error instead of a replica's reply.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RefusalReason {
    /// Too few of the services that the request needs have a usable replica.
    NoReplica,
    /// Too few of the services that the request needs have a usable replica in one of its home regions,
    /// though others have.
    NoHome,
    /// All data centres of a service that the request needs are evacuated.
    Evacuated,
    /// The queues are too long for the request's latency goal, or no replica ran it before its
    /// deadline.
    Overload,
    /// The replicas have reached the limits that they name.
    Limited,
    /// The replicas want a rest.
    Resting,
    /// Replicas failed the request or broke the connection.
    UpstreamFailed,
    /// Fewer shards replied than the route needs.
    FewShards,
    /// The request's deadline passed.
    Deadline,
    /// The request has crashed several replicas.
    Quarantined,
    /// This daemon has lost its links to the replicas, and no other one takes the request.
    Stranded,
    /// The quota of the client account is used up.
    Quota,
    /// The API key was revoked before the request was sent.
    KeyRevoked,
}

impl RefusalReason {
    /// The reason's name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoReplica => "no_replica",
            Self::NoHome => "no_home",
            Self::Evacuated => "evacuated",
            Self::Overload => "overload",
            Self::Limited => "limited",
            Self::Resting => "resting",
            Self::UpstreamFailed => "upstream_failed",
            Self::FewShards => "few_shards",
            Self::Deadline => "deadline",
            Self::Quarantined => "quarantined",
            Self::Stranded => "stranded",
            Self::Quota => "quota",
            Self::KeyRevoked => "key_revoked",
        }
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The answer to a caller's request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ForwardAnswer {
    /// The reply to an attempt, passed on unchanged.
    Relayed {
        /// The attempt whose reply is passed on.
        attempt: AttemptId,
    },
    /// The greatest records of the shards that replied.
    Merged {
        /// Signatures of the merged replies, in the order of the shards.
        stamps: Vec<CompactString>,
        /// Positions of these shards among those that were asked.
        shards: Vec<u32>,
        /// Number of shards that did not reply and are left out.
        missing: usize,
        /// The merged records, greatest first.
        records: Bytes,
    },
    /// No replica ran the request, and none will.
    NotRun {
        /// Why the request was not run.
        reason: RefusalReason,
        /// Time after which the caller should retry.
        retry_after: Duration,
    },
    /// This daemon does not take the request that another one has relayed. No replica ran it.
    Declined {
        /// Why it does not.
        refusal: RelayRefusal,
    },
    /// The request may have run, but there is no reply to pass on.
    Failed {
        /// Why there is no reply.
        reason: RefusalReason,
    },
}
