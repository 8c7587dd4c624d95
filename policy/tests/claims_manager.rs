//! The claim manager with one fault at a time.

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
        ClaimEvent,
        ClaimLocation,
        ClaimManager,
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
const CREATED_SECONDS: u64 = 1_764_817_200;
const KEY: &str = "t1764817200-order-7";

fn start() -> TimePoint {
    TimePoint(CREATED_SECONDS * 1_000_000) + Duration::from_secs(10)
}

fn claims(daemon: &str, incarnation: u64) -> ClaimManager {
    let mut spec = body();
    spec.version = 1;
    let spec = DeploymentSpec::from_body(&spec).expect("spec");
    let mut claims = ClaimManager::new(ClaimSettings {
        daemon: Some(name(daemon)),
        incarnation: Incarnation(incarnation),
        ..ClaimSettings::default()
    });
    claims.apply_bundle(&spec);
    claims
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

/// Delivers an event and answers the store calls that follow. `fault` may replace the reply to a
/// call; it decides whether the call takes effect.
fn run_event(
    claims: &mut ClaimManager,
    store: &mut FakeStore,
    now: TimePoint,
    event: ClaimEvent,
    mut fault: impl FnMut(&mut FakeStore, &StoreCall) -> Option<StoreReply>,
) -> Vec<ClaimVerdict> {
    let mut verdicts = Vec::new();
    let mut actions = Vec::new();
    claims.on_event(now, event, &mut actions);
    while !actions.is_empty() {
        match actions.remove(0) {
            ClaimAction::Resolved { verdict, .. } => verdicts.push(verdict),
            ClaimAction::Store { call, request } => {
                let reply = fault(store, &request);
                let reply = reply.unwrap_or_else(|| store.apply(now, &request));
                let event = ClaimEvent::StoreReplied { call, reply };
                claims.on_event(now, event, &mut actions);
            }
        }
    }
    verdicts
}

fn take_claim(claims: &mut ClaimManager, store: &mut FakeStore, query: u64) -> ClaimVerdict {
    let mut verdicts = run_event(claims, store, start(), take(query, KEY), |_, _| None);
    assert_eq!(verdicts.len(), 1);
    verdicts.remove(0)
}

fn is_write(call: &StoreCall) -> bool {
    matches!(call, StoreCall::Write { .. })
}

#[test]
fn a_repeated_key_gets_the_recorded_outcome() {
    let mut store = FakeStore::default();
    let (mut first, mut second) = (claims("a", 1), claims("b", 1));
    assert!(matches!(
        take_claim(&mut first, &mut store, 1),
        ClaimVerdict::Granted
    ));
    assert!(matches!(
        take_claim(&mut second, &mut store, 1),
        ClaimVerdict::Taken
    ));
    let record = ClaimEvent::Record {
        query: QueryId(1),
        answer: answer(),
    };
    run_event(&mut first, &mut store, start(), record, |_, _| None);
    let ClaimVerdict::Recorded(found) = take_claim(&mut second, &mut store, 2) else {
        panic!("no recorded outcome");
    };
    assert_eq!(*found, answer());
    assert_eq!(first.open_count(), 0);
}

#[test]
fn a_released_claim_can_be_taken_again() {
    let mut store = FakeStore::default();
    let (mut first, mut second) = (claims("a", 1), claims("b", 1));
    take_claim(&mut first, &mut store, 1);
    let release = ClaimEvent::Release { query: QueryId(1) };
    run_event(&mut first, &mut store, start(), release, |_, _| None);
    assert!(matches!(
        take_claim(&mut second, &mut store, 1),
        ClaimVerdict::Granted
    ));
    assert!(matches!(
        take_claim(&mut first, &mut store, 2),
        ClaimVerdict::Taken
    ));
}

#[test]
fn a_lost_reply_is_resolved_by_reading_the_key_back() {
    let mut store = FakeStore::default();
    let mut claims = claims("a", 1);
    let mut lost = false;
    let verdicts = run_event(
        &mut claims,
        &mut store,
        start(),
        take(1, KEY),
        |store, call| {
            if lost || !is_write(call) {
                return None;
            }
            lost = true;
            store.apply(start(), call);
            Some(StoreReply::Indeterminate)
        },
    );
    assert!(matches!(verdicts[..], [ClaimVerdict::Granted]));
    assert_eq!(claims.counts().read_back, 1);
}

#[test]
fn no_claim_is_granted_while_the_store_is_down() {
    for reply in [
        StoreReply::Failed,
        StoreReply::Indeterminate,
        StoreReply::Refused,
    ] {
        let mut store = FakeStore::default();
        let mut claims = claims("a", 1);
        let verdicts = run_event(&mut claims, &mut store, start(), take(1, KEY), |_, _| {
            Some(reply.clone())
        });
        assert!(
            matches!(verdicts[..], [ClaimVerdict::StoreDown]),
            "{reply:?}"
        );
    }
}

/// A write whose reply was lost takes effect after the claim was refused. The holder either
/// prevents the write or releases the claim, so that the caller's retry may run.
#[test]
fn a_delayed_write_is_prevented_or_released() {
    for takes_effect_before_cleanup in [true, false] {
        let mut store = FakeStore::default();
        let mut holder = claims("a", 1);
        let mut late_write = None;
        let verdicts = run_event(&mut holder, &mut store, start(), take(1, KEY), |_, call| {
            if matches!(call, StoreCall::Grant { .. }) {
                return None;
            }
            if is_write(call) {
                late_write.get_or_insert(call.clone());
            }
            Some(StoreReply::Indeterminate)
        });
        assert!(matches!(verdicts[..], [ClaimVerdict::StoreDown]));
        let late_write = late_write.expect("write");
        if takes_effect_before_cleanup {
            store.apply(start(), &late_write);
        }
        let now = holder.next_wakeup();
        assert!(now < TimePoint::NEVER);
        run_event(
            &mut holder,
            &mut store,
            now,
            ClaimEvent::TimerFired,
            |_, _| None,
        );
        if !takes_effect_before_cleanup {
            let reply = store.apply(now, &late_write);
            assert!(matches!(reply, StoreReply::Conflict { .. }));
        }
        assert_eq!(holder.open_count(), 0);
        assert!(matches!(
            take_claim(&mut claims("b", 1), &mut store, 1),
            ClaimVerdict::Granted
        ));
    }
}

#[test]
fn a_restarted_daemon_does_not_hold_its_earlier_claims() {
    let mut store = FakeStore::default();
    take_claim(&mut claims("a", 1), &mut store, 1);
    let verdict = take_claim(&mut claims("a", 2), &mut store, 1);
    assert!(matches!(verdict, ClaimVerdict::Taken));
}

#[test]
fn an_outcome_is_recorded_after_an_outage() {
    let mut store = FakeStore::default();
    let mut holder = claims("a", 1);
    take_claim(&mut holder, &mut store, 1);
    let record = ClaimEvent::Record {
        query: QueryId(1),
        answer: answer(),
    };
    let mut now = start();
    run_event(&mut holder, &mut store, now, record, |_, _| {
        Some(StoreReply::Failed)
    });
    let mut calls = 0;
    while now < start() + Duration::from_secs(3600) {
        now = holder.next_wakeup();
        run_event(
            &mut holder,
            &mut store,
            now,
            ClaimEvent::TimerFired,
            |_, _| {
                calls += 1;
                Some(StoreReply::Indeterminate)
            },
        );
    }
    assert!(calls < 600, "{calls} calls in an hour");
    now = holder.next_wakeup();
    run_event(
        &mut holder,
        &mut store,
        now,
        ClaimEvent::TimerFired,
        |_, _| None,
    );
    assert_eq!(holder.open_count(), 0);
    assert!(matches!(
        take_claim(&mut claims("b", 1), &mut store, 1),
        ClaimVerdict::Recorded(_)
    ));
}

#[test]
fn keys_outside_their_window_are_refused() {
    let cases = [
        (Duration::from_secs(10), true),
        (DAY - Duration::from_secs(1), true),
        (DAY + Duration::from_secs(1), false),
        (10 * DAY, false),
    ];
    for (age, granted) in cases {
        let at = TimePoint(CREATED_SECONDS * 1_000_000) + age;
        let mut store = FakeStore::default();
        let verdicts = run_event(&mut claims("a", 1), &mut store, at, take(1, KEY), |_, _| {
            None
        });
        let was_granted = matches!(verdicts[..], [ClaimVerdict::Granted]);
        assert_eq!(was_granted, granted, "{age:?}");
    }
    let early = TimePoint(CREATED_SECONDS * 1_000_000) - Duration::from_secs(3600);
    let mut store = FakeStore::default();
    let verdicts = run_event(
        &mut claims("a", 1),
        &mut store,
        early,
        take(1, KEY),
        |_, _| None,
    );
    assert!(matches!(verdicts[..], [ClaimVerdict::TooOld]));
}

/// A daemon whose clock is behind by one window must still find the claim.
#[test]
fn claims_outlast_a_clock_lag_of_one_window() {
    let mut store = FakeStore::default();
    take_claim(&mut claims("a", 1), &mut store, 1);
    let late = start() + 2 * DAY;
    store.apply(late, &StoreCall::Get { key: "any".into() });
    assert!(matches!(
        take_claim(&mut claims("b", 1), &mut store, 1),
        ClaimVerdict::Taken
    ));
    store.apply(late + DAY, &StoreCall::Get { key: "any".into() });
    assert!(store.values.is_empty());
}

#[test]
fn an_expired_lease_is_replaced() {
    let mut store = FakeStore::default();
    let mut holder = claims("a", 1);
    take_claim(&mut holder, &mut store, 1);
    // The store has lost its leases.
    store.apply(start() + 4 * DAY, &StoreCall::Get { key: "any".into() });
    let verdicts = run_event(
        &mut holder,
        &mut store,
        start(),
        take(2, "t1764817200-order-8"),
        |_, _| None,
    );
    assert!(matches!(verdicts[..], [ClaimVerdict::Granted]));
}

#[test]
fn locations_depend_on_the_key_alone() {
    let location = |user: &str, key: &str| {
        ClaimLocation::new(&name("receipts"), &name(user), &name(key)).store_key
    };
    let with_time = location("ana", KEY);
    assert!(
        with_time.starts_with("claims/receipts/490227/"),
        "{with_time}"
    );
    assert_ne!(with_time, location("bo", KEY));
    for without_time in [
        "order-7",
        "t12-x",
        "t1764817200",
        "t17648172001-x",
        "t1764817200-",
    ] {
        assert!(location("ana", without_time).starts_with("claims/receipts/undated/"));
    }
}

#[test]
fn recorded_answers_are_restored_unchanged() {
    let refused = QueryAnswer::not_run(QueryReason::Shed, None, BundleVersion(3));
    for kept in [answer(), refused] {
        assert_eq!(restore_answer(&record_answer(&kept)), Some(kept));
    }
}
