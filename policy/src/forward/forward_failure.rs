//! Failures of attempts.

/// Why an attempt ended without a reply.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ForwardFailure {
    /// The connection could not be opened, so the request was not sent.
    Unconnected,
    /// The connection ended before the reply was complete. The request may have run.
    Broken,
    /// The same on a connection that has carried no request before. A replica that has too many
    /// connections resets new ones.
    BrokenNew,
    /// The response is not a valid reply to this request. The request may have run.
    Garbled,
}

impl ForwardFailure {
    /// Whether the connection ended before the reply was complete.
    pub fn is_broken(self) -> bool {
        matches!(self, Self::Broken | Self::BrokenNew)
    }

    /// The failure's name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unconnected => "unconnected",
            Self::Broken | Self::BrokenNew => "broken",
            Self::Garbled => "garbled",
        }
    }
}
