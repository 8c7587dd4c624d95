//! The message by which one daemon sends the directory to another.

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use schema::{
    DirectoryEvent,
    FleetEntry,
    TableExtension,
    ZoneName, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use super::FeedPosition;

/// Changes of the directory up to a revision, or the whole directory.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct FeedPage {
    /// Era of the store in which the directory was read.
    pub era: u64,
    /// Revision of the store up to which the directory was read.
    pub revision: u64,
    /// Whether `events` is the whole directory rather than the changes since an earlier revision.
    pub whole: bool,
    /// The changes, oldest first.
    pub events: Vec<DirectoryEvent>,
    /// Time since the read of the store to which the page belongs was started. It travels beside the page.
    #[serde(skip)]
    pub age: Duration,
    /// All data centres that are evacuated; `None` if only the changes are known. It travels beside the page.
    #[serde(skip)]
    pub evacuated: Option<BTreeSet<ZoneName>>,
}

/// What travels beside a page, since older builds could not decode it as a part of one.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct PageExtension {
    /// The newer fields of the page's route tables.
    pub tables: Vec<TableExtension>,
    /// All data centres that are evacuated.
    pub evacuated: BTreeSet<ZoneName>,
    /// The record of the fleet, if there is one.
    pub fleet: Option<FleetEntry>,
}

impl FeedPage {
    /// Takes what older builds can't decode out of the page.
    pub fn take_extension(&mut self) -> PageExtension {
        let mut extension = PageExtension {
            evacuated: self.evacuated.take().unwrap_or_default(),
            ..PageExtension::default()
        };
        self.events.retain(|event| match event {
            DirectoryEvent::Table(table) => {
                extension.tables.push(TableExtension::of(table));
                true
            }
            DirectoryEvent::Seen(_) | DirectoryEvent::Gone(_) => true,
            DirectoryEvent::Evacuated(_) | DirectoryEvent::Readmitted(_) => false,
            DirectoryEvent::FleetListed(entry) => {
                extension.fleet = Some(entry.clone());
                false
            }
        });
        extension
    }

    /// Puts the extension of a page back into it.
    pub fn apply_extension(&mut self, extension: PageExtension) {
        self.evacuated = Some(extension.evacuated);
        for part in extension.tables {
            for event in &mut self.events {
                if let DirectoryEvent::Table(table) = event {
                    if table.version == part.version {
                        part.apply(table);
                        break;
                    }
                }
            }
        }
        let fleet = extension.fleet.map(DirectoryEvent::FleetListed);
        self.events.extend(fleet);
    }

    /// How far the directory was read.
    pub fn position(&self) -> FeedPosition {
        FeedPosition {
            era: self.era,
            revision: self.revision,
        }
    }
}
