//! Operators who race, store replies that are lost, and a store that comes back from an old copy.

#![allow(clippy::expect_used)]

mod bundle_kit;
mod store_kit;

use bundle_kit::{
    name,
    root,
    sign_with, //
};
use policy::{
    bundle::{
        join_parts,
        part_key,
        repair_calls,
        settle_accept,
        split_parts,
        AcceptVerdict,
        BundleChain,
        BundleRefusal,
        OfferVerdict,
        HEAD_KEY, //
    },
    store::{
        StoreCall,
        StoreReply, //
    },
};
use prost::Message;
use rand::{
    Rng,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;
use schema::{
    bundle::{
        BundleHead,
        SignedBundle, //
    },
    BundleVersion,
    TimePoint, //
};
use store_kit::FakeStore;

const NOW: TimePoint = TimePoint(1_764_817_210_000_000);
const SCHEDULES: u64 = 200;

fn chain() -> BundleChain {
    BundleChain::new(name("trust"), root(&["ana", "bo"], 2))
}

fn write(key: String, value: Vec<u8>, expect: u64) -> StoreCall {
    StoreCall::Write {
        key,
        value,
        expect,
        lease: 0,
    }
}

fn read_head(store: &mut FakeStore) -> Option<(BundleHead, u64)> {
    let call = StoreCall::Get {
        key: HEAD_KEY.into(),
    };
    match store.apply(NOW, &call) {
        StoreReply::Found { value, revision } => {
            let head = BundleHead::decode(value.as_slice()).expect("head");
            Some((head, revision))
        }
        _ => None,
    }
}

/// What is in the store, as a daemon reads it.
fn read_bundle(store: &mut FakeStore) -> Option<SignedBundle> {
    let (head, _) = read_head(store)?;
    let mut parts = Vec::new();
    for entry in &head.parts {
        let call = StoreCall::Get {
            key: part_key(&entry.digest),
        };
        let StoreReply::Found { value, .. } = store.apply(NOW, &call) else {
            panic!("a head without its part");
        };
        parts.push(value);
    }
    let body = join_parts(&head.parts, &parts).expect("body");
    Some(SignedBundle {
        head: Some(head),
        body,
    })
}

/// An operator at work: what it read, and what it made of it.
struct Operator {
    draft: SignedBundle,
    expect: u64,
    started: bool,
    verdict: Option<AcceptVerdict>,
    unsure: bool,
}

impl Operator {
    /// Reads the store and drafts the next version on it.
    fn begin(store: &mut FakeStore, daemons: u32) -> Self {
        let mut chain = chain();
        if let Some(held) = read_bundle(store) {
            assert_eq!(chain.offer(&held), Ok(OfferVerdict::Accepted));
        }
        let expect = read_head(store).map_or(0, |(_, revision)| revision);
        Self {
            draft: sign_with(&chain, &["ana", "bo"], |body| body.daemons = daemons),
            expect,
            started: false,
            verdict: None,
            unsure: false,
        }
    }

    /// One step: the parts, then the swap, then a reading of what became of it.
    fn step(&mut self, store: &mut FakeStore, random: &mut Pcg64Mcg) {
        let head = self.draft.head.clone().expect("head");
        if !self.started {
            self.started = true;
            for (entry, bytes) in split_parts(&self.draft.body) {
                store.apply(NOW, &write(part_key(&entry.digest), bytes.to_vec(), 0));
            }
            return;
        }
        if !self.unsure {
            let call = write(HEAD_KEY.into(), head.encode_to_vec(), self.expect);
            let reply = store.apply(NOW, &call);
            if random.random_bool(0.7) && matches!(reply, StoreReply::Written { .. }) {
                self.verdict = Some(AcceptVerdict::Accepted);
                return;
            }
            // The reply is lost, or says that another head is there.
            self.unsure = true;
            return;
        }
        let found = read_head(store);
        let verdict = settle_accept(&head, found.as_ref().map(|(head, _)| head));
        self.verdict = Some(verdict);
    }
}

#[test]
fn of_racing_operators_each_hears_the_truth() {
    let (mut accepted, mut conflicts) = (0, 0);
    for seed in 0..SCHEDULES {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut store = FakeStore::default();
        let mut daemon = chain();
        let mut all: Vec<Operator> = Vec::new();
        for turn in 0..40 {
            if random.random_bool(0.2) {
                all.push(Operator::begin(&mut store, 1 + turn));
            }
            let open = all.iter().position(|operator| operator.verdict.is_none());
            let Some(open) = open else {
                continue;
            };
            let place = random.random_range(open..all.len());
            if all[place].verdict.is_none() {
                all[place].step(&mut store, &mut random);
            }
            if let Some(signed) = read_bundle(&mut store) {
                daemon.offer(&signed).expect("the store holds a valid step");
            }
        }
        let mut digests = Vec::new();
        for operator in &all {
            let head = operator.draft.head.as_ref().expect("head");
            match operator.verdict {
                Some(AcceptVerdict::Accepted | AcceptVerdict::Followed(_)) => {
                    assert!(
                        !digests.contains(&head.version),
                        "seed {seed}: two of one version"
                    );
                    digests.push(head.version);
                    accepted += 1;
                }
                Some(AcceptVerdict::Conflict(version)) => {
                    assert!(version.0 >= head.version, "seed {seed}");
                    conflicts += 1;
                }
                _ => {}
            }
        }
        let last = digests.iter().max().copied().unwrap_or(0);
        assert!(
            daemon.version().0 >= last,
            "seed {seed}: an accepted version is missing"
        );
    }
    assert!(accepted > 300, "{accepted}");
    assert!(conflicts > 50, "{conflicts}");
}

fn accept(store: &mut FakeStore, daemon: &mut BundleChain, daemons: u32) {
    let mut operator = Operator::begin(store, daemons);
    let mut random = Pcg64Mcg::seed_from_u64(1);
    while operator.verdict.is_none() {
        operator.step(store, &mut random);
    }
    let held = read_bundle(store).expect("bundle");
    assert_eq!(daemon.offer(&held), Ok(OfferVerdict::Accepted));
}

#[test]
fn a_store_from_an_old_copy_is_brought_up_to_the_version_in_force() {
    let mut store = FakeStore::default();
    let mut daemon = chain();
    accept(&mut store, &mut daemon, 4);
    let old = store.clone();
    accept(&mut store, &mut daemon, 5);
    accept(&mut store, &mut daemon, 6);
    let held = daemon.in_force().expect("in force").clone();
    let current = read_head(&mut store).expect("head");
    assert!(repair_calls(&held, Some((&current.0, current.1))).is_empty());

    for mut store in [old, FakeStore::default()] {
        let stale = read_bundle(&mut store);
        if let Some(stale) = &stale {
            let refusal = daemon.offer(stale).expect_err("lower");
            assert!(matches!(refusal, BundleRefusal::LowerVersion { .. }));
        }
        let found = read_head(&mut store);
        let found = found.as_ref().map(|(head, revision)| (head, *revision));
        // Two daemons repair it at once.
        let calls = repair_calls(&held, found);
        for call in calls.iter().chain(&calls) {
            store.apply(NOW, call);
        }
        let fresh = read_bundle(&mut store).expect("bundle");
        assert_eq!(daemon.offer(&fresh), Ok(OfferVerdict::Unchanged));
        let mut stateless = chain();
        assert_eq!(stateless.offer(&fresh), Ok(OfferVerdict::Accepted));
        accept(&mut store, &mut daemon.clone(), 7);
    }
    assert_eq!(daemon.version(), BundleVersion(3));
}

#[test]
fn another_deployments_head_is_left_alone() {
    let mut store = FakeStore::default();
    let mut daemon = chain();
    accept(&mut store, &mut daemon, 4);
    let held = daemon.in_force().expect("in force").clone();
    let other = BundleHead {
        deployment: "hajtas".into(),
        ..BundleHead::default()
    };
    assert!(repair_calls(&held, Some((&other, 3))).is_empty());
}
