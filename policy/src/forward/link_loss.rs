//! The loss of the links to all replicas.

use std::time::Duration;

/// How the links were lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkLoss {
    /// Replicas owe replies and send none.
    Silent,
    /// New connections fail; open ones may live on.
    Unconnected,
}

impl LinkLoss {
    /// The name in logs and in the status.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Silent => "silent",
            Self::Unconnected => "unconnected",
        }
    }
}

/// By what the daemon believes that the links are lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LossEvidence {
    /// How they were lost.
    pub loss: LinkLoss,
    /// Replicas that owe a reply.
    pub owing: usize,
    /// Replicas to which connections failed.
    pub unconnected: usize,
    /// Time since the last reply of any replica; since the start of the clock if there was none.
    pub silent_for: Duration,
}
