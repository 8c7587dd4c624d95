//! Claims, one fault at a time.

#![allow(clippy::expect_used)]

mod bundle_kit;
mod store_kit;

use std::time::Duration;

use bundle_kit::{
    body,
    name, //
};
use policy::{
    claims::{
        record_answer,
        restore_answer,
        ClaimAction,
        ClaimDesk,
        ClaimEvent,
        ClaimPlace,
        ClaimSettings, //
    },
    engine::{
        AnswerOutcome,
        ClaimVerdict,
        QueryAnswer,
        QueryReason,
        ResultItem, //
    },
    store::{
        StoreCall,
        StoreReply, //
    },
};
use schema::{
    BundleVersion,
    DeploymentSpec,
    Incarnation,
    QueryId,
    SpanSet,
    TimePoint, //
};
use store_kit::FakeStore;

const DAY: Duration = Duration::from_secs(24 * 60 * 60);
const MADE: u64 = 1_764_817_200;
const KEY: &str = "t1764817200-order-7";

fn start() -> TimePoint {
    TimePoint(MADE * 1_000_000) + Duration::from_secs(10)
}

fn desk(daemon: &str, incarnation: u64) -> ClaimDesk {
    let mut spec = body();
    spec.version = 1;
    let spec = DeploymentSpec::from_body(&spec).expect("spec");
    let mut desk = ClaimDesk::new(ClaimSettings {
        daemon: Some(name(daemon)),
        incarnation: Incarnation(incarnation),
        ..ClaimSettings::default()
    });
    desk.apply_bundle(&spec);
    desk
}

fn take(query: u64, key: &str) -> ClaimEvent {
    ClaimEvent::Take {
        query: QueryId(query),
        group: name("receipts"),
        user: name("sponsor"),
        key: name(key),
    }
}

fn answer() -> QueryAnswer {
    let mut answer = QueryAnswer::not_run(QueryReason::Straggler, None, BundleVersion(1));
    answer.outcome = AnswerOutcome::Complete;
    answer.reason = None;
    answer.missing.clear();
    answer.covered = SpanSet::all();
    answer.items.push(ResultItem {
        key: 7,
        id: "receipt".into(),
        body: "plank 7".into(),
    });
    answer
}

/// Runs an event and the store calls it leads to; `fault` may replace a reply, after the call took
/// effect or instead of it.
fn run(
    desk: &mut ClaimDesk,
    store: &mut FakeStore,
    now: TimePoint,
    event: ClaimEvent,
    mut fault: impl FnMut(&mut FakeStore, &StoreCall) -> Option<StoreReply>,
) -> Vec<ClaimVerdict> {
    let mut verdicts = Vec::new();
    let mut actions = Vec::new();
    desk.on_event(now, event, &mut actions);
    while !actions.is_empty() {
        match actions.remove(0) {
            ClaimAction::Settled { verdict, .. } => verdicts.push(verdict),
            ClaimAction::Store { call, request } => {
                let reply = fault(store, &request);
                let reply = reply.unwrap_or_else(|| store.apply(now, &request));
                let event = ClaimEvent::StoreReplied { call, reply };
                desk.on_event(now, event, &mut actions);
            }
        }
    }
    verdicts
}

fn ask(desk: &mut ClaimDesk, store: &mut FakeStore, query: u64) -> ClaimVerdict {
    let mut verdicts = run(desk, store, start(), take(query, KEY), |_, _| None);
    assert_eq!(verdicts.len(), 1);
    verdicts.remove(0)
}

fn is_write(call: &StoreCall) -> bool {
    matches!(call, StoreCall::Write { .. })
}

