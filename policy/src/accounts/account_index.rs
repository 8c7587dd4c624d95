//! Finds the client account of a request.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use schema::{
    AccountName,
    AccountSpec,
    BundleVersion,
    KeyDigest,
    RouteTable, //
};

use super::{
    KeyDecision,
    KeyFault, //
};

/// The client accounts of a route table by name and by the digests of their keys.
#[derive(Clone, Debug, Default)]
pub struct AccountIndex {
    by_name: BTreeMap<AccountName, Arc<AccountSpec>>,
    by_key: BTreeMap<KeyDigest, Arc<AccountSpec>>,
    /// The version since which requests need a key, as far as this daemon knows; `None` if they need none.
    keyed_since: Option<BundleVersion>,
}

impl AccountIndex {
    /// Indexes the accounts of `table`, which replaces the table of `previous`. If two accounts have the same
    /// name or key, the first one is used.
    pub fn new(table: &RouteTable, previous: Option<&Self>) -> Self {
        let since = previous.and_then(|previous| previous.keyed_since);
        let mut index = Self {
            keyed_since: table.needs_keys.then(|| since.unwrap_or(table.version)),
            ..Self::default()
        };
        for account in &table.accounts {
            let account = Arc::new(account.clone());
            for key in &account.keys {
                let entry = index.by_key.entry(*key);
                entry.or_insert_with(|| Arc::clone(&account));
            }
            let entry = index.by_name.entry(account.name.clone());
            entry.or_insert(account);
        }
        index
    }

    /// Whether requests need a key.
    pub fn needs_keys(&self) -> bool {
        self.keyed_since.is_some()
    }

    /// Whether a daemon that uses the table `version` checks keys, too: only then has it set the account
    /// of a request that it relays, and taken away what the caller sent in its place.
    pub fn is_keyed_in(&self, version: BundleVersion) -> bool {
        self.keyed_since.is_some_and(|since| version >= since)
    }

    /// Decides about a request of a caller. `key` is `None` if it sends none, and `Some(None)` if what it sends
    /// can't be a key. `is_public` says that its route needs none.
    pub fn decide(&self, key: Option<Option<KeyDigest>>, is_public: bool) -> KeyDecision {
        if !self.needs_keys() {
            return KeyDecision::Unchecked;
        }
        match key {
            None if is_public => KeyDecision::Admitted(None),
            None => KeyDecision::Refused(KeyFault::Missing),
            Some(key) => match key.and_then(|key| self.by_key.get(&key)) {
                Some(account) => KeyDecision::Admitted(Some(Arc::clone(account))),
                None => KeyDecision::Refused(KeyFault::Unknown),
            },
        }
    }

    /// Whether `key` belongs to an account.
    pub fn knows_key(&self, key: &KeyDigest) -> bool {
        self.by_key.contains_key(key)
    }

    /// The account with this name.
    pub fn named(&self, name: &AccountName) -> Option<&Arc<AccountSpec>> {
        self.by_name.get(name)
    }

    /// All accounts, in the order of their names.
    pub fn accounts(&self) -> impl Iterator<Item = &AccountSpec> {
        self.by_name.values().map(Arc::as_ref)
    }
}
