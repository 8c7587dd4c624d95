//! What a fingerprint of a request stands for.

/// The requests whose crashes are counted together.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashScope {
    /// One form of a request of one caller.
    Form,
    /// All forms of a request of one caller.
    Path,
    /// One form of a request of any caller.
    Content,
}

impl CrashScope {
    /// The name in the log.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Form => "form",
            Self::Path => "path",
            Self::Content => "content",
        }
    }
}
