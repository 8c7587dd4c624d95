//! Tests of the directory: which source a daemon reads, and which changes take effect.

#![allow(clippy::unwrap_used)]

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration, //
};

use policy::directory::{
    DirectoryFeed,
    DirectoryState,
    FeedAnswer,
    FeedPage,
    FeedPeer,
    FeedPosition,
    FeedStep, //
};
use schema::{
    BundleVersion,
    DirectoryEvent,
    ReplicaEntry,
    RouteTable,
    TimePoint, //
};

const NOW: TimePoint = TimePoint(1_000_000_000);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn table(version: u64) -> RouteTable {
    RouteTable {
        version: BundleVersion(version),
        ..RouteTable::default()
    }
}

fn entry(name: &str) -> ReplicaEntry {
    ReplicaEntry {
        name: name.parse().unwrap(),
        service: "s".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "a".parse().unwrap(),
        slots: 2,
        draining: false,
        cold_left: Duration::ZERO,
        born_ms: 1,
    }
}

fn removed(name: &str) -> DirectoryEvent {
    DirectoryEvent::Gone(name.parse().unwrap())
}

#[test]
fn an_older_table_is_ignored() {
    let mut state = DirectoryState::default();
    for (version, applied) in [(5, true), (5, false), (4, false), (9, true), (8, false)] {
        assert_eq!(
            state.apply_table(table(version)).is_some(),
            applied,
            "{version}"
        );
    }
    assert_eq!(state.version(), Some(BundleVersion(9)));
}

#[test]
fn replicas_missing_from_a_list_are_removed() {
    let mut state = DirectoryState::default();
    state.apply_entry(NOW, entry("x"));
    state.apply_entry(NOW, entry("y"));
    let names = BTreeSet::from(["y".parse().unwrap()]);
    assert_eq!(state.apply_list(NOW, &names), [removed("x")]);
    assert_eq!(
        state.apply_removal(NOW, &"x".parse().unwrap()),
        None,
        "x was removed before"
    );
}

/// Registrations that expire while the store is down are renewed within two seconds of its return.
/// Their replicas must not be removed before that.
#[test]
fn an_expired_registration_may_be_renewed() {
    let mut state = DirectoryState::default();
    for name in ["back", "lost"] {
        state.apply_entry(NOW, entry(name));
    }
    assert!(state.store_failed() && !state.store_failed());
    assert!(state.store_read(NOW, Duration::MAX) && !state.store_read(NOW, Duration::MAX));
    assert!(state.apply_list(NOW, &BTreeSet::new()).is_empty());
    let seen = state.apply_entry(NOW, entry("back"));
    assert!(matches!(seen, Some(DirectoryEvent::Seen(_))));
    let due = state.next_wakeup();
    assert!(due >= NOW + ms(2_000) && due <= NOW + ms(3_000));
    assert!(state.on_timer(NOW + ms(1_900)).is_empty());
    assert_eq!(state.on_timer(due), [removed("lost")]);
    assert_eq!(state.next_wakeup(), TimePoint::NEVER);
}

#[test]
fn a_removal_takes_effect_at_once_while_the_store_is_up() {
    let mut state = DirectoryState::default();
    state.apply_entry(NOW, entry("x"));
    state.store_read(NOW, Duration::MAX);
    assert_eq!(
        state.apply_removal(NOW, &"x".parse().unwrap()),
        Some(removed("x"))
    );
}

fn peer(name: &str) -> FeedPeer {
    FeedPeer {
        daemon: name.parse().unwrap(),
        address: "127.0.0.1:2".parse().unwrap(),
        zone: "a".parse().unwrap(),
    }
}

fn names(count: usize) -> Vec<String> {
    (0..count).map(|index| format!("d{index}")).collect()
}

