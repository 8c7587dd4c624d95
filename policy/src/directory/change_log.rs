//! The latest changes of the directory, kept for the daemons that read it from this one.

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        VecDeque, //
    },
    time::Duration, //
};

use schema::{
    DirectoryEvent,
    FleetEntry,
    ReplicaEntry,
    ReplicaName,
    RouteTable,
    ZoneName, //
};

use super::{
    FeedPage,
    FeedPosition, //
};

/// Number of changes kept. A daemon that is further behind gets the whole directory.
const CHANGES_MAX: usize = 512;

/// The directory as last read, with its latest changes.
#[derive(Clone, Debug, Default)]
pub(super) struct ChangeLog {
    era: u64,
    revision: u64,
    /// Every change after this revision is still in `changes`.
    base_revision: u64,
    changes: VecDeque<(u64, DirectoryEvent)>,
    table: Option<Box<RouteTable>>,
    entries: BTreeMap<ReplicaName, ReplicaEntry>,
    evacuated: BTreeSet<ZoneName>,
    fleet: Option<FleetEntry>,
}

impl ChangeLog {
    /// Discards the changes and entries before a whole directory read at `revision` is pushed.
    pub(super) fn reset(&mut self, position: FeedPosition) {
        self.era = position.era;
        self.revision = position.revision;
        self.base_revision = position.revision;
        self.changes.clear();
        self.entries.clear();
    }

    /// Records that the directory was read up to `revision`.
    pub(super) fn advance_to(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Adds a change that was read at `revision`; ignores one that leaves the directory as it was.
    pub(super) fn push(&mut self, revision: u64, change: DirectoryEvent) {
        match &change {
            DirectoryEvent::Table(table) => {
                let is_current = |known: &RouteTable| known.version >= table.version;
                if self.table.as_deref().is_some_and(is_current) {
                    return;
                }
                self.table = Some(table.clone());
                // A reader that gets this table does not need an older one.
                let is_table = |change: &DirectoryEvent| matches!(change, DirectoryEvent::Table(_));
                self.changes.retain(|(_, change)| !is_table(change));
            }
            DirectoryEvent::Seen(entry) => {
                let previous = self.entries.insert(entry.name.clone(), entry.clone());
                if previous.as_ref() == Some(entry) {
                    return;
                }
            }
            DirectoryEvent::Gone(name) => {
                self.entries.remove(name);
            }
            // Each page has all of them.
            DirectoryEvent::Evacuated(zone) => {
                self.evacuated.insert(zone.clone());
            }
            DirectoryEvent::Readmitted(zone) => {
                self.evacuated.remove(zone);
            }
            DirectoryEvent::FleetListed(entry) => {
                if self.fleet.as_ref() == Some(entry) {
                    return;
                }
                self.fleet = Some(entry.clone());
                let is_fleet =
                    |change: &DirectoryEvent| matches!(change, DirectoryEvent::FleetListed(_));
                self.changes.retain(|(_, change)| !is_fleet(change));
            }
        }
        self.changes.push_back((revision, change));
        while self.changes.len() > CHANGES_MAX {
            if let Some((revision, _)) = self.changes.pop_front() {
                self.base_revision = revision;
            }
        }
    }

    /// Returns the changes after `after`, or the whole directory where they are no longer all kept,
    /// `after` is of another era or `None`.
    pub(super) fn page_since(&self, after: Option<FeedPosition>) -> FeedPage {
        let is_kept =
            |after: &FeedPosition| after.era == self.era && after.revision >= self.base_revision;
        if let Some(after) = after.filter(is_kept) {
            let newer = self
                .changes
                .iter()
                .filter(|(revision, _)| *revision > after.revision);
            return FeedPage {
                era: self.era,
                revision: self.revision,
                whole: false,
                events: newer.map(|(_, change)| change.clone()).collect(),
                age: Duration::ZERO,
                evacuated: Some(self.evacuated.clone()),
            };
        }
        let table = self.table.iter().cloned().map(DirectoryEvent::Table);
        let entries = self.entries.values().cloned().map(DirectoryEvent::Seen);
        let fleet = self.fleet.iter().cloned().map(DirectoryEvent::FleetListed);
        FeedPage {
            era: self.era,
            revision: self.revision,
            whole: true,
            events: table.chain(entries).chain(fleet).collect(),
            age: Duration::ZERO,
            evacuated: Some(self.evacuated.clone()),
        }
    }
}