#[test]
fn a_repeat_hears_the_recorded_outcome() {
    let mut store = FakeStore::default();
    let (mut first, mut second) = (desk("a", 1), desk("b", 1));
    assert!(matches!(
        ask(&mut first, &mut store, 1),
        ClaimVerdict::Granted
    ));
    assert!(matches!(
        ask(&mut second, &mut store, 1),
        ClaimVerdict::Taken
    ));
    let record = ClaimEvent::Record {
        query: QueryId(1),
        answer: answer(),
    };
    run(&mut first, &mut store, start(), record, |_, _| None);
    let ClaimVerdict::Recorded(found) = ask(&mut second, &mut store, 2) else {
        panic!("no recorded outcome");
    };
    assert_eq!(*found, answer());
    assert_eq!(first.open_count(), 0);
}

#[test]
fn a_released_claim_can_be_taken_again() {
    let mut store = FakeStore::default();
    let (mut first, mut second) = (desk("a", 1), desk("b", 1));
    ask(&mut first, &mut store, 1);
    let release = ClaimEvent::Release { query: QueryId(1) };
    run(&mut first, &mut store, start(), release, |_, _| None);
    assert!(matches!(
        ask(&mut second, &mut store, 1),
        ClaimVerdict::Granted
    ));
    assert!(matches!(
        ask(&mut first, &mut store, 2),
        ClaimVerdict::Taken
    ));
}

#[test]
fn a_lost_reply_is_settled_by_reading_back() {
    let mut store = FakeStore::default();
    let mut desk = desk("a", 1);
    let mut lost = false;
    let verdicts = run(
        &mut desk,
        &mut store,
        start(),
        take(1, KEY),
        |store, call| {
            if lost || !is_write(call) {
                return None;
            }
            lost = true;
            store.apply(start(), call);
            Some(StoreReply::Unsure)
        },
    );
    assert!(matches!(verdicts[..], [ClaimVerdict::Granted]));
    assert_eq!(desk.counts().read_back, 1);
}

#[test]
fn a_store_that_is_down_runs_nothing() {
    for reply in [StoreReply::Failed, StoreReply::Unsure, StoreReply::Refused] {
        let mut store = FakeStore::default();
        let mut desk = desk("a", 1);
        let verdicts = run(&mut desk, &mut store, start(), take(1, KEY), |_, _| {
            Some(reply.clone())
        });
        assert!(
            matches!(verdicts[..], [ClaimVerdict::StoreDown]),
            "{reply:?}"
        );
    }
}

/// A write whose reply was lost takes effect after the claim was refused: the holder fences it off
/// or gives it back, and the caller's repeat may run.
#[test]
fn a_write_that_lands_late_is_given_back() {
    for lands_before_cleanup in [true, false] {
        let mut store = FakeStore::default();
        let mut holder = desk("a", 1);
        let mut late = None;
        let verdicts = run(&mut holder, &mut store, start(), take(1, KEY), |_, call| {
            if matches!(call, StoreCall::Grant { .. }) {
                return None;
            }
            if is_write(call) {
                late.get_or_insert(call.clone());
            }
            Some(StoreReply::Unsure)
        });
        assert!(matches!(verdicts[..], [ClaimVerdict::StoreDown]));
        let late = late.expect("write");
        if lands_before_cleanup {
            store.apply(start(), &late);
        }
        let now = holder.next_wakeup();
        assert!(now < TimePoint::NEVER);
        run(
            &mut holder,
            &mut store,
            now,
            ClaimEvent::TimerFired,
            |_, _| None,
        );
        if !lands_before_cleanup {
            let reply = store.apply(now, &late);
            assert!(matches!(reply, StoreReply::Conflict { .. }));
        }
        assert_eq!(holder.open_count(), 0);
        assert!(matches!(
            ask(&mut desk("b", 1), &mut store, 1),
            ClaimVerdict::Granted
        ));
    }
}

#[test]
fn a_restarted_daemon_is_not_the_holder() {
    let mut store = FakeStore::default();
    ask(&mut desk("a", 1), &mut store, 1);
    let verdict = ask(&mut desk("a", 2), &mut store, 1);
    assert!(matches!(verdict, ClaimVerdict::Taken));
}