/// Feeds of `count` daemons that know each other.
fn feeds(count: usize) -> BTreeMap<String, DirectoryFeed> {
    let names = names(count);
    let feed = |own: &String| {
        let mut feed = DirectoryFeed::new(peer(own), BTreeMap::new());
        let others = names.iter().filter(|name| *name != own);
        feed.set_peers(others.map(|name| peer(name)).collect());
        (own.clone(), feed)
    };
    names.iter().map(feed).collect()
}

fn page(revision: u64, whole: bool, events: Vec<DirectoryEvent>) -> FeedPage {
    FeedPage {
        evacuated: None,
        era: 0,
        revision,
        whole,
        events,
        age: Duration::ZERO,
    }
}

/// A position in era 0.
fn at(revision: u64) -> Option<FeedPosition> {
    Some(FeedPosition { era: 0, revision })
}

fn whole_page(revision: u64) -> FeedPage {
    let events = vec![
        DirectoryEvent::Table(Box::new(table(1))),
        DirectoryEvent::Seen(entry("x")),
    ];
    page(revision, true, events)
}

#[test]
fn two_daemons_read_the_store_for_all() {
    let mut readers = Vec::new();
    for (name, mut feed) in feeds(40) {
        match feed.next_step(NOW) {
            FeedStep::ReadAll => readers.push(name),
            FeedStep::AskPeer { after: None, .. } => {}
            step => panic!("{step:?}"),
        }
    }
    assert_eq!(readers.len(), 2);
    for (_, mut feed) in feeds(40) {
        if let FeedStep::AskPeer { daemon, .. } = feed.next_step(NOW) {
            assert!(readers.contains(&daemon.to_string()));
        }
    }
}

#[test]
fn a_daemon_without_readers_reads_the_store() {
    let mut feeds = feeds(10);
    let mut candidates = feeds.values_mut();
    let feed = candidates
        .find_map(|feed| matches!(feed.next_step(NOW), FeedStep::AskPeer { .. }).then_some(feed))
        .unwrap();
    for _ in 0..2 {
        let FeedStep::AskPeer { daemon, .. } = feed.next_step(NOW) else {
            panic!("the second reader was not asked");
        };
        feed.peer_failed(NOW, &daemon);
    }
    assert_eq!(feed.next_step(NOW), FeedStep::ReadAll);
    feed.store_failed(NOW);
    let FeedStep::Wait { until } = feed.next_step(NOW) else {
        panic!("no backoff after a failed call");
    };
    assert!(until > NOW && until <= NOW + ms(2_000));
    assert_ne!(
        feed.next_step(until),
        FeedStep::Wait { until },
        "the daemon does nothing after its backoff"
    );
}

/// A follower must end up with the reader's directory, also when it has missed some changes.
#[test]
fn a_follower_gets_the_readers_directory() {
    let mut reader = DirectoryFeed::new(peer("r"), BTreeMap::new());
    let mut follower = DirectoryFeed::new(peer("f"), BTreeMap::new());
    assert_eq!(
        reader.answer(NOW, None, NOW),
        FeedAnswer::Stale,
        "nothing was read yet"
    );
    reader.store_answered(NOW, whole_page(10));
    let FeedAnswer::Page(first) = reader.answer(NOW, None, NOW) else {
        panic!("the reader sent no page");
    };
    assert!(first.whole);
    let (effects, _) = follower.peer_answered(NOW, first);
    assert_eq!(effects.len(), 2);
    assert!(follower.is_ready());
    // A renewal that changes nothing is not passed on.
    let renewal = page(12, false, vec![DirectoryEvent::Seen(entry("x"))]);
    reader.store_answered(NOW, renewal);
    let FeedAnswer::Wait(due) = reader.answer(NOW, at(10), NOW) else {
        panic!("the reader answered a call without a change");
    };
    reader.store_answered(NOW + ms(500), page(14, false, vec![removed("x")]));
    let FeedAnswer::Page(changes) = reader.answer(NOW + ms(500), at(10), NOW) else {
        panic!("the reader did not send the change");
    };
    assert!(
        NOW + ms(500) < due,
        "the change was sent too late for the open call"
    );
    assert_eq!(follower.peer_answered(NOW, changes).0, [removed("x")]);
    // A follower that is behind the oldest kept change gets the whole directory.
    let FeedAnswer::Page(latest) = reader.answer(NOW + ms(500), at(3), NOW) else {
        panic!("the reader sent no page to a follower that is far behind");
    };
    assert!(latest.whole);
}

