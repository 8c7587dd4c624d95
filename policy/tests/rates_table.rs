//! Single daemons and pairs that share rates.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use policy::rates::{
    RateAction,
    RateAdmission,
    RateKey,
    RateLimit,
    RateMember,
    RateMessage,
    RateSettings,
    RateTable, //
};
use schema::{
    CpuCapacity,
    DaemonName,
    FleetEntry,
    FleetRecord,
    QueryId,
    TimePoint, //
};

const START: TimePoint = TimePoint(1_000_000_000);
const KEY: RateKey = RateKey::Account(7);

fn name(text: &str) -> DaemonName {
    text.parse().unwrap()
}

fn at(ms: u64) -> TimePoint {
    START + Duration::from_millis(ms)
}

fn limit(per_second: f64) -> RateLimit {
    RateLimit {
        per_second,
        burst: per_second,
        window: Duration::from_secs(5),
        overage: 0.1,
        slack: 20.0,
    }
}

fn table(daemon: &str, capacity: u32) -> RateTable {
    RateTable::new(RateSettings {
        daemon: name(daemon),
        capacity: CpuCapacity(capacity),
        incarnation: 5,
    })
}

fn fleet(daemons: &[&str]) -> FleetEntry {
    FleetEntry {
        record: FleetRecord {
            version: 1,
            daemons: daemons.iter().map(|daemon| name(daemon)).collect(),
        },
        revision: 9,
    }
}

fn member(daemon: &str, capacity: u32) -> Vec<RateMember> {
    let (daemon, capacity) = (name(daemon), CpuCapacity(capacity));
    vec![RateMember { daemon, capacity }]
}

fn timer(table: &mut RateTable, now: TimePoint) -> Vec<RateAction> {
    let mut actions = Vec::new();
    if table.next_wakeup() <= now {
        table.on_timer(now, &mut actions);
    }
    actions
}

fn sent(actions: &[RateAction]) -> Vec<RateMessage> {
    let messages = actions.iter().filter_map(|action| match action {
        RateAction::Send { message, .. } => Some(message.clone()),
        _ => None,
    });
    messages.collect()
}

/// Guards against work in deployments without limits: no timers, no messages and no writes.
#[test]
fn without_limits_there_is_nothing_to_do() {
    let mut rates = table("a", 1);
    rates.set_members(at(0), member("b", 2));
    rates.set_fleet(at(0), fleet(&["a", "b"]));
    assert_eq!(rates.next_wakeup(), TimePoint::NEVER);
    assert_eq!(
        rates.request(at(1), KEY, QueryId(1)),
        RateAdmission::Admitted
    );
    assert!(rates.try_take(at(1), KEY));
    assert!(timer(&mut rates, at(60_000)).is_empty());
}

/// Guards against a limit that also holds for keys without one.
#[test]
fn keys_without_a_limit_are_admitted() {
    let mut rates = table("a", 1);
    rates.set_limits(at(0), vec![(KEY, limit(1.0))]);
    for query in 0..1_000 {
        let admission = rates.request(at(0), RateKey::Account(8), QueryId(query));
        assert_eq!(admission, RateAdmission::Admitted);
    }
}

/// Guards against a daemon that is the only one in the record and admits less than the rate.
#[test]
fn the_only_daemon_admits_the_whole_rate() {
    let mut rates = table("a", 1);
    rates.set_limits(at(0), vec![(KEY, limit(50.0))]);
    rates.set_fleet(at(0), fleet(&["a"]));
    let mut admitted = 0;
    for ms in 0..20_000 {
        timer(&mut rates, at(ms));
        let admission = rates.request(at(ms), KEY, QueryId(ms));
        admitted += u32::from(ms >= 5_000 && admission == RateAdmission::Admitted);
    }
    assert!((748..=755).contains(&admitted), "{admitted}");
}

