//! The look-up of client accounts by key and by name.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;

use policy::accounts::{
    AccountIndex,
    KeyDecision,
    KeyFault, //
};
use proptest::prelude::*;
use schema::{
    AccountSpec,
    BundleVersion,
    KeyDigest,
    RouteTable, //
};

fn account(name: &str, keys: &[&[u8]]) -> AccountSpec {
    AccountSpec {
        name: name.parse().unwrap(),
        keys: keys.iter().map(|key| KeyDigest::of(key)).collect(),
        priority: None,
        quota: None,
        homes: Default::default(),
    }
}

fn table(version: u64, accounts: Vec<AccountSpec>) -> RouteTable {
    RouteTable {
        version: BundleVersion(version),
        needs_keys: !accounts.is_empty(),
        accounts,
        ..RouteTable::default()
    }
}

fn index(accounts: Vec<AccountSpec>) -> AccountIndex {
    AccountIndex::new(&table(1, accounts), None)
}

/// The account of a request with `key`.
fn name_of(decision: &KeyDecision) -> Option<&str> {
    match decision {
        KeyDecision::Admitted(Some(account)) => Some(account.name.as_str()),
        _ => None,
    }
}

/// Guards against requests that need a key, or lose their headers, where no account is configured.
#[test]
fn nothing_is_checked_without_accounts() {
    let index = index(Vec::new());
    let key = KeyDigest::of(b"k");
    for sent in [None, Some(None), Some(Some(key))] {
        for public in [false, true] {
            assert_eq!(index.decide(sent, public), KeyDecision::Unchecked);
        }
    }
    assert!(!index.needs_keys());
}

/// Guards against routes that become open because no account of the configuration can be read.
#[test]
fn unreadable_accounts_admit_nobody() {
    let table = RouteTable {
        needs_keys: true,
        ..table(1, Vec::new())
    };
    let index = AccountIndex::new(&table, None);
    let missing = KeyDecision::Refused(KeyFault::Missing);
    assert_eq!(index.decide(None, false), missing);
    assert_eq!(index.decide(None, true), KeyDecision::Admitted(None));
    let unknown = KeyDecision::Refused(KeyFault::Unknown);
    let key = KeyDigest::of(b"k");
    assert_eq!(index.decide(Some(Some(key)), true), unknown);
}

/// Guards against a key that is refused or admitted by chance of the route: an unknown one is refused on
/// public routes too, and none is needed there.
#[test]
fn public_routes_need_no_key_but_accept_no_unknown_one() {
    let index = index(vec![account("acme", &[b"k1", b"k2"])]);
    let unknown = KeyDecision::Refused(KeyFault::Unknown);
    let missing = KeyDecision::Refused(KeyFault::Missing);
    for public in [false, true] {
        for key in [b"k1", b"k2"] {
            let decision = index.decide(Some(Some(KeyDigest::of(key))), public);
            assert_eq!(name_of(&decision), Some("acme"));
        }
        let wrong = KeyDigest::of(b"k3");
        assert_eq!(index.decide(Some(Some(wrong)), public), unknown);
        assert_eq!(index.decide(Some(None), public), unknown);
    }
    assert_eq!(index.decide(None, true), KeyDecision::Admitted(None));
    assert_eq!(index.decide(None, false), missing);
}

/// Guards against a trusted `Tenant` header of a daemon whose table had no accounts: it is what a caller sent.
#[test]
fn accounts_are_trusted_from_the_version_that_needs_keys() {
    let first = AccountIndex::new(&table(3, Vec::new()), None);
    assert!(!first.is_keyed_in(BundleVersion(3)));
    let second = AccountIndex::new(&table(5, vec![account("a", &[])]), Some(&first));
    let third = AccountIndex::new(&table(7, vec![account("b", &[])]), Some(&second));
    for version in [3, 4] {
        assert!(!third.is_keyed_in(BundleVersion(version)));
    }
    for version in [5, 6, 7, 8] {
        assert!(third.is_keyed_in(BundleVersion(version)));
    }
    // Accounts that were away for a version may have been away at the other daemon, too.
    let without = AccountIndex::new(&table(8, Vec::new()), Some(&third));
    assert!(!without.is_keyed_in(BundleVersion(8)));
    let again = AccountIndex::new(&table(9, vec![account("b", &[])]), Some(&without));
    assert!(!again.is_keyed_in(BundleVersion(8)));
    assert!(again.is_keyed_in(BundleVersion(9)));
}

proptest! {
    /// Guards against a key that finds no account, another account than the first that lists it, or the
    /// account of a name that is not there, however keys and names collide.
    #[test]
    fn each_key_finds_the_first_account_that_lists_it(
        accounts in prop::collection::vec(
            ("[a-dé ]{1,2}", prop::collection::vec(prop::collection::vec(any::<u8>(), 0..3), 0..4)),
            0..8,
        ),
        others in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..3), 0..20),
    ) {
        let specs = accounts.iter().map(|(name, keys)| {
            let keys: Vec<&[u8]> = keys.iter().map(Vec::as_slice).collect();
            account(name, &keys)
        });
        let index = index(specs.collect());
        let mut owners: BTreeMap<&[u8], &str> = BTreeMap::new();
        let mut names = Vec::new();
        for (name, keys) in &accounts {
            names.push(name.as_str());
            for key in keys {
                owners.entry(key).or_insert(name);
            }
        }
        for key in owners.keys().copied().chain(others.iter().map(Vec::as_slice)) {
            let digest = KeyDigest::of(key);
            let decision = index.decide(Some(Some(digest)), false);
            prop_assert_eq!(name_of(&decision), owners.get(key).copied());
            prop_assert_eq!(index.knows_key(&digest), owners.contains_key(key));
        }
        names.sort_unstable();
        names.dedup();
        let indexed: Vec<&str> = index.accounts().map(|account| account.name.as_str()).collect();
        prop_assert_eq!(indexed, names);
        prop_assert!(index.named(&"nobody".parse().unwrap()).is_none());
    }
}