#[test]
fn a_reader_without_the_store_answers_stale() {
    let mut reader = DirectoryFeed::new(peer("r"), BTreeMap::new());
    reader.store_answered(NOW, whole_page(10));
    assert!(matches!(reader.answer(NOW, None, NOW), FeedAnswer::Page(_)));
    assert_eq!(reader.answer(NOW + ms(2_000), None, NOW), FeedAnswer::Stale);
    reader.store_answered(NOW + ms(2_000), page(11, false, Vec::new()));
    assert!(reader.store_failed(NOW + ms(2_100)));
    assert_eq!(reader.answer(NOW + ms(2_100), None, NOW), FeedAnswer::Stale);
}

#[test]
fn changes_from_a_reader_that_is_behind_are_ignored() {
    let mut follower = DirectoryFeed::new(peer("f"), BTreeMap::new());
    follower.store_answered(NOW, whole_page(10));
    let mut draining = entry("x");
    draining.draining = true;
    let (effects, _) =
        follower.store_answered(NOW, page(20, false, vec![DirectoryEvent::Seen(draining)]));
    assert_eq!(effects.len(), 1);
    let older = page(15, false, vec![DirectoryEvent::Seen(entry("x"))]);
    assert!(follower.peer_answered(NOW, older).0.is_empty());
}

/// The readers have lost the store, and one call that this daemon makes to the store fails by
/// chance. It must be repeated soon; only calls that fail in a row may back off for longer.
#[test]
fn one_failed_call_causes_only_a_short_backoff() {
    let mut feeds = feeds(91);
    let mut candidates = feeds.values_mut();
    let feed = candidates
        .find_map(|feed| matches!(feed.next_step(NOW), FeedStep::AskPeer { .. }).then_some(feed))
        .unwrap();
    let mut now = NOW;
    let mut backoffs = Vec::new();
    for _ in 0..6 {
        while let FeedStep::AskPeer { daemon, .. } = feed.next_step(now) {
            feed.peer_failed(now, &daemon);
        }
        assert_eq!(feed.next_step(now), FeedStep::ReadAll);
        feed.store_failed(now);
        let failed_at = now;
        // Runs until the store may be called again.
        loop {
            match feed.next_step(now) {
                FeedStep::Wait { until } => now = until,
                FeedStep::AskPeer { daemon, .. } => feed.peer_failed(now, &daemon),
                _ => break,
            }
        }
        backoffs.push(now.since(failed_at));
    }
    assert!(backoffs[0] <= ms(1_000), "{backoffs:?}");
    assert!(
        backoffs[5] >= ms(3_000) && backoffs[5] <= ms(4_500),
        "{backoffs:?}"
    );
    feed.store_answered(now, whole_page(10));
    feed.store_failed(now + ms(1_000));
    // No other daemon takes the place of the readers.
    while let FeedStep::AskPeer { daemon, .. } = feed.next_step(now + ms(1_000)) {
        feed.peer_failed(now + ms(1_000), &daemon);
    }
    let FeedStep::Wait { until } = feed.next_step(now + ms(1_000)) else {
        panic!("no backoff after a failed call");
    };
    assert!(until <= now + ms(2_000), "an answer must reset the backoff");
}

/// A reader that the store does not serve asks the other reader, and returns to the store after its
/// backoff.
#[test]
fn a_reader_without_the_store_asks_the_other_reader() {
    let mut feeds = feeds(10);
    let mut candidates = feeds.values_mut();
    let feed = candidates
        .find_map(|feed| (feed.next_step(NOW) == FeedStep::ReadAll).then_some(feed))
        .unwrap();
    feed.store_answered(NOW, whole_page(10));
    feed.store_failed(NOW + ms(1_000));
    let step = feed.next_step(NOW + ms(1_000));
    let FeedStep::AskPeer { after, .. } = step else {
        panic!("{step:?}");
    };
    assert_eq!(after, at(10));
    let step = feed.next_step(NOW + ms(1_900));
    assert_eq!(step, FeedStep::ReadChanges { after: 10 });
}

