//! An in-memory store for tests in virtual time.

#![allow(clippy::expect_used, dead_code)]

use std::collections::BTreeMap;

use policy::store::{
    StoreCall,
    StoreReply, //
};
use schema::TimePoint;

/// A value with its revision and lease.
#[derive(Clone, Debug)]
pub(crate) struct StoredValue {
    pub(crate) value: Vec<u8>,
    pub(crate) revision: u64,
    pub(crate) lease: u64,
}

/// An in-memory replacement for the platform's store.
#[derive(Clone, Debug, Default)]
pub(crate) struct FakeStore {
    pub(crate) values: BTreeMap<String, StoredValue>,
    pub(crate) writes: u64,
    pub(crate) reads: u64,
    leases: BTreeMap<u64, TimePoint>,
    revision: u64,
}

impl FakeStore {
    /// Applies a request without failures, as the platform's store does when it is healthy.
    pub(crate) fn apply(&mut self, now: TimePoint, call: &StoreCall) -> StoreReply {
        self.leases.retain(|_, expires_at| *expires_at > now);
        let leases = &self.leases;
        self.values
            .retain(|_, stored| stored.lease == 0 || leases.contains_key(&stored.lease));
        match call {
            StoreCall::Get { key } => {
                self.reads += 1;
                self.get(key)
            }
            StoreCall::Watch { key, after, .. } => {
                self.reads += 1;
                match self.get(key) {
                    StoreReply::Found { revision, .. } if revision <= *after => {
                        StoreReply::Unchanged
                    }
                    StoreReply::Missing => StoreReply::Unchanged,
                    reply => reply,
                }
            }
            StoreCall::Write {
                key,
                value,
                expect,
                lease,
            } => {
                self.writes += 1;
                self.write(key, value, *expect, *lease)
            }
            StoreCall::Grant { ttl } => {
                self.writes += 1;
                self.revision += 1;
                self.leases.insert(self.revision, now + *ttl);
                StoreReply::Granted {
                    lease: self.revision,
                }
            }
        }
    }

    fn get(&self, key: &str) -> StoreReply {
        match self.values.get(key) {
            Some(stored) => StoreReply::Found {
                value: stored.value.clone(),
                revision: stored.revision,
            },
            None => StoreReply::Missing,
        }
    }

    fn write(&mut self, key: &str, value: &[u8], expect: u64, lease: u64) -> StoreReply {
        let current_revision = self.values.get(key).map_or(0, |stored| stored.revision);
        if current_revision != expect || (lease != 0 && !self.leases.contains_key(&lease)) {
            return StoreReply::Conflict {
                revision: current_revision,
            };
        }
        self.revision += 1;
        let stored = StoredValue {
            value: value.to_vec(),
            revision: self.revision,
            lease,
        };
        self.values.insert(key.into(), stored);
        StoreReply::Written {
            revision: self.revision,
        }
    }
}
