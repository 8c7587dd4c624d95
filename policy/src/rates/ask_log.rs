//! Numbers of questions: those that have no answer yet, and those that were answered.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use schema::{
    DaemonName,
    TimePoint, //
};

/// Time after which an answer is no longer waited for.
const ANSWER_MAX: Duration = Duration::from_secs(10);
/// Time without questions after which an earlier run of a process may ask, whose clock was set back since.
const RUN_PERIOD: Duration = Duration::from_secs(5);

/// A question without an answer.
#[derive(Clone, Debug)]
pub(super) struct OpenAsk {
    /// The daemon that was asked.
    pub(super) to: DaemonName,
    /// When it was asked.
    pub(super) asked_at: TimePoint,
}

/// The questions of this daemon that have no answer yet.
#[derive(Clone, Debug, Default)]
pub(super) struct AskLog {
    last: u64,
    open: BTreeMap<u64, OpenAsk>,
}

impl AskLog {
    /// Numbers a question.
    pub(super) fn open(&mut self, now: TimePoint, to: DaemonName) -> u64 {
        while let Some(entry) = self.open.first_entry() {
            if now.since(entry.get().asked_at) < ANSWER_MAX {
                break;
            }
            entry.remove();
        }
        self.last += 1;
        self.open.insert(self.last, OpenAsk { to, asked_at: now });
        self.last
    }

    /// The question that an answer of `from` is for; `None` if it has been answered.
    pub(super) fn close(
        &mut self,
        now: TimePoint,
        from: &DaemonName,
        sequence: u64,
    ) -> Option<OpenAsk> {
        let asked = self.open.get(&sequence).filter(|asked| asked.to == *from)?;
        let recent = now.since(asked.asked_at) < ANSWER_MAX;
        self.open.remove(&sequence).filter(|_| recent)
    }

    /// Forgets all questions.
    pub(super) fn clear(&mut self) {
        self.open.clear();
    }
}

/// The questions of another daemon that were answered, so that a repeated datagram grants nothing twice.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AskWindow {
    incarnation: u64,
    highest: u64,
    /// Bit n is set if the question `highest` - n was answered.
    answered: u64,
    asked_at: TimePoint,
}

impl AskWindow {
    /// Notes a question; returns false if it was answered before, or may have been.
    pub(super) fn accept(&mut self, now: TimePoint, incarnation: u64, sequence: u64) -> bool {
        if incarnation != self.incarnation {
            if incarnation < self.incarnation && now.since(self.asked_at) < RUN_PERIOD {
                return false;
            }
            *self = Self {
                incarnation,
                ..Self::default()
            };
        }
        if sequence > self.highest {
            let ahead = sequence - self.highest;
            let shifted = u32::try_from(ahead).ok();
            let shifted = shifted.and_then(|ahead| self.answered.checked_shl(ahead));
            self.answered = shifted.unwrap_or(0) | 1;
            self.highest = sequence;
        } else {
            let bit = 1_u64.checked_shl(u32::try_from(self.highest - sequence).unwrap_or(u32::MAX));
            match bit {
                Some(bit) if self.answered & bit == 0 => self.answered |= bit,
                _ => return false,
            }
        }
        self.asked_at = now;
        true
    }

    /// When the other daemon asked last.
    pub(super) fn asked_at(&self) -> TimePoint {
        self.asked_at
    }
}
