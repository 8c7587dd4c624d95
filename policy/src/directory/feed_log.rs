//! Changes of the directory that other daemons may ask for.

use std::collections::{
    BTreeMap,
    VecDeque, //
};

use schema::{
    DirectoryEvent,
    ReplicaEntry,
    ReplicaName,
    RouteTable, //
};

use super::FeedPage;

/// Changes that are kept. A daemon that is further behind gets the whole directory.
const CHANGES_MAX: usize = 512;

/// The directory as it was read, with its latest changes.
#[derive(Clone, Debug, Default)]
pub(super) struct FeedLog {
    revision: u64,
    /// All changes after this revision are kept.
    floor: u64,
    changes: VecDeque<(u64, DirectoryEvent)>,
    table: Option<Box<RouteTable>>,
    entries: BTreeMap<ReplicaName, ReplicaEntry>,
}

impl FeedLog {
    /// Starts over with a whole directory that was read.
    pub(super) fn restart(&mut self, revision: u64) {
        self.revision = revision;
        self.floor = revision;
        self.changes.clear();
        self.entries.clear();
    }

    /// Notes that the directory was read up to `revision`.
    pub(super) fn reach(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Adds a change that was read at `revision`; one that changes nothing is left out.
    pub(super) fn push(&mut self, revision: u64, change: DirectoryEvent) {
        match &change {
            DirectoryEvent::Table(table) => {
                let older = |known: &RouteTable| known.version >= table.version;
                if self.table.as_deref().is_some_and(older) {
                    return;
                }
                self.table = Some(table.clone());
                // Only the newest table matters.
                let is_table = |change: &DirectoryEvent| matches!(change, DirectoryEvent::Table(_));
                self.changes.retain(|(_, change)| !is_table(change));
            }
            DirectoryEvent::Seen(entry) => {
                let old = self.entries.insert(entry.name.clone(), entry.clone());
                if old.as_ref() == Some(entry) {
                    return;
                }
            }
            DirectoryEvent::Gone(name) => {
                self.entries.remove(name);
            }
        }
        self.changes.push_back((revision, change));
        while self.changes.len() > CHANGES_MAX {
            if let Some((revision, _)) = self.changes.pop_front() {
                self.floor = revision;
            }
        }
    }

    /// The changes since `after`, or the whole directory.
    pub(super) fn page(&self, after: Option<u64>) -> FeedPage {
        if let Some(after) = after.filter(|after| *after >= self.floor) {
            let news = self
                .changes
                .iter()
                .filter(|(revision, _)| *revision > after);
            return FeedPage {
                revision: self.revision,
                whole: false,
                events: news.map(|(_, change)| change.clone()).collect(),
            };
        }
        let table = self.table.iter().cloned().map(DirectoryEvent::Table);
        let entries = self.entries.values().cloned().map(DirectoryEvent::Seen);
        FeedPage {
            revision: self.revision,
            whole: true,
            events: table.chain(entries).collect(),
        }
    }
}
