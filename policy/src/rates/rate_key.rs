//! What a rate is kept for.

use schema::AccountName;
use xxhash_rust::xxh3::xxh3_64;

/// What a rate is kept for.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RateKey {
    /// A client account, by a hash of its name.
    Account(u64),
    /// A cold replica, by the number that identifies it and its start, see
    /// [`schema::ReplicaEntry::instance`].
    ColdReplica(u64),
}

impl RateKey {
    /// The key of an account.
    pub fn of_account(name: &AccountName) -> Self {
        Self::Account(xxh3_64(name.as_str().as_bytes()))
    }
}
