//! Membership states of a daemon.

use std::fmt;

/// Membership state of a daemon as seen by another. Between entries of the same incarnation and
/// revision, the later variant takes precedence.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum MemberState {
    /// The daemon serves queries.
    #[default]
    Alive,
    /// The daemon did not answer a probe and may be dead.
    Suspect,
    /// The daemon announced that it is shutting down.
    Leaving,
    /// The daemon is considered gone: it did not refute a suspicion in time, has been leaving for
    /// `PeerSettings::dead_retention`, or was dropped from the VM list.
    Dead,
}

impl MemberState {
    /// Number of the state in peer messages.
    pub fn code(self) -> u32 {
        self as u32
    }

    /// State with the number `code` in peer messages; `None` if there is no such state.
    pub fn from_code(code: u32) -> Option<Self> {
        let states = [Self::Alive, Self::Suspect, Self::Leaving, Self::Dead];
        states.into_iter().find(|state| state.code() == code)
    }
}

impl fmt::Display for MemberState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Alive => "alive",
            Self::Suspect => "suspect",
            Self::Leaving => "leaving",
            Self::Dead => "dead",
        })
    }
}
