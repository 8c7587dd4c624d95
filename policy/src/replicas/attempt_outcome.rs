//! Outcomes of attempts, as reported to the pool of replicas.

use std::time::Duration;

use crate::engine::AttemptFailure;

/// How an attempt ended, and how long after it was sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// A usable reply arrived.
    Replied {
        /// Time from sending to the last byte of the reply.
        latency: Duration,
    },
    /// The attempt failed without a usable reply.
    Failed {
        /// Cause of the failure.
        failure: AttemptFailure,
        /// Time from sending to the failure.
        latency: Duration,
    },
    /// The daemon cancelled the attempt because its reply was no longer needed, for example after
    /// another attempt had replied or the caller had disconnected.
    Cancelled {
        /// Time from sending to the cancellation.
        latency: Duration,
    },
}

impl AttemptOutcome {
    /// Time from sending to the end, whatever the outcome.
    pub fn latency(self) -> Duration {
        match self {
            Self::Replied { latency }
            | Self::Failed { latency, .. }
            | Self::Cancelled { latency } => latency,
        }
    }
}