/// A daemon that starts may ask a reader that has lost power with it. It must not wait as long for
/// the answer as a daemon that only asks for changes.
#[test]
fn a_starting_daemon_waits_briefly_for_a_silent_reader() {
    let mut feeds = feeds(10);
    let mut candidates = feeds.values_mut();
    let feed = candidates
        .find_map(|feed| matches!(feed.next_step(NOW), FeedStep::AskPeer { .. }).then_some(feed))
        .unwrap();
    let timeout_of = |feed: &mut DirectoryFeed| match feed.next_step(NOW) {
        FeedStep::AskPeer { timeout, .. } => timeout,
        step => panic!("{step:?}"),
    };
    assert!(timeout_of(feed) <= ms(250));
    feed.peer_answered(NOW, whole_page(10));
    assert!(
        timeout_of(feed) > ms(1_000),
        "the timeout must exceed the time that a reader keeps a call open"
    );
}

/// After a long gap the store holds more renewals than replicas, and reading them takes longer than
/// a call may. The whole directory must be read instead.
#[test]
fn the_whole_directory_is_read_after_a_long_gap() {
    let mut feed = DirectoryFeed::new(peer("r"), BTreeMap::new());
    feed.store_answered(NOW, whole_page(10));
    feed.store_failed(NOW + ms(1_000));
    assert_eq!(
        feed.next_step(NOW + ms(3_000)),
        FeedStep::ReadChanges { after: 10 }
    );
    assert_eq!(feed.next_step(NOW + ms(9_000)), FeedStep::ReadAll);
}

#[test]
fn the_whole_directory_is_read_when_the_history_is_gone() {
    let mut feed = DirectoryFeed::new(peer("r"), BTreeMap::new());
    assert_eq!(feed.next_step(NOW), FeedStep::ReadAll);
    feed.store_answered(NOW, whole_page(10));
    let FeedStep::Wait { until } = feed.next_step(NOW) else {
        panic!("no pause between two reads of the store");
    };
    assert_eq!(feed.next_step(until), FeedStep::ReadChanges { after: 10 });
    feed.history_gone();
    assert_eq!(feed.next_step(until), FeedStep::ReadAll);
}

/// Guards against a revision that the store has given out again: a page of another era makes the
/// daemon read the whole directory, also if its revision is higher than the known one.
#[test]
fn the_whole_directory_is_read_after_the_store_went_back() {
    let mut feeds = feeds(10);
    let mut readers = feeds.values_mut();
    let feed = readers
        .find_map(|feed| (feed.next_step(NOW) == FeedStep::ReadAll).then_some(feed))
        .unwrap();
    feed.store_answered(NOW, whole_page(10));
    let later = NOW + ms(1_000);
    let changes = FeedPage {
        era: 1,
        ..page(12, false, vec![removed("x")])
    };
    let (effects, _) = feed.store_answered(later, changes);
    assert!(effects.is_empty(), "{effects:?}");
    assert_eq!(feed.next_step(later + ms(1_000)), FeedStep::ReadAll);
    let whole = FeedPage {
        era: 1,
        ..whole_page(7)
    };
    feed.store_answered(later, whole);
    let step = feed.next_step(later + ms(1_000));
    assert_eq!(step, FeedStep::ReadChanges { after: 7 });
    // A daemon that read more in the old era gets the whole directory, one of the new era changes.
    let FeedAnswer::Page(first) = feed.answer(later, at(11), later) else {
        panic!("no page");
    };
    assert!(first.whole && first.era == 1);
    let position = Some(first.position());
    assert!(matches!(
        feed.answer(later, position, later),
        FeedAnswer::Wait(_)
    ));
}