/// Guards against a daemon that admits the rate before it knows how many others do: without a record, all of
/// them together have a part of the headroom.
#[test]
fn without_a_record_only_the_headroom_is_used() {
    let mut rates = table("a", 1);
    rates.set_limits(at(0), vec![(KEY, limit(50.0))]);
    let mut admitted = 0;
    for ms in 0..6_000 {
        let admission = rates.request(at(ms), KEY, QueryId(ms));
        admitted += u32::from(admission == RateAdmission::Admitted);
    }
    // The headroom is 0.95 x (300 x 1.1 + 20) - 300 = 32.5.
    assert!((5..=17).contains(&admitted), "{admitted}");
}

/// Guards against requests that wait for an authority which does not answer.
#[test]
fn a_request_without_an_answer_is_decided_within_100_ms() {
    let mut rates = table("a", 1);
    rates.set_limits(at(0), vec![(KEY, limit(50.0))]);
    rates.set_fleet(at(0), fleet(&["a", "b"]));
    rates.set_members(at(0), member("b", 2));
    timer(&mut rates, at(0));
    assert_eq!(
        rates.request(at(0), KEY, QueryId(1)),
        RateAdmission::Pending
    );
    let mut asked = 0;
    for ms in 0..=100 {
        let actions = timer(&mut rates, at(ms));
        asked += sent(&actions)
            .iter()
            .filter(|ask| !ask.entries.is_empty())
            .count();
        let decided = actions.iter().any(|action| {
            matches!(
                action,
                RateAction::Decided {
                    query: QueryId(1),
                    ..
                }
            )
        });
        if decided {
            assert_eq!(asked, 3, "asked again every 40 ms");
            return;
        }
    }
    panic!("not decided");
}

/// Guards against tokens that a repeated question or answer grants twice.
#[test]
fn repeated_datagrams_grant_nothing() {
    let (mut holder, mut authority) = (table("a", 1), table("b", 2));
    for (rates, other) in [(&mut holder, "b"), (&mut authority, "a")] {
        rates.set_limits(at(0), vec![(KEY, limit(50.0))]);
        rates.set_fleet(at(0), fleet(&["a", "b"]));
        let capacity = if other == "b" { 2 } else { 1 };
        rates.set_members(at(0), member(other, capacity));
        timer(rates, at(0));
    }
    let now = at(6_000);
    timer(&mut authority, now);
    // The holder has a base share of its own, since it has pledged nothing.
    while holder.request(now, KEY, QueryId(1)) == RateAdmission::Admitted {}
    let asks = sent(&timer(&mut holder, now));
    let ask = asks.iter().find(|ask| !ask.entries.is_empty()).unwrap();
    let mut answers = Vec::new();
    for _ in 0..3 {
        authority.on_message(now, &name("a"), ask, &mut answers);
    }
    let answers = sent(&answers);
    assert_eq!(answers.len(), 1);
    let granted = answers[0].entries[0].granted;
    let mut actions = Vec::new();
    for _ in 0..3 {
        holder.on_message(now, &name("b"), &answers[0], &mut actions);
    }
    assert_eq!(actions.len(), 1, "{actions:?}");
    let mut admitted = 1;
    while holder.request(now, KEY, QueryId(9)) == RateAdmission::Admitted {
        admitted += 1;
    }
    assert_eq!(admitted, granted);
}

/// Guards against a request that did not run and is counted all the same.
#[test]
fn a_request_that_did_not_run_returns_its_token() {
    let mut rates = table("a", 1);
    rates.set_limits(at(0), vec![(KEY, limit(1.0))]);
    rates.set_fleet(at(0), fleet(&["a"]));
    timer(&mut rates, at(0));
    timer(&mut rates, at(2_500));
    assert!(rates.try_take(at(2_500), KEY));
    while rates.try_take(at(2_500), KEY) {}
    rates.give_back(at(2_500), KEY);
    assert!(rates.try_take(at(2_500), KEY));
    assert!(!rates.try_take(at(2_500), KEY));
}
