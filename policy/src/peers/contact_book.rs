//! How daemons find each other when no seed address leads to another one.

use std::{
    iter,
    net::SocketAddr,
    time::Duration, //
};

use schema::{
    ContactRecord,
    TimePoint, //
};

/// Time for which a daemon is alone before it looks for others in the store. At a start, most are found
/// through the seeds before, also where all start together on slow VMs.
const FIRST_READ_DELAY: Duration = Duration::from_secs(4);
/// Pause between two reads of a daemon that is alone: the first, which doubles with each read, and the longest.
const ALONE_INTERVAL_MIN: Duration = Duration::from_secs(2);
const ALONE_INTERVAL_MAX: Duration = Duration::from_secs(16);
/// Pause between two reads of a daemon that keeps the record while others are known.
const KEEPER_INTERVAL: Duration = Duration::from_secs(15);
/// Pause until a daemon looks again whether it keeps the record or is alone.
const ROLE_INTERVAL: Duration = Duration::from_secs(1);
/// Live daemons that the record is to name, and addresses that it names at most.
const CONTACTS_WANTED: usize = 3;
const CONTACTS_MAX: usize = 8;
/// Time after which an address is removed at which no daemon has answered.
const SILENT_MAX: Duration = Duration::from_secs(60);

/// What a daemon's place among the others demands of it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ContactRole {
    /// It knows no other live daemon.
    Alone,
    /// It keeps the record for the daemons that it knows.
    Keeper,
    /// Others keep the record.
    Member,
}

/// Keeps the record of contacts in the platform's store: the addresses of a few live daemons, by which one
/// whose seeds are stale, or a group of such daemons, finds the others. One daemon reads it every 15 s for
/// all that know each other, so that its cost does not grow with the fleet.
#[derive(Clone, Debug)]
pub struct ContactBook {
    /// Peer address of this daemon.
    address: SocketAddr,
    next_check: TimePoint,
    /// When this daemon began to be alone; `NEVER` while it is not.
    alone_since: TimePoint,
    alone_interval: Duration,
    /// When the record is due for a keeper.
    keeper_read_at: TimePoint,
    /// Addresses of the record at which no daemon is known to live, and since when.
    silent: Vec<(SocketAddr, TimePoint)>,
    /// Daemons that the record tells of while this one knows none of them; 0 otherwise.
    unmet_daemons: u32,
}

impl ContactBook {
    /// The book of the daemon at `address`, which starts at `now`.
    pub fn new(now: TimePoint, address: SocketAddr) -> Self {
        Self {
            address,
            next_check: now + FIRST_READ_DELAY,
            alone_since: now,
            alone_interval: ALONE_INTERVAL_MIN,
            keeper_read_at: now + KEEPER_INTERVAL / 3,
            silent: Vec::new(),
            unmet_daemons: 0,
        }
    }

    /// When [`Self::is_read_due`] has to be called.
    pub fn next_check(&self) -> TimePoint {
        self.next_check
    }

    /// Daemons that are to be reckoned with although this one knows no other: being cut off from the others
    /// is no reason to use what belongs to all of them. 0 once it knows one, or if there is none.
    pub fn unmet_daemons(&self) -> u32 {
        self.unmet_daemons
    }

    /// Whether the record is to be read now.
    pub fn is_read_due(&mut self, now: TimePoint, role: ContactRole) -> bool {
        if role == ContactRole::Alone {
            if self.alone_since == TimePoint::NEVER {
                self.alone_since = now;
                self.alone_interval = ALONE_INTERVAL_MIN;
                self.next_check = now + FIRST_READ_DELAY;
                return false;
            }
            if now < self.next_check {
                return false;
            }
            self.next_check = now + self.alone_interval;
            self.alone_interval = ALONE_INTERVAL_MAX.min(self.alone_interval * 2);
            return true;
        }
        self.alone_since = TimePoint::NEVER;
        self.unmet_daemons = 0;
        self.next_check = now + ROLE_INTERVAL;
        if role == ContactRole::Member || now < self.keeper_read_at {
            return false;
        }
        self.keeper_read_at = now + KEEPER_INTERVAL;
        true
    }

    /// Handles the record that was read. `live` are the addresses of the other live daemons that this one
    /// knows, `daemons` the number of daemons that it reckons with. Returns the record to write in its place,
    /// if it has to change.
    pub fn apply_record(
        &mut self,
        now: TimePoint,
        record: &ContactRecord,
        live: &[SocketAddr],
        daemons: u32,
    ) -> Option<ContactRecord> {
        let is_live = |address: &SocketAddr| *address == self.address || live.contains(address);
        let listed = &record.addresses;
        self.silent
            .retain(|(address, _)| listed.contains(address) && !is_live(address));
        for address in listed.iter().filter(|address| !is_live(address)) {
            if !self.silent.iter().any(|(known, _)| known == address) {
                self.silent.push((*address, now));
            }
        }
        let mut addresses = listed.clone();
        for (address, since) in &self.silent {
            if now.since(*since) >= SILENT_MAX {
                addresses.retain(|known| known != address);
            }
        }
        for candidate in iter::once(&self.address).chain(live) {
            let named = addresses.iter().filter(|address| is_live(address));
            if named.count() >= CONTACTS_WANTED {
                break;
            }
            if addresses.contains(candidate) {
                continue;
            }
            self.make_room(now, &mut addresses);
            if addresses.len() < CONTACTS_MAX {
                addresses.push(*candidate);
            }
        }
        let has_unmet = addresses.iter().any(|address| *address != self.address);
        self.unmet_daemons = match live.is_empty() && has_unmet {
            true => record.daemons,
            false => 0,
        };
        let daemons = daemons.max(self.unmet_daemons);
        let changed = addresses != *listed || daemons > record.daemons;
        changed.then_some(ContactRecord { daemons, addresses })
    }

    /// Removes the address that has been silent longest from a full list, if it was so at an earlier read.
    fn make_room(&self, now: TimePoint, addresses: &mut Vec<SocketAddr>) {
        if addresses.len() < CONTACTS_MAX {
            return;
        }
        let silent = self.silent.iter().filter(|(_, since)| *since < now);
        if let Some((address, _)) = silent.min_by_key(|(_, since)| *since) {
            addresses.retain(|known| known != address);
        }
    }
}
