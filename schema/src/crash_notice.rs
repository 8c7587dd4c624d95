//! Crashes of replicas under a request, as daemons report them to each other.

use smallvec::SmallVec;

use crate::{
    peer::CrashNote,
    CrashTally,
    QueryPrint,
    ReplicaName,
    TallyList,
    TimePoint, //
};

/// The messages have no fields of their own for the trials, since daemons of earlier builds can't skip
/// fields. The high bytes of both counts hold them, so that the difference of the counts, which
/// those builds use, stays the same.
const COUNT_MASK: u32 = 0xffff;
const TRIALS_SHIFT: u32 = 16;
const PASSED_SHIFT: u32 = 24;
const TRIALS_MASK: u32 = 0xff;

/// Crashes of replicas under a request that callers send again under other ids.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CrashNotice {
    /// Fingerprint of the request, with or without its caller.
    pub print: QueryPrint,
    /// Crashes of which each came after the previous one was known.
    pub crashes: u32,
    /// How many of them no longer count, because the request has succeeded since.
    pub forgiven: u32,
    /// Times that the request was sent on since it has crashed enough replicas to be refused.
    pub trials: u32,
    /// How many of them a replica ran to the end.
    pub passed: u32,
    /// Hash of the address of the caller whose request crashed a replica last; 0 if the fingerprint
    /// contains the caller.
    pub caller: u64,
    /// Distinct replicas that crashed under the request, at most [`Self::REPLICAS_MAX`], the last ones
    /// first; also those whose crashes don't count because they may have one cause.
    pub replicas: SmallVec<[ReplicaName; 3]>,
    /// When the request may run again; in the past if it is not refused.
    pub refused_until: TimePoint,
    /// When the crashes are forgotten.
    pub expires_at: TimePoint,
    /// Where the crashes happened, at most [`Self::TALLIES_MAX`]. Several of them may be of one
    /// crash, which counts once above.
    pub tallies: TallyList,
}

impl CrashNotice {
    /// Largest number of replicas in a notice: with names of the greatest length, it still fits into
    /// a datagram.
    pub const REPLICAS_MAX: usize = 3;
    /// Largest number of tallies in a notice.
    pub const TALLIES_MAX: usize = 6;
    /// Times that a refused request may be sent on, over all daemons and for as long as it comes.
    pub const TRIALS_MAX: u32 = 3;

    /// Times that the request may still be sent on if it is refused.
    pub fn trials_left(&self) -> u32 {
        Self::TRIALS_MAX.saturating_sub(self.trials.saturating_sub(self.passed))
    }

    /// Crashes that count against the request.
    pub fn evidence(&self) -> u32 {
        self.crashes.saturating_sub(self.forgiven)
    }

    /// How far the trials have come: a notice with a higher stage knows of a later one.
    pub fn stage(&self) -> u32 {
        self.trials + self.passed
    }

    /// Converts a received message. Names that are not valid are left out.
    pub fn from_note(note: &CrashNote) -> Self {
        let names = note.replicas.iter().filter_map(|name| name.parse().ok());
        Self {
            print: QueryPrint::from_halves(note.print_high, note.print_low),
            crashes: note.crashes & COUNT_MASK,
            forgiven: (note.forgiven & COUNT_MASK).min(note.crashes & COUNT_MASK),
            trials: (note.crashes >> TRIALS_SHIFT) & TRIALS_MASK,
            passed: (note.crashes >> PASSED_SHIFT) & TRIALS_MASK,
            caller: note.caller,
            replicas: names.take(Self::REPLICAS_MAX).collect(),
            refused_until: TimePoint(note.refused_until_us),
            expires_at: TimePoint(note.expires_us),
            tallies: note
                .tallies
                .iter()
                .take(Self::TALLIES_MAX)
                .map(CrashTally::from_note)
                .collect(),
        }
    }

    /// Converts the notice to a message.
    pub fn to_note(&self) -> CrashNote {
        let (print_high, print_low) = self.print.halves();
        let trials = self.trials.min(TRIALS_MASK) << TRIALS_SHIFT
            | self.passed.min(TRIALS_MASK) << PASSED_SHIFT;
        CrashNote {
            print_high,
            print_low,
            crashes: self.crashes.min(COUNT_MASK) | trials,
            forgiven: self.forgiven.min(COUNT_MASK) | trials,
            caller: self.caller,
            replicas: self.replicas.iter().map(ReplicaName::to_string).collect(),
            refused_until_us: self.refused_until.0,
            expires_us: self.expires_at.0,
            tallies: self.tallies.iter().map(|tally| tally.to_note()).collect(),
        }
    }
}
