//! Contents of the store.

use std::{
    collections::BTreeMap,
    time::{
        Duration,
        Instant, //
    },
};

use schema::platform::{
    LeaseEntry,
    ValueEntry, //
};

/// A copy of the store's keys, values and revisions, as a backup has them. Leases are not part of
/// it.
#[derive(Clone, Debug, Default)]
pub struct StoreCopy {
    revision: u64,
    values: BTreeMap<String, StoredValue>,
}

#[derive(Clone, Debug)]
struct StoredValue {
    value: String,
    revision: u64,
    lease: u64,
}

#[derive(Debug)]
struct LeaseState {
    ttl: Duration,
    expires_at: Instant,
}

/// The store's contents and leases.
#[derive(Debug, Default)]
pub(crate) struct StoreData {
    contents: StoreCopy,
    leases: BTreeMap<u64, LeaseState>,
    next_lease: u64,
}

impl StoreData {
    /// The value at `key`, unless its lease has expired.
    pub(crate) fn get(&mut self, now: Instant, key: &str) -> Option<ValueEntry> {
        self.expire_leases(now);
        let stored = self.contents.values.get(key)?;
        Some(ValueEntry {
            key: key.into(),
            value: stored.value.clone(),
            revision: stored.revision,
        })
    }

    /// Writes `value` if the key's revision is `expect` and `lease` is zero or still valid. Returns
    /// the new revision, or the unchanged current one as an error.
    pub(crate) fn put(
        &mut self,
        now: Instant,
        key: &str,
        value: String,
        expect: u64,
        lease: u64,
    ) -> Result<u64, u64> {
        self.expire_leases(now);
        let current = self
            .contents
            .values
            .get(key)
            .map_or(0, |stored| stored.revision);
        let lease_valid = lease == 0 || self.leases.contains_key(&lease);
        if current != expect || !lease_valid {
            return Err(current);
        }
        self.contents.revision += 1;
        let revision = self.contents.revision;
        let stored = StoredValue {
            value,
            revision,
            lease,
        };
        self.contents.values.insert(key.into(), stored);
        Ok(revision)
    }

    /// Grants a lease that expires unless it is renewed within `ttl_ms`.
    pub(crate) fn grant(&mut self, now: Instant, ttl_ms: u64) -> LeaseEntry {
        self.next_lease += 1;
        let ttl = Duration::from_millis(ttl_ms);
        let expires_at = now + ttl;
        self.leases
            .insert(self.next_lease, LeaseState { ttl, expires_at });
        LeaseEntry {
            lease: self.next_lease,
            ttl_ms,
        }
    }

    /// Renews a lease for its full time; `None` if it has expired.
    pub(crate) fn renew(&mut self, now: Instant, lease: u64) -> Option<LeaseEntry> {
        self.expire_leases(now);
        let state = self.leases.get_mut(&lease)?;
        state.expires_at = now + state.ttl;
        let ttl_ms = state.ttl.as_millis() as u64;
        Some(LeaseEntry { lease, ttl_ms })
    }

    /// Revokes a lease and removes its keys; `false` if there was no such lease.
    pub(crate) fn revoke(&mut self, now: Instant, lease: u64) -> bool {
        self.expire_leases(now);
        let found = self.leases.remove(&lease).is_some();
        self.remove_expired_keys();
        found
    }

    /// All keys, in order.
    pub(crate) fn keys(&mut self, now: Instant) -> Vec<String> {
        self.expire_leases(now);
        self.contents.values.keys().cloned().collect()
    }

    /// Copies the contents without the leases.
    pub(crate) fn copy(&self) -> StoreCopy {
        self.contents.clone()
    }

    /// Replaces the contents and ends all leases, which removes the keys bound to them.
    pub(crate) fn restore(&mut self, copy: StoreCopy) {
        self.contents = copy;
        self.leases.clear();
        self.remove_expired_keys();
    }

    fn expire_leases(&mut self, now: Instant) {
        let count_before = self.leases.len();
        self.leases.retain(|_, lease| now < lease.expires_at);
        if self.leases.len() != count_before {
            self.remove_expired_keys();
        }
    }

    fn remove_expired_keys(&mut self) {
        let leases = &self.leases;
        self.contents
            .values
            .retain(|_, stored| stored.lease == 0 || leases.contains_key(&stored.lease));
    }
}
