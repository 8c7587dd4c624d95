//! Limits on connections and request bytes, without a network.

#![allow(clippy::unwrap_used)]

use std::{
    net::{
        IpAddr,
        Ipv4Addr, //
    },
    time::Duration, //
};

use policy::intake::{
    IntakeBudget,
    IntakeError,
    IntakeId,
    IntakeSettings,
    IntakeStage,
    RoomAnswer, //
};
use proptest::prelude::*;
use schema::TimePoint;

const START: TimePoint = TimePoint(1_000_000);
const BODY: usize = 262_144;

fn address(number: u8) -> IpAddr {
    Ipv4Addr::new(10, 0, 0, number).into()
}

fn after(millis: u64) -> TimePoint {
    START + Duration::from_millis(millis)
}

fn budget(connections_max: usize, bytes_max: usize) -> IntakeBudget {
    IntakeBudget::new(IntakeSettings {
        connections_max,
        bytes_max,
        ..IntakeSettings::default()
    })
}

fn open(budget: &mut IntakeBudget, now: TimePoint, number: u8) -> IntakeId {
    let mut dropped = Vec::new();
    let id = budget.open(now, address(number), &mut dropped).unwrap();
    assert!(dropped.is_empty());
    budget.set_stage(now, id, IntakeStage::Reading);
    id
}

fn take(
    budget: &mut IntakeBudget,
    now: TimePoint,
    id: IntakeId,
    bytes: usize,
) -> (RoomAnswer, Vec<IntakeId>) {
    let mut dropped = Vec::new();
    let answer = budget.take(now, id, bytes, &mut dropped);
    (answer, dropped)
}

/// Guards against limits that callers reach in normal operation: a hundred connections with bodies of
/// 4 KB and eight of the largest size, on the smallest VM.
#[test]
fn normal_load_fits_the_smallest_vm() {
    let settings = IntakeSettings::of_callers(None, None).unwrap();
    let mut budget = IntakeBudget::new(settings);
    for number in 0..100 {
        let id = open(&mut budget, START, number % 3);
        let bytes = if number < 8 { BODY } else { 4_096 };
        assert_eq!(
            take(&mut budget, START, id, bytes),
            (RoomAnswer::Taken, vec![])
        );
    }
    assert!(settings.connections_max >= 500);
}

/// Guards against limits that leave a daemon unable to serve, which it must report at its start.
#[test]
fn too_small_limits_are_errors() {
    let memory = IntakeSettings::of_callers(Some(1_000_000), None);
    assert!(matches!(memory, Err(IntakeError::MemoryTooSmall { .. })));
    let descriptors = IntakeSettings::of_callers(None, Some(210));
    assert!(matches!(
        descriptors,
        Err(IntakeError::TooFewDescriptors { .. })
    ));
}

/// Guards against idle connections that lock out new ones, and against closing the wrong one.
#[test]
fn the_longest_idle_connection_gives_way() {
    let mut budget = budget(4, BODY);
    let ids = [1, 2, 3, 4].map(|number| {
        let id = open(&mut budget, after(u64::from(number)), number);
        budget.set_stage(after(u64::from(number)), id, IntakeStage::Idle);
        id
    });
    // The first has a request, the second had one and is idle again.
    budget.set_stage(after(10), ids[0], IntakeStage::Serving);
    budget.set_stage(after(10), ids[1], IntakeStage::Serving);
    budget.set_stage(after(20), ids[1], IntakeStage::Idle);
    let mut dropped = Vec::new();
    for _ in 0..3 {
        let id = budget.open(after(30), address(9), &mut dropped).unwrap();
        budget.set_stage(after(30), id, IntakeStage::Serving);
    }
    assert_eq!(dropped, [ids[2], ids[3], ids[1]]);
    // All others are being served.
    assert!(!budget.can_open());
    assert_eq!(budget.open(after(40), address(9), &mut dropped), None);
    budget.close(ids[0]);
    assert!(budget.can_open());
}

/// Guards against one address that takes the connections of all others.
#[test]
fn an_address_over_its_share_gives_way_to_itself() {
    let mut budget = budget(4, BODY);
    let other = open(&mut budget, START, 1);
    let own = open(&mut budget, after(1), 2);
    open(&mut budget, after(2), 2);
    open(&mut budget, after(3), 2);
    let mut dropped = Vec::new();
    assert!(budget.open(after(4), address(2), &mut dropped).is_some());
    assert_eq!(dropped, [own]);
    dropped.clear();
    assert!(budget.open(after(5), address(3), &mut dropped).is_some());
    assert_eq!(dropped, [other]);
}

