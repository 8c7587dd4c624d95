//! Whether a charge was copied before its answer was delivered.

use std::fmt;

/// Whether a charge was copied before its answer was delivered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CopyState {
    /// Peers hold a copy, or the charge is in the store.
    Copied,
    /// No peer was available to hold a copy, or a chosen peer did not acknowledge it in time.
    Uncopied,
}

impl fmt::Display for CopyState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Copied => "copied",
            Self::Uncopied => "uncopied",
        })
    }
}
