//! Admission control: decisions on arrival, refusals while waiting, and the bound on requests held.

use std::time::Duration;

use policy::{
    engine::QueryReason,
    limits::{
        AdmissionController,
        AdmissionDecision,
        AdmissionRequest,
        AdmissionSettings, //
    },
};
use schema::{
    QueryId,
    TimePoint, //
};

const NOW: TimePoint = TimePoint(1_000_500_000);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn request(query: u64, user: &str, time_left: u64, expected_time: u64) -> AdmissionRequest {
    AdmissionRequest {
        query: QueryId(query),
        user: user.parse().unwrap_or_else(|_| panic!("{user}")),
        group: "g".parse().unwrap_or_else(|_| panic!("group")),
        deadline: NOW + ms(time_left),
        expected_time: ms(expected_time),
    }
}

fn controller(requests: usize) -> AdmissionController {
    AdmissionController::new(AdmissionSettings { requests })
}

fn reason(decision: AdmissionDecision) -> Option<QueryReason> {
    match decision {
        AdmissionDecision::Refuse {
            reason,
            retry_after,
        } => {
            assert!(retry_after >= ms(15) && retry_after <= ms(12_500));
            Some(reason)
        }
        _ => None,
    }
}

/// Requests of a group that may run before the first window is measured.
const INITIAL_LIMIT: u64 = 4;

#[test]
fn decisions_on_arrival() {
    let mut controller = controller(100);
    let expired = controller.admit(NOW, request(0, "u", 0, 10));
    assert_eq!(reason(expired), Some(QueryReason::Deadline));
    for query in 1..=INITIAL_LIMIT {
        let decision = controller.admit(NOW, request(query, "u", 100, 10));
        assert_eq!(decision, AdmissionDecision::Run);
    }
    let tight = controller.admit(NOW, request(20, "u", 9, 10));
    assert_eq!(reason(tight), Some(QueryReason::Deadline));
    let decision = controller.admit(NOW, request(21, "u", 100, 10));
    assert_eq!(decision, AdmissionDecision::Wait);
}

#[test]
fn an_idle_group_admits_one_request_regardless_of_its_expected_time() {
    let mut controller = controller(100);
    assert_eq!(
        controller.admit(NOW, request(1, "u", 100, 5_000)),
        AdmissionDecision::Run
    );
    let second = controller.admit(NOW, request(2, "u", 100, 5_000));
    assert_eq!(reason(second), Some(QueryReason::Deadline));
}

#[test]
fn waiting_requests_run_in_fair_order_or_are_refused_before_their_deadline() {
    let mut controller = controller(100);
    for query in 0..INITIAL_LIMIT {
        controller.admit(NOW, request(query, "greedy", 1_000, 10));
    }
    for query in 12..16 {
        controller.admit(NOW, request(query, "greedy", 100, 10));
    }
    controller.admit(NOW, request(16, "modest", 100, 10));
    let mut ready = Vec::new();
    let mut refused = Vec::new();
    controller.release(NOW, &mut ready, &mut refused);
    assert!(ready.is_empty() && refused.is_empty());
    let mut order = Vec::new();
    for query in [0, 1] {
        controller.finished(NOW + ms(10), QueryId(query), NOW);
        controller.release(NOW + ms(10), &mut ready, &mut refused);
        order.append(&mut ready);
    }
    assert_eq!(order, [QueryId(12), QueryId(16)]);
    assert_eq!(controller.next_wakeup(), NOW + ms(90));
    controller.finished(NOW + ms(20), QueryId(13), NOW);
    controller.release(NOW + ms(90), &mut ready, &mut refused);
    assert!(ready.is_empty());
    let refusals: Vec<_> = refused
        .iter()
        .map(|(query, reason, _)| (query.0, *reason))
        .collect();
    assert_eq!(
        refusals,
        [(14, QueryReason::Overload), (15, QueryReason::Overload)]
    );
    assert_eq!(controller.next_wakeup(), TimePoint::NEVER);
}

#[test]
fn a_full_controller_evicts_for_a_user_without_a_request() {
    let mut controller = controller(8);
    for query in 0..8 {
        assert_eq!(
            reason(controller.admit(NOW, request(query, "greedy", 1_000, 10))),
            None
        );
    }
    let greedy = controller.admit(NOW, request(8, "greedy", 1_000, 10));
    assert_eq!(reason(greedy), Some(QueryReason::UserOverShare));
    assert_eq!(
        controller.admit(NOW, request(9, "modest", 1_000, 10)),
        AdmissionDecision::Wait
    );
    assert!(controller.next_wakeup() <= NOW);
    let mut ready = Vec::new();
    let mut refused = Vec::new();
    controller.release(NOW, &mut ready, &mut refused);
    assert_eq!(refused.len(), 1);
    assert_eq!(
        (refused[0].0, refused[0].1),
        (QueryId(7), QueryReason::UserOverShare)
    );
    for query in 10..1_000 {
        controller.admit(NOW, request(query, &format!("u{query}"), 1_000, 10));
    }
    controller.release(NOW, &mut ready, &mut refused);
    let held = (0..1_000).filter(|query| {
        let gone = refused.iter().any(|(other, _, _)| other.0 == *query);
        !gone && *query != 8
    });
    assert!(held.count() >= 8);
}
