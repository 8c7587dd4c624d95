//! Failures of attempts.

/// Why an attempt brought no reply.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ForwardFailure {
    /// No connection: nothing was sent.
    Unconnected,
    /// The connection ended before the reply was whole: it may have run.
    Broken,
    /// What came is no reply to this request: it may have run.
    Garbled,
}

impl ForwardFailure {
    /// The name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unconnected => "unconnected",
            Self::Broken => "broken",
            Self::Garbled => "garbled",
        }
    }
}
