//! Decides which connections are opened, which bytes are taken and who is dropped for others.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    net::IpAddr, //
};

use schema::TimePoint;

use super::{
    intake_entry::IntakeEntry,
    IntakeId,
    IntakeSettings,
    IntakeStage,
    RoomAnswer, //
};

/// Part of the bytes that only small requests may use.
const SMALL_PART: usize = 8;

/// Connections that may be closing while others are opened in their place.
const LEAVING_MAX: usize = 16;

/// What the connections of one address hold together.
#[derive(Clone, Copy, Debug, Default)]
struct AddressUse {
    connections: usize,
    bytes: usize,
    /// Part of the bytes whose connections have been told to close.
    leaving_bytes: usize,
}

/// Open connections and the bytes that they hold.
#[derive(Clone, Debug)]
pub struct IntakeBudget {
    settings: IntakeSettings,
    last_id: u64,
    entries: BTreeMap<IntakeId, IntakeEntry>,
    /// Connections that wait for their callers, by the time since which they do.
    waiting: BTreeSet<(TimePoint, IntakeId)>,
    addresses: BTreeMap<IpAddr, AddressUse>,
    total: AddressUse,
    /// Connections that have been told to close.
    leaving: usize,
}

impl IntakeBudget {
    /// Creates a budget without connections.
    pub fn new(settings: IntakeSettings) -> Self {
        Self {
            settings,
            last_id: 0,
            entries: BTreeMap::new(),
            waiting: BTreeSet::new(),
            addresses: BTreeMap::new(),
            total: AddressUse::default(),
            leaving: 0,
        }
    }

    /// The limits.
    pub fn settings(&self) -> &IntakeSettings {
        &self.settings
    }

    /// Number of open connections.
    pub fn connections(&self) -> usize {
        self.total.connections
    }

    /// Bytes held for all connections.
    pub fn bytes(&self) -> usize {
        self.total.bytes
    }

    /// Whether a further connection can be opened. If many that have been told to close are still open,
    /// it has to wait for them, so that the number of open ones stays bounded.
    pub fn can_open(&self) -> bool {
        if self.leaving > LEAVING_MAX {
            return false;
        }
        self.staying() < self.settings.connections_max || !self.waiting.is_empty()
    }

    /// Opens a connection. If connections have run out, the one that has waited longest for its caller
    /// is told to close and added to `dropped`; it is one of the same address if that has more than its
    /// share. `None` if all connections are being served.
    pub fn open(
        &mut self,
        now: TimePoint,
        address: IpAddr,
        dropped: &mut Vec<IntakeId>,
    ) -> Option<IntakeId> {
        if !self.can_open() {
            return None;
        }
        if self.staying() >= self.settings.connections_max {
            let share = self.settings.connections_max / self.settings.address_divisor;
            let address_use = self.addresses.get(&address).copied().unwrap_or_default();
            let own = Some(address).filter(|_| address_use.connections >= share.max(1));
            let victim = self.longest_waiting(own).or(self.longest_waiting(None))?;
            self.drop_entry(victim);
            dropped.push(victim);
        }
        self.last_id += 1;
        let id = IntakeId(self.last_id);
        let entry = IntakeEntry {
            address,
            stage: IntakeStage::Idle,
            bytes: 0,
            since: now,
            received: 0,
            leaving: false,
        };
        self.waiting.insert((entry.since, id));
        self.entries.insert(id, entry);
        self.total.connections += 1;
        self.addresses.entry(address).or_default().connections += 1;
        Some(id)
    }

    /// Removes a connection that has closed.
    pub fn close(&mut self, id: IntakeId) {
        self.release(id);
        let Some(entry) = self.entries.remove(&id) else {
            return;
        };
        self.waiting.remove(&(entry.since, id));
        self.leaving -= usize::from(entry.leaving);
        self.total.connections -= 1;
        if let Some(address_use) = self.addresses.get_mut(&entry.address) {
            address_use.connections -= 1;
            if address_use.connections == 0 {
                self.addresses.remove(&entry.address);
            }
        }
    }

    /// Records what a connection is used for from now on.
    pub fn set_stage(&mut self, now: TimePoint, id: IntakeId, stage: IntakeStage) {
        self.change(id, |entry| {
            entry.stage = stage;
            entry.since = now;
            entry.received = 0;
        });
    }