/// Guards against stalled bodies that keep their room, and against dropping more than needed or those
/// that make progress.
#[test]
fn stalled_bodies_give_way_first() {
    let mut budget = budget(100, 16 * BODY);
    let ids: Vec<IntakeId> = (0..14)
        .map(|number| {
            let id = open(&mut budget, after(u64::from(number)), number % 2);
            assert_eq!(take(&mut budget, START, id, BODY).0, RoomAnswer::Taken);
            id
        })
        .collect();
    // The first makes progress; the second sends too little to count.
    budget.on_received(after(400), ids[0], 5_000);
    budget.on_received(after(400), ids[1], 10);
    let late = open(&mut budget, after(410), 7);
    assert_eq!(
        take(&mut budget, after(410), late, BODY),
        (RoomAnswer::Short, vec![ids[1]])
    );
    // Nobody else is dropped while the room of the dropped one is about to be free.
    assert_eq!(
        take(&mut budget, after(411), late, BODY),
        (RoomAnswer::Short, vec![])
    );
    budget.close(ids[1]);
    assert_eq!(
        take(&mut budget, after(412), late, BODY).0,
        RoomAnswer::Taken
    );
}

/// Guards against one address that takes all room, and against large bodies that leave none to small
/// ones.
#[test]
fn shares_of_addresses_and_small_requests_are_kept() {
    let mut budget = budget(100, 16 * BODY);
    let mut taken = 0;
    let mut large = || {
        let id = open(&mut budget, START, 1);
        take(&mut budget, START, id, BODY).0 == RoomAnswer::Taken
    };
    while large() {
        taken += 1;
    }
    assert_eq!(taken, 7);
    let small = open(&mut budget, START, 1);
    assert_eq!(take(&mut budget, START, small, 4_096).0, RoomAnswer::Taken);
    let other = open(&mut budget, START, 2);
    assert_eq!(take(&mut budget, START, other, BODY).0, RoomAnswer::Taken);
    let huge = open(&mut budget, START, 3);
    assert_eq!(
        take(&mut budget, START, huge, 8 * BODY).0,
        RoomAnswer::Never
    );
}

proptest! {
    /// Guards against counts that drift, by random calls in any order.
    #[test]
    fn counts_agree_after_any_calls(calls in prop::collection::vec((0_u8..7, 0_usize..12, 0_usize..9_000), 0..400)) {
        let mut budget = budget(8, 40_000);
        let mut held: Vec<(IntakeId, usize)> = Vec::new();
        let mut dropped = Vec::new();
        for (step, (call, index, bytes)) in calls.into_iter().enumerate() {
            let now = after(step as u64 * 50);
            let id = held.get(index % held.len().max(1)).map(|(id, _)| *id);
            match (call, id) {
                (0 | 1, _) => {
                    let opened = budget.open(now, address(index as u8 % 3), &mut dropped);
                    held.extend(opened.map(|id| (id, 0)));
                }
                (2, Some(id)) => {
                    budget.close(id);
                    held.retain(|(other, _)| *other != id);
                }
                (3, Some(id)) => {
                    let answer = budget.take(now, id, bytes, &mut dropped);
                    let taken = if answer == RoomAnswer::Taken { bytes } else { 0 };
                    held.iter_mut().filter(|(other, _)| *other == id).for_each(|(_, held)| *held += taken);
                }
                (4, Some(id)) => {
                    budget.release(id);
                    held.iter_mut().filter(|(other, _)| *other == id).for_each(|(_, held)| *held = 0);
                }
                (5, Some(id)) => budget.set_stage(now, id, [IntakeStage::Idle, IntakeStage::Reading, IntakeStage::Serving][index % 3]),
                (_, Some(id)) => budget.on_received(now, id, bytes),
                _ => {}
            }
            prop_assert_eq!(budget.connections(), held.len());
            prop_assert_eq!(budget.bytes(), held.iter().map(|(_, bytes)| bytes).sum::<usize>());
            prop_assert!(budget.bytes() <= 40_000);
            prop_assert!(held.len() <= 8 + 17);
        }
    }
}
