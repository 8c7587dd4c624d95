//! Which reads of the directory are started, and when.
//!
//! A daemon waits for one other daemon at a time. A read of the store that is due does not wait for that
//! call, and a silent daemon is tried beside both, so that no source can delay another one.

use std::time::Duration;

use schema::{
    DaemonName,
    TimePoint, //
};
use smallvec::SmallVec;

use super::{
    source_selector::FeedSource,
    DirectoryFeed,
    FeedPeer,
    FeedStep, //
};

/// Age of the last read from which the whole directory is read instead of the changes: the renewals
/// of a longer time take longer to read than the directory itself.
const CHANGES_GAP_MAX: Duration = Duration::from_secs(4);
/// Longest wait for the answer of a reader, which keeps a call open for that time at most.
const READER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The same for a daemon that is not ready yet. A reader with something to send answers within a
/// few round trips, and one that lost power together with this daemon never answers.
const START_TIMEOUT: Duration = Duration::from_millis(200);

impl DirectoryFeed {
    /// Returns the reads to start now, and counts them as started. A read of the store does not wait for
    /// that of another daemon, and a trial of a silent one delays neither.
    pub fn due_reads(&mut self, now: TimePoint) -> SmallVec<[FeedStep; 3]> {
        let mut steps = SmallVec::new();
        if !self.store_pending && now >= self.store_due_at() {
            self.store_pending = true;
            steps.push(self.store_step(now));
        }
        if self.asked.is_none() {
            let step = self.next_step(now);
            match &step {
                FeedStep::AskPeer { daemon, .. } => {
                    self.asked = Some(daemon.clone());
                    steps.push(step);
                }
                FeedStep::ReadAll | FeedStep::ReadChanges { .. } if !self.store_pending => {
                    self.store_pending = true;
                    steps.push(step);
                }
                _ => {}
            }
        }
        if self.tried.is_none() {
            if let Some(peer) = self.selector.trial(now) {
                self.tried = Some(peer.daemon.clone());
                steps.push(self.ask_step(peer));
            }
        }
        steps
    }

    /// When [`Self::due_reads`] has a read, unless one that is pending ends before.
    pub fn next_read_at(&mut self, now: TimePoint) -> TimePoint {
        let store = match self.store_pending {
            true => TimePoint::NEVER,
            false => self.store_due_at(),
        };
        let step = match self.asked {
            Some(_) => TimePoint::NEVER,
            None => match self.next_step(now) {
                FeedStep::Wait { until } => until,
                FeedStep::AskPeer { .. } => now,
                _ if self.store_pending => TimePoint::NEVER,
                _ => now,
            },
        };
        let trial = match self.tried {
            Some(_) => TimePoint::NEVER,
            None => self.selector.next_trial_at(now),
        };
        store.min(step).min(trial)
    }

    /// Records that a read of the store has ended, before its result is applied.
    pub fn store_read_ended(&mut self) {
        self.store_pending = false;
    }

    /// Records that a call to another daemon has ended, before its result is applied.
    pub fn call_ended(&mut self, daemon: &DaemonName) {
        for pending in [&mut self.asked, &mut self.tried] {
            pending.take_if(|asked| asked == daemon);
        }
    }

    /// Returns the next read from the source that this daemon uses.
    pub fn next_step(&mut self, now: TimePoint) -> FeedStep {
        match self.selector.source(now, self.known_at) {
            FeedSource::Store if now < self.next_store_read => FeedStep::Wait {
                until: self.next_store_read,
            },
            FeedSource::Store => self.store_step(now),
            FeedSource::Peer(peer) => self.ask_step(peer),
            FeedSource::Wait(until) => FeedStep::Wait { until },
        }
    }

    fn store_step(&self, now: TimePoint) -> FeedStep {
        match self.known_position() {
            Some(after) if now.since(self.updated_at) < CHANGES_GAP_MAX => FeedStep::ReadChanges {
                after: after.revision,
            },
            _ => FeedStep::ReadAll,
        }
    }

    fn ask_step(&self, peer: FeedPeer) -> FeedStep {
        FeedStep::AskPeer {
            daemon: peer.daemon,
            address: peer.address,
            after: self.known_position(),
            timeout: match self.is_ready() {
                true => READER_TIMEOUT,
                false => START_TIMEOUT,
            },
        }
    }

    /// When this daemon reads the store even if it waits for another one. Before the first read it waits.
    fn store_due_at(&self) -> TimePoint {
        if self.known_at.is_none() {
            return TimePoint::NEVER;
        }
        let due = self.selector.store_due_at(self.known_at);
        due.max(self.next_store_read)
    }
}