    /// Records that `bytes` of a body have been received.
    pub fn on_received(&mut self, now: TimePoint, id: IntakeId, bytes: usize) {
        let progress_bytes = self.settings.progress_bytes;
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        entry.received += bytes;
        if entry.received < progress_bytes {
            return;
        }
        self.change(id, |entry| {
            entry.since = now;
            entry.received = 0;
        });
    }

    /// Asks for room for `bytes` more. If there is none, connections without progress that hold bytes
    /// are told to close and added to `dropped`, the one with the oldest progress first, but no more
    /// than needed. Their bytes are free when they have closed.
    pub fn take(
        &mut self,
        now: TimePoint,
        id: IntakeId,
        bytes: usize,
        dropped: &mut Vec<IntakeId>,
    ) -> RoomAnswer {
        let Some(entry) = self.entries.get(&id).filter(|entry| !entry.leaving) else {
            return RoomAnswer::Short;
        };
        let address = entry.address;
        let held = entry.bytes + bytes;
        let reserve = match held > self.settings.small_bytes {
            true => self.settings.bytes_max / SMALL_PART,
            false => 0,
        };
        let total_max = self.settings.bytes_max - reserve;
        let share = self.settings.bytes_max / self.settings.address_divisor;
        let address_max = share - reserve / self.settings.address_divisor;
        if held > address_max {
            return RoomAnswer::Never;
        }
        let used = self.addresses.get(&address).copied().unwrap_or_default();
        if used.bytes + bytes <= address_max && self.total.bytes + bytes <= total_max {
            self.add_bytes(id, address, bytes);
            return RoomAnswer::Taken;
        }
        let before = now - self.settings.stall_period;
        let missing = |used: AddressUse, max: usize| {
            (used.bytes - used.leaving_bytes + bytes).saturating_sub(max)
        };
        // The oldest are first, so that a single pass finds all.
        let stalled = self.waiting.iter();
        let stalled: Vec<IntakeId> = stalled
            .take_while(|(since, _)| *since <= before)
            .map(|(_, other)| *other)
            .filter(|other| *other != id)
            .collect();
        for other in stalled {
            let used = self.addresses.get(&address).copied().unwrap_or_default();
            let own_missing = missing(used, address_max);
            if own_missing == 0 && missing(self.total, total_max) == 0 {
                break;
            }
            let Some(entry) = self.entries.get(&other).filter(|entry| entry.bytes > 0) else {
                continue;
            };
            if own_missing > 0 && entry.address != address {
                continue;
            }
            self.drop_entry(other);
            dropped.push(other);
        }
        RoomAnswer::Short
    }

    /// Frees the bytes that a connection holds.
    pub fn release(&mut self, id: IntakeId) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        let bytes = std::mem::take(&mut entry.bytes);
        let leaving_bytes = if entry.leaving { bytes } else { 0 };
        let address_use = self.addresses.get_mut(&entry.address);
        for used in address_use.into_iter().chain([&mut self.total]) {
            used.bytes -= bytes;
            used.leaving_bytes -= leaving_bytes;
        }
    }

    /// Connections that have not been told to close.
    fn staying(&self) -> usize {
        self.total.connections - self.leaving
    }

    /// The connection that has waited longest for its caller, among those of `address` if it is given.
    fn longest_waiting(&self, address: Option<IpAddr>) -> Option<IntakeId> {
        let mut waiting = self.waiting.iter().map(|(_, id)| *id);
        waiting.find(|id| {
            address.is_none_or(|address| {
                let entry = self.entries.get(id);
                entry.is_some_and(|entry| entry.address == address)
            })
        })
    }

    fn add_bytes(&mut self, id: IntakeId, address: IpAddr, bytes: usize) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.bytes += bytes;
        }
        self.addresses.entry(address).or_default().bytes += bytes;
        self.total.bytes += bytes;
    }

    fn drop_entry(&mut self, id: IntakeId) {
        let mut bytes = None;
        self.change(id, |entry| {
            entry.leaving = true;
            bytes = Some((entry.address, entry.bytes));
        });
        let Some((address, bytes)) = bytes else {
            return;
        };
        self.leaving += 1;
        let address_use = self.addresses.get_mut(&address);
        for used in address_use.into_iter().chain([&mut self.total]) {
            used.leaving_bytes += bytes;
        }
    }

    /// Changes an entry and keeps the order of waiting ones.
    fn change(&mut self, id: IntakeId, change: impl FnOnce(&mut IntakeEntry)) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        self.waiting.remove(&(entry.since, id));
        change(entry);
        if entry.is_waiting() {
            self.waiting.insert((entry.since, id));
        }
    }
}
