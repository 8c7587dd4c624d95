//! The decision about a request by its API key.

use std::sync::Arc;

use schema::AccountSpec;

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum KeyFault {
    /// It has no key, and its route is not public.
    Missing,
    /// Its key belongs to no account, or can't be a key.
    Unknown,
}

impl KeyFault {
    /// The name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Missing => "missing_key",
            Self::Unknown => "unknown_key",
        }
    }
}

/// The decision about a request by its API key.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyDecision {
    /// No account is configured, so its headers are passed on as they are.
    Unchecked,
    /// It is served for this account; `None` on a public route without a key.
    Admitted(Option<Arc<AccountSpec>>),
    /// It is answered with 401.
    Refused(KeyFault),
}
