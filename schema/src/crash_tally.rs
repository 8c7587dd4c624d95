//! Where the crashes under a request happened.

use smallvec::SmallVec;

use crate::peer::CrashTallyNote;

/// One form of a request at one service. Callers may vary the form of a request that they send again.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CrashSite {
    /// Hash of the parts of the request that its fingerprint leaves out. 0 if the fingerprint contains them;
    /// among other forms, 0 stands for several.
    pub variant: u32,
    /// Hash of the service's name. 0 stands for several services.
    pub service: u32,
}

/// Crashes under one form of a request at one service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CrashTally {
    /// Where they happened.
    pub site: CrashSite,
    /// Crashes of which each came after the previous one was known.
    pub crashes: u32,
    /// How many of them no longer count, because the request has succeeded there since.
    pub forgiven: u32,
}

/// A short list of tallies, each of another site.
pub type TallyList = SmallVec<[CrashTally; 2]>;

impl CrashTally {
    /// Crashes that count.
    pub fn evidence(&self) -> u32 {
        self.crashes.saturating_sub(self.forgiven)
    }

    /// Converts a received message.
    pub(crate) fn from_note(note: &CrashTallyNote) -> Self {
        Self {
            site: CrashSite {
                variant: note.variant,
                service: note.service,
            },
            crashes: note.crashes,
            forgiven: note.forgiven.min(note.crashes),
        }
    }

    /// Converts the tally to a message.
    pub(crate) fn to_note(self) -> CrashTallyNote {
        CrashTallyNote {
            variant: self.site.variant,
            service: self.site.service,
            crashes: self.crashes,
            forgiven: self.forgiven,
        }
    }
}
