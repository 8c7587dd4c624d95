//! Concurrent operators with lost store replies, and repair of a store that was restored from an
//! old backup.

#![allow(clippy::expect_used)]

mod bundle_kit;
mod store_kit;

use bundle_kit::{
    name,
    sign_with,
    signer_set, //
};
use policy::{
    bundle::{
        join_parts,
        part_key,
        repair_calls,
        resolve_accept,
        split_parts,
        AcceptOutcome,
        BundleChain,
        BundleError,
        OfferOutcome,
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
    BundleChain::new(name("trust"), signer_set(&["ana", "bo"], 2))
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

/// Reads the bundle in the store as a daemon does.
fn read_bundle(store: &mut FakeStore) -> Option<SignedBundle> {
    let (head, _) = read_head(store)?;
    let mut parts = Vec::new();
    for entry in &head.parts {
        let call = StoreCall::Get {
            key: part_key(&entry.digest),
        };
        let StoreReply::Found { value, .. } = store.apply(NOW, &call) else {
            panic!("the head lists a part that is not in the store");
        };
        parts.push(value);
    }
    let body = join_parts(&head.parts, &parts).expect("body");
    Some(SignedBundle {
        head: Some(head),
        body,
    })
}

/// An operator who drafts a version and writes it to the store, step by step.
struct OperatorRun {
    draft: SignedBundle,
    expect: u64,
    parts_written: bool,
    outcome: Option<AcceptOutcome>,
    outcome_unknown: bool,
}

impl OperatorRun {
    /// Reads the version in the store and drafts its successor.
    fn start(store: &mut FakeStore, daemons: u32) -> Self {
        let mut chain = chain();
        if let Some(bundle) = read_bundle(store) {
            assert_eq!(chain.offer(&bundle), Ok(OfferOutcome::Accepted));
        }
        let expect = read_head(store).map_or(0, |(_, revision)| revision);
        Self {
            draft: sign_with(&chain, &["ana", "bo"], |body| body.daemons = daemons),
            expect,
            parts_written: false,
            outcome: None,
            outcome_unknown: false,
        }
    }

    /// Takes the next step: writes the parts, then swaps the head, then reads the head if the
    /// outcome of the swap is unknown.
    fn step(&mut self, store: &mut FakeStore, random: &mut Pcg64Mcg) {
        let head = self.draft.head.clone().expect("head");
        if !self.parts_written {
            self.parts_written = true;
            for (entry, bytes) in split_parts(&self.draft.body) {
                store.apply(NOW, &write(part_key(&entry.digest), bytes.to_vec(), 0));
            }
            return;
        }
        if !self.outcome_unknown {
            let call = write(HEAD_KEY.into(), head.encode_to_vec(), self.expect);
            let reply = store.apply(NOW, &call);
            if random.random_bool(0.7) && matches!(reply, StoreReply::Written { .. }) {
                self.outcome = Some(AcceptOutcome::Accepted);
                return;
            }
            // The reply is lost, or says that the store has another head.
            self.outcome_unknown = true;
            return;
        }
        let found = read_head(store);
        let outcome = resolve_accept(&head, found.as_ref().map(|(head, _)| head));
        self.outcome = Some(outcome);
    }
}

#[test]
fn racing_operators_learn_the_correct_outcome() {
    let (mut accepted, mut conflicts) = (0, 0);
    for seed in 0..SCHEDULES {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut store = FakeStore::default();
        let mut daemon = chain();
        let mut operators: Vec<OperatorRun> = Vec::new();
        for turn in 0..40 {
            if random.random_bool(0.2) {
                operators.push(OperatorRun::start(&mut store, 1 + turn));
            }
            let first_open = operators
                .iter()
                .position(|operator| operator.outcome.is_none());
            let Some(first_open) = first_open else {
                continue;
            };
            let index = random.random_range(first_open..operators.len());
            if operators[index].outcome.is_none() {
                operators[index].step(&mut store, &mut random);
            }
            if let Some(signed) = read_bundle(&mut store) {
                daemon.offer(&signed).expect("the store has a valid bundle");
            }
        }
        let mut accepted_versions = Vec::new();
        for operator in &operators {
            let head = operator.draft.head.as_ref().expect("head");
            match operator.outcome {
                Some(AcceptOutcome::Accepted | AcceptOutcome::Followed(_)) => {
                    assert!(
                        !accepted_versions.contains(&head.version),
                        "seed {seed}: one version was accepted twice"
                    );
                    accepted_versions.push(head.version);
                    accepted += 1;
                }
                Some(AcceptOutcome::Conflict(version)) => {
                    assert!(version.0 >= head.version, "seed {seed}");
                    conflicts += 1;
                }
                _ => {}
            }
        }
        let highest = accepted_versions.iter().max().copied().unwrap_or(0);
        assert!(
            daemon.version().0 >= highest,
            "seed {seed}: an accepted version is missing"
        );
    }
    assert!(accepted > 300, "{accepted} versions accepted");
    assert!(conflicts > 50, "{conflicts} conflicts");
}

fn accept(store: &mut FakeStore, daemon: &mut BundleChain, daemons: u32) {
    let mut operator = OperatorRun::start(store, daemons);
    let mut random = Pcg64Mcg::seed_from_u64(1);
    while operator.outcome.is_none() {
        operator.step(store, &mut random);
    }
    let bundle = read_bundle(store).expect("bundle");
    assert_eq!(daemon.offer(&bundle), Ok(OfferOutcome::Accepted));
}

#[test]
fn store_restored_from_a_backup_is_repaired_to_the_version_in_force() {
    let mut store = FakeStore::default();
    let mut daemon = chain();
    accept(&mut store, &mut daemon, 4);
    let backup = store.clone();
    accept(&mut store, &mut daemon, 5);
    accept(&mut store, &mut daemon, 6);
    let bundle = daemon.in_force().expect("in force").clone();
    let current = read_head(&mut store).expect("head");
    assert!(repair_calls(&bundle, Some((&current.0, current.1))).is_empty());

    for mut store in [backup, FakeStore::default()] {
        let outdated = read_bundle(&mut store);
        if let Some(outdated) = &outdated {
            let error = daemon.offer(outdated).expect_err("lower");
            assert!(matches!(error, BundleError::LowerVersion { .. }));
        }
        let found = read_head(&mut store);
        let found = found.as_ref().map(|(head, revision)| (head, *revision));
        // Two daemons repair the store at the same time.
        let calls = repair_calls(&bundle, found);
        for call in calls.iter().chain(&calls) {
            store.apply(NOW, call);
        }
        let repaired = read_bundle(&mut store).expect("bundle");
        assert_eq!(daemon.offer(&repaired), Ok(OfferOutcome::Unchanged));
        let mut stateless = chain();
        assert_eq!(stateless.offer(&repaired), Ok(OfferOutcome::Accepted));
        accept(&mut store, &mut daemon.clone(), 7);
    }
    assert_eq!(daemon.version(), BundleVersion(3));
}

#[test]
fn head_of_another_deployment_is_not_replaced() {
    let mut store = FakeStore::default();
    let mut daemon = chain();
    accept(&mut store, &mut daemon, 4);
    let bundle = daemon.in_force().expect("in force").clone();
    let other = BundleHead {
        deployment: "hajtas".into(),
        ..BundleHead::default()
    };
    assert!(repair_calls(&bundle, Some((&other, 3))).is_empty());
}
