//! The answer of a daemon that is asked how many relayed requests it takes.

/// Why a daemon forwards no requests for another one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RelayRefusal {
    /// It has lost its own links to the replicas, or suspects so.
    Stranded,
    /// It starts or stops.
    NotReady,
    /// It has no room beside the requests of its own callers.
    NoRoom,
    /// Its route table is older than that of the other daemon.
    OldTable,
    /// Its route table is newer than that of the other daemon, which could serve the request itself.
    NewTable,
    /// It did not answer.
    NoAnswer,
}

impl RelayRefusal {
    /// The name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Stranded => "stranded",
            Self::NotReady => "not_ready",
            Self::NoRoom => "no_room",
            Self::OldTable => "old_table",
            Self::NewTable => "new_table",
            Self::NoAnswer => "no_answer",
        }
    }
}

/// The answer to the question how many relayed requests a daemon takes.
pub type RelayOffer = Result<u32, RelayRefusal>;