/// Guards against a follower that ignores the directory of the new era because its revision is lower,
/// or that goes back to a reader which does not know the new era yet.
#[test]
fn a_follower_takes_over_the_new_era() {
    let mut feed = DirectoryFeed::new(peer("d0"), BTreeMap::new());
    feed.peer_answered(NOW, whole_page(10));
    let whole = FeedPage {
        era: 1,
        ..page(7, true, vec![DirectoryEvent::Seen(entry("y"))])
    };
    let (effects, _) = feed.peer_answered(NOW, whole);
    assert!(effects.contains(&DirectoryEvent::Seen(entry("y"))));
    let (effects, _) = feed.peer_answered(NOW, page(12, false, vec![removed("y")]));
    assert!(effects.is_empty(), "{effects:?}");
}

/// Guards against a replica that drains, or has left, and comes back with an older copy of the store;
/// and against one that is lost because the copy lacks it.
#[test]
fn what_an_older_copy_says_of_replicas_is_held() {
    let drains = |draining| ReplicaEntry {
        draining,
        ..entry("drains")
    };
    let mut state = DirectoryState::default();
    for entry in [entry("left"), drains(true), entry("young")] {
        state.apply_entry(NOW, entry);
    }
    assert!(state.apply_removal(NOW, &"left".parse().unwrap()).is_some());
    state.store_restored(NOW);
    assert_eq!(state.apply_entry(NOW, entry("left")), None);
    assert_eq!(state.apply_entry(NOW, drains(false)), None);
    let names = ["left", "drains"].map(|name| name.parse().unwrap());
    assert!(state.apply_list(NOW, &BTreeSet::from(names)).is_empty());
    // A replica that starts anew is none of those that have left.
    let anew = ReplicaEntry {
        born_ms: 99,
        ..entry("left")
    };
    assert!(state.apply_entry(NOW, anew.clone()).is_some());
    assert_eq!(state.on_timer(NOW + ms(3_000)), [removed("young")]);
    // The replica that drains has not written its registration again and is sound.
    let due = state.next_wakeup();
    assert!(due > NOW + ms(3_600) && due < NOW + ms(8_000));
    assert_eq!(state.on_timer(due), [DirectoryEvent::Seen(drains(false))]);
}

/// Data centres of a large fleet, with 50 daemons each.
fn large_fleet() -> BTreeMap<String, DirectoryFeed> {
    let peers: Vec<FeedPeer> = (0..300)
        .map(|number| FeedPeer {
            zone: format!("z{}", number % 6).parse().unwrap(),
            ..peer(&format!("d{number}"))
        })
        .collect();
    let feed_of = |own: &FeedPeer| {
        let mut feed = DirectoryFeed::new(own.clone(), BTreeMap::new());
        let others = peers.iter().filter(|peer| peer.daemon != own.daemon);
        feed.set_peers(others.cloned().collect());
        (own.daemon.to_string(), feed)
    };
    peers.iter().map(feed_of).collect()
}

/// Guards against readers that send the directory to hundreds of daemons, and against hundreds of daemons
/// that read the store because the readers can't.
#[test]
fn relays_pass_the_directory_on_in_a_large_fleet() {
    let mut asked: BTreeMap<String, usize> = BTreeMap::new();
    let mut readers = 0;
    for feed in large_fleet().values_mut() {
        match feed.next_step(NOW) {
            FeedStep::AskPeer { daemon, .. } => *asked.entry(daemon.to_string()).or_default() += 1,
            FeedStep::ReadAll => readers += 1,
            step => panic!("{step:?}"),
        }
    }
    assert_eq!(readers, 2);
    // Two relays in each data centre, or readers among them.
    assert!(asked.len() <= 14, "{asked:?}");
    let most = asked.values().max();
    assert!(most <= Some(&50), "more than a data centre: {asked:?}");
}

