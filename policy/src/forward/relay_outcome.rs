//! Outcomes of relays.

use super::{
    forward_reply::is_refusal,
    RelayRefusal, //
};

/// How the relay of a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RelayOutcome {
    /// The other daemon answered with this HTTP status.
    Answered(u16),
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
            Self::Answered(status) if is_refusal(status) => "ran_refused",
            Self::Answered(_) => "answered",
            Self::NotRun => "not_run",
            Self::Declined(refusal) => refusal.as_str(),
            Self::Broken => "broken",
        }
    }
}