#[test]
fn a_record_outlasts_an_outage() {
    let mut store = FakeStore::default();
    let mut holder = desk("a", 1);
    ask(&mut holder, &mut store, 1);
    let record = ClaimEvent::Record {
        query: QueryId(1),
        answer: answer(),
    };
    let mut now = start();
    run(&mut holder, &mut store, now, record, |_, _| {
        Some(StoreReply::Failed)
    });
    let mut calls = 0;
    while now < start() + Duration::from_secs(3600) {
        now = holder.next_wakeup();
        run(
            &mut holder,
            &mut store,
            now,
            ClaimEvent::TimerFired,
            |_, _| {
                calls += 1;
                Some(StoreReply::Unsure)
            },
        );
    }
    assert!(calls < 600, "{calls} calls in an hour");
    now = holder.next_wakeup();
    run(
        &mut holder,
        &mut store,
        now,
        ClaimEvent::TimerFired,
        |_, _| None,
    );
    assert_eq!(holder.open_count(), 0);
    assert!(matches!(
        ask(&mut desk("b", 1), &mut store, 1),
        ClaimVerdict::Recorded(_)
    ));
}

#[test]
fn keys_outside_their_window_are_refused_and_their_claims_go() {
    let cases = [
        (Duration::from_secs(10), true),
        (DAY - Duration::from_secs(1), true),
        (DAY + Duration::from_secs(1), false),
        (10 * DAY, false),
    ];
    for (age, granted) in cases {
        let now = TimePoint(MADE * 1_000_000) + age;
        let mut store = FakeStore::default();
        let verdicts = run(&mut desk("a", 1), &mut store, now, take(1, KEY), |_, _| {
            None
        });
        let found = matches!(verdicts[..], [ClaimVerdict::Granted]);
        assert_eq!(found, granted, "{age:?}");
    }
    let early = TimePoint(MADE * 1_000_000) - Duration::from_secs(3600);
    let mut store = FakeStore::default();
    let verdicts = run(
        &mut desk("a", 1),
        &mut store,
        early,
        take(1, KEY),
        |_, _| None,
    );
    assert!(matches!(verdicts[..], [ClaimVerdict::TooOld]));
}

/// A daemon whose clock lags by a window still finds the claim.
#[test]
fn claims_outlast_clock_differences() {
    let mut store = FakeStore::default();
    ask(&mut desk("a", 1), &mut store, 1);
    let late = start() + 2 * DAY;
    store.apply(late, &StoreCall::Get { key: "any".into() });
    assert!(matches!(
        ask(&mut desk("b", 1), &mut store, 1),
        ClaimVerdict::Taken
    ));
    store.apply(late + DAY, &StoreCall::Get { key: "any".into() });
    assert!(store.values.is_empty());
}

#[test]
fn a_lapsed_lease_is_granted_anew() {
    let mut store = FakeStore::default();
    let mut holder = desk("a", 1);
    ask(&mut holder, &mut store, 1);
    // The store comes back without its leases.
    store.apply(start() + 4 * DAY, &StoreCall::Get { key: "any".into() });
    let verdicts = run(
        &mut holder,
        &mut store,
        start(),
        take(2, "t1764817200-order-8"),
        |_, _| None,
    );
    assert!(matches!(verdicts[..], [ClaimVerdict::Granted]));
}

#[test]
fn places_depend_on_the_key_alone() {
    let place = |user: &str, key: &str| {
        ClaimPlace::of(&name("receipts"), &name(user), &name(key)).store_key
    };
    let dated = place("ana", KEY);
    assert!(dated.starts_with("claims/receipts/490227/"), "{dated}");
    assert_ne!(dated, place("bo", KEY));
    for undated in [
        "order-7",
        "t12-x",
        "t1764817200",
        "t17648172001-x",
        "t1764817200-",
    ] {
        assert!(place("ana", undated).starts_with("claims/receipts/undated/"));
    }
}

#[test]
fn answers_survive_the_record() {
    let refused = QueryAnswer::not_run(QueryReason::Shed, None, BundleVersion(3));
    for kept in [answer(), refused] {
        assert_eq!(restore_answer(&record_answer(&kept)), Some(kept));
    }
}