/// Guards against a relay that passes on what it has while its own source has been silent for long, also
/// around a circle of relays.
#[test]
fn a_relay_does_not_pass_on_an_old_directory() {
    let mut fleet = large_fleet();
    let mut asked = Vec::new();
    for feed in fleet.values_mut() {
        if let FeedStep::AskPeer { daemon, .. } = feed.next_step(NOW) {
            asked.push(daemon.to_string());
        }
    }
    let is_relay = |name: &&String| {
        let feed = &fleet[*name];
        matches!(feed.clone().next_step(NOW), FeedStep::AskPeer { .. })
    };
    let name = asked.iter().find(is_relay).unwrap().clone();
    let relay = fleet.get_mut(&name).unwrap();
    // All start together: a daemon that asks before the relay has the directory is answered once it has.
    assert!(matches!(relay.answer(NOW, None, NOW), FeedAnswer::Wait(_)));
    let read = FeedPage {
        age: ms(1_000),
        ..whole_page(10)
    };
    relay.peer_answered(NOW, read);
    let FeedAnswer::Page(passed_on) = relay.answer(NOW, None, NOW) else {
        panic!("the relay sent no page");
    };
    assert_eq!(passed_on.age, ms(1_000));
    let later = NOW + ms(1_500);
    assert!(matches!(
        relay.answer(later, None, later),
        FeedAnswer::Page(_)
    ));
    // An answer of a daemon that is as old does not renew it.
    let old = FeedPage {
        age: ms(2_700),
        ..page(10, false, Vec::new())
    };
    relay.peer_answered(NOW + ms(1_700), old);
    let later = NOW + ms(1_700);
    assert_eq!(relay.answer(later, None, later), FeedAnswer::Stale);
}

/// Guards against hundreds of daemons that call a store which is down or turns them away, while those
/// that read it for them have lost it, too.
#[test]
fn followers_leave_a_lost_store_to_readers_and_relays() {
    let mut callers = 0;
    for feed in large_fleet().values_mut() {
        let mut now = NOW;
        while now < NOW + ms(2_000) {
            match feed.next_step(now) {
                FeedStep::AskPeer { daemon, .. } => {
                    feed.peer_stale(now, &daemon);
                }
                FeedStep::Wait { until } => now = until.max(now + ms(1)),
                FeedStep::ReadAll | FeedStep::ReadChanges { .. } => {
                    callers += 1;
                    break;
                }
            }
        }
    }
    assert!((2..=14).contains(&callers), "{callers}");
}

/// Guards against a large fleet that drops all replicas whose registrations have expired while the store was
/// down: they are back some seconds after its return, and only readers and relays called it meanwhile.
#[test]
fn expired_registrations_are_held_by_daemons_that_did_not_call_the_store() {
    let mut fleet = large_fleet();
    for feed in fleet.values_mut() {
        let FeedStep::AskPeer { daemon, .. } = feed.next_step(NOW) else {
            continue;
        };
        feed.peer_answered(NOW, whole_page(10));
        feed.peer_stale(NOW + ms(3_000), &daemon);
        let expired = page(12, false, vec![removed("x")]);
        let (effects, recovered) = feed.peer_answered(NOW + ms(4_000), expired);
        assert_eq!((effects, recovered), (Vec::new(), true));
        assert!(feed.next_wakeup() > NOW + ms(5_000));
    }
}

/// Guards against a replica that has left and gets requests for two seconds longer, because one of two readers
/// has lost the store and the other has not.
#[test]
fn a_reader_that_loses_the_store_delays_no_removal() {
    for feed in large_fleet().values_mut() {
        let FeedStep::AskPeer { daemon, .. } = feed.next_step(NOW) else {
            continue;
        };
        feed.peer_answered(NOW, whole_page(10));
        feed.peer_stale(NOW + ms(1_000), &daemon);
        let removal = page(12, false, vec![removed("x")]);
        let (effects, recovered) = feed.peer_answered(NOW + ms(1_100), removal);
        assert_eq!((effects, recovered), (vec![removed("x")], true));
    }
}
