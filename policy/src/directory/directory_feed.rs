//! The directory as this daemon keeps it: where it reads it, what is in force, what it tells.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration, //
};

use schema::{
    BundleVersion,
    DaemonName,
    DirectoryEvent,
    RegionName,
    TimePoint,
    ZoneName, //
};

use super::{
    feed_log::FeedLog,
    feed_plan::{
        FeedPlan,
        FeedSource, //
    },
    DirectoryBook,
    FeedAnswer,
    FeedPage,
    FeedPeer,
    FeedStep, //
};

/// Pause between two readings of changes from the store. Replicas renew their registrations all the
/// time, so that a watch never waits: the pause decides how many calls are made. With the time in
/// which a dead reader is noticed it stays within the 3 s in which a drain takes effect.
const READ_PERIOD: Duration = Duration::from_millis(1_000);
/// Time after which all is read, not the changes: renewals of a long time take longer to read.
const GAP_PERIOD: Duration = Duration::from_secs(4);
/// Age from which what was read is not passed on: two readings and the time of a call.
const FRESH_PERIOD: Duration = Duration::from_millis(1_600);
/// Longest time for which a question of another daemon waits for news.
const HOLD_PERIOD: Duration = Duration::from_millis(1_000);
/// Longest wait for a reader, which holds a question for a second at most.
const READER_PATIENCE: Duration = Duration::from_millis(1_500);
/// The same for a daemon that is not ready yet: a reader that has nothing to hold back answers within a
/// few round trips, and one that has lost its power with it never does.
const START_PATIENCE: Duration = Duration::from_millis(200);

/// The directory as this daemon keeps it.
#[derive(Clone, Debug)]
pub struct DirectoryFeed {
    book: DirectoryBook,
    log: FeedLog,
    plan: FeedPlan,
    revision: Option<u64>,
    /// When the store was last read by this daemon itself.
    read_at: Option<TimePoint>,
    /// When anything was last read.
    told_at: TimePoint,
    /// When the store is read again after it answered; the plan knows when after it did not.
    next_read: TimePoint,
}

impl DirectoryFeed {
    /// The feed of the daemon `own`, which has read nothing.
    pub fn new(own: FeedPeer, regions: BTreeMap<ZoneName, RegionName>) -> Self {
        Self {
            book: DirectoryBook::default(),
            log: FeedLog::default(),
            plan: FeedPlan::new(own, regions),
            revision: None,
            read_at: None,
            told_at: TimePoint(0),
            next_read: TimePoint(0),
        }
    }

    /// Takes the other live daemons over.
    pub fn set_peers(&mut self, peers: Vec<FeedPeer>) {
        self.plan.set_peers(peers);
    }

    /// Whether a table and a whole list of replicas have been read.
    pub fn is_ready(&self) -> bool {
        self.book.is_ready()
    }

    /// Version of the table in force.
    pub fn version(&self) -> Option<BundleVersion> {
        self.book.version()
    }

    /// What to do next.
    pub fn step(&mut self, now: TimePoint) -> FeedStep {
        match self.plan.source(now) {
            FeedSource::Store if now < self.next_read => FeedStep::Rest {
                until: self.next_read,
            },
            FeedSource::Store => match self.revision {
                Some(after) if now.since(self.told_at) < GAP_PERIOD => {
                    FeedStep::ReadChanges { after }
                }
                _ => FeedStep::ReadAll,
            },
            FeedSource::Peer(peer) => FeedStep::AskPeer {
                daemon: peer.daemon,
                address: peer.address,
                after: self.revision,
                patience: match self.is_ready() {
                    true => READER_PATIENCE,
                    false => START_PATIENCE,
                },
            },
            FeedSource::Nobody(until) => FeedStep::Rest { until },
        }
    }

    /// Takes in a page that was read from the store; gives what takes effect. True where the store
    /// had not answered before.
    pub fn store_read(&mut self, now: TimePoint, page: FeedPage) -> (Vec<DirectoryEvent>, bool) {
        self.plan.store_answered();
        self.read_at = Some(now);
        self.next_read = now + READ_PERIOD;
        let back = self.book.store_answered(now);
        (self.take_page(now, page), back)
    }

    /// Notes that the store did not answer; true where it did before.
    pub fn store_failed(&mut self, now: TimePoint) -> bool {
        self.read_at = None;
        self.next_read = TimePoint(0);
        self.plan.store_failed(now);
        self.book.store_lost()
    }

    /// Notes that the store has dropped the changes since the revision known.
    pub fn history_gone(&mut self) {
        self.revision = None;
        self.next_read = TimePoint(0);
    }

    /// Takes in a page that a reader told; gives what takes effect. True where the store had been
    /// lost.
    pub fn peer_told(&mut self, now: TimePoint, page: FeedPage) -> (Vec<DirectoryEvent>, bool) {
        self.read_at = None;
        let back = self.book.store_answered(now);
        // A reader that is behind tells what has changed since.
        if self.revision.is_some_and(|known| page.revision < known) {
            self.told_at = now;
            return (Vec::new(), back);
        }
        (self.take_page(now, page), back)
    }

    /// Notes that a reader did not answer or is stale itself.
    pub fn peer_failed(&mut self, now: TimePoint, daemon: &DaemonName) {
        self.plan.peer_failed(now, daemon);
        self.next_read = TimePoint(0);
    }

    /// What to tell a daemon that knows the directory up to `after` and asked at `asked`.
    pub fn answer(&self, now: TimePoint, after: Option<u64>, asked: TimePoint) -> FeedAnswer {
        let fresh = self.read_at.is_some_and(|at| now.since(at) < FRESH_PERIOD);
        if !fresh || !self.is_ready() {
            return FeedAnswer::Stale;
        }
        let page = self.log.page(after);
        let due = asked + HOLD_PERIOD;
        if page.events.is_empty() && now < due {
            return FeedAnswer::Wait(due);
        }
        FeedAnswer::Page(page)
    }

    /// When [`Self::wake`] is due.
    pub fn next_wakeup(&self) -> TimePoint {
        self.book.next_wakeup()
    }

    /// Gives what takes effect by time alone.
    pub fn wake(&mut self, now: TimePoint) -> Vec<DirectoryEvent> {
        self.book.wake(now)
    }

    fn take_page(&mut self, now: TimePoint, page: FeedPage) -> Vec<DirectoryEvent> {
        if page.whole {
            self.log.restart(page.revision);
        }
        self.log.reach(page.revision);
        self.told_at = now;
        self.revision = Some(page.revision);
        let mut names = BTreeSet::new();
        let mut effects = Vec::new();
        for event in page.events {
            self.log.push(page.revision, event.clone());
            let effect = match event {
                DirectoryEvent::Table(table) => self.book.take_table(*table),
                DirectoryEvent::Seen(entry) => {
                    names.insert(entry.name.clone());
                    self.book.take_entry(entry)
                }
                DirectoryEvent::Gone(name) => self.book.take_removal(now, &name),
            };
            effects.extend(effect);
        }
        if page.whole {
            effects.extend(self.book.take_list(now, &names));
        }
        effects
    }
}
