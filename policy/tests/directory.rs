//! What the directory says and what of it is in force.

#![allow(clippy::unwrap_used)]

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration, //
};

use policy::directory::{
    DirectoryBook,
    DirectoryFeed,
    FeedAnswer,
    FeedPage,
    FeedPeer,
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

fn gone(name: &str) -> DirectoryEvent {
    DirectoryEvent::Gone(name.parse().unwrap())
}

#[test]
fn a_table_never_goes_back() {
    let mut book = DirectoryBook::default();
    for (version, taken) in [(5, true), (5, false), (4, false), (9, true), (8, false)] {
        assert_eq!(
            book.take_table(table(version)).is_some(),
            taken,
            "{version}"
        );
    }
    assert_eq!(book.version(), Some(BundleVersion(9)));
}

#[test]
fn what_a_list_lacks_is_gone() {
    let mut book = DirectoryBook::default();
    book.take_entry(entry("x"));
    book.take_entry(entry("y"));
    let names = BTreeSet::from(["y".parse().unwrap()]);
    assert_eq!(book.take_list(NOW, &names), [gone("x")]);
    assert_eq!(book.take_removal(NOW, &"x".parse().unwrap()), None, "once");
}

/// Registrations that lapse while the store is away come back within two seconds of its return.
#[test]
fn a_lapsed_registration_may_come_back() {
    let mut book = DirectoryBook::default();
    for name in ["back", "lost"] {
        book.take_entry(entry(name));
    }
    assert!(book.store_lost() && !book.store_lost());
    assert!(book.store_answered(NOW) && !book.store_answered(NOW));
    assert!(book.take_list(NOW, &BTreeSet::new()).is_empty());
    let seen = book.take_entry(entry("back"));
    assert!(matches!(seen, Some(DirectoryEvent::Seen(_))));
    let due = book.next_wakeup();
    assert!(due >= NOW + ms(2_000) && due <= NOW + ms(3_000));
    assert!(book.wake(NOW + ms(1_900)).is_empty());
    assert_eq!(book.wake(due), [gone("lost")]);
    assert_eq!(book.next_wakeup(), TimePoint::NEVER);
}

#[test]
fn a_removal_takes_effect_at_once_while_the_store_is_there() {
    let mut book = DirectoryBook::default();
    book.take_entry(entry("x"));
    book.store_answered(NOW);
    assert_eq!(
        book.take_removal(NOW, &"x".parse().unwrap()),
        Some(gone("x"))
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
    (0..count).map(|place| format!("d{place}")).collect()
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
        revision,
        whole,
        events,
    }
}

fn whole(revision: u64) -> FeedPage {
    let events = vec![
        DirectoryEvent::Table(Box::new(table(1))),
        DirectoryEvent::Seen(entry("x")),
    ];
    page(revision, true, events)
}

#[test]
fn two_daemons_read_for_all() {
    let mut readers = Vec::new();
    for (name, mut feed) in feeds(40) {
        match feed.step(NOW) {
            FeedStep::ReadAll => readers.push(name),
            FeedStep::AskPeer { after: None, .. } => {}
            step => panic!("{step:?}"),
        }
    }
    assert_eq!(readers.len(), 2);
    for (_, mut feed) in feeds(40) {
        if let FeedStep::AskPeer { daemon, .. } = feed.step(NOW) {
            assert!(readers.contains(&daemon.to_string()));
        }
    }
}

#[test]
fn a_daemon_without_readers_asks_the_store() {
    let mut feeds = feeds(10);
    let mut all = feeds.values_mut();
    let feed = all
        .find_map(|feed| matches!(feed.step(NOW), FeedStep::AskPeer { .. }).then_some(feed))
        .unwrap();
    for _ in 0..2 {
        let FeedStep::AskPeer { daemon, .. } = feed.step(NOW) else {
            panic!("a second reader");
        };
        feed.peer_failed(NOW, &daemon);
    }
    assert_eq!(feed.step(NOW), FeedStep::ReadAll);
    feed.store_failed(NOW);
    let FeedStep::Rest { until } = feed.step(NOW) else {
        panic!("a pause");
    };
    assert!(until > NOW && until <= NOW + ms(2_000));
    assert_ne!(
        feed.step(until),
        FeedStep::Rest { until },
        "never at rest for good"
    );
}

/// A reader's news reach a follower as they are, and what it missed is made good.
#[test]
fn a_follower_ends_up_with_what_the_reader_has() {
    let mut reader = DirectoryFeed::new(peer("r"), BTreeMap::new());
    let mut follower = DirectoryFeed::new(peer("f"), BTreeMap::new());
    assert_eq!(
        reader.answer(NOW, None, NOW),
        FeedAnswer::Stale,
        "nothing read yet"
    );
    reader.store_read(NOW, whole(10));
    let FeedAnswer::Page(first) = reader.answer(NOW, None, NOW) else {
        panic!("a page");
    };
    assert!(first.whole);
    let (effects, _) = follower.peer_told(NOW, first);
    assert_eq!(effects.len(), 2);
    assert!(follower.is_ready());
    // A renewal that changes nothing is no news.
    let renewal = page(12, false, vec![DirectoryEvent::Seen(entry("x"))]);
    reader.store_read(NOW, renewal);
    let FeedAnswer::Wait(due) = reader.answer(NOW, Some(10), NOW) else {
        panic!("nothing new");
    };
    reader.store_read(NOW + ms(500), page(14, false, vec![gone("x")]));
    let FeedAnswer::Page(news) = reader.answer(NOW + ms(500), Some(10), NOW) else {
        panic!("news");
    };
    assert!(NOW + ms(500) < due, "told before the question is due");
    assert_eq!(follower.peer_told(NOW, news).0, [gone("x")]);
    // One that is further behind than what is kept gets all.
    let FeedAnswer::Page(all) = reader.answer(NOW + ms(500), Some(3), NOW) else {
        panic!("all");
    };
    assert!(all.whole);
}

#[test]
fn a_reader_that_lost_the_store_says_so() {
    let mut reader = DirectoryFeed::new(peer("r"), BTreeMap::new());
    reader.store_read(NOW, whole(10));
    assert!(matches!(reader.answer(NOW, None, NOW), FeedAnswer::Page(_)));
    assert_eq!(reader.answer(NOW + ms(2_000), None, NOW), FeedAnswer::Stale);
    reader.store_read(NOW + ms(2_000), page(11, false, Vec::new()));
    assert!(reader.store_failed(NOW + ms(2_100)));
    assert_eq!(reader.answer(NOW + ms(2_100), None, NOW), FeedAnswer::Stale);
}

#[test]
fn a_reader_that_is_behind_takes_nothing_back() {
    let mut follower = DirectoryFeed::new(peer("f"), BTreeMap::new());
    follower.store_read(NOW, whole(10));
    let mut leaving = entry("x");
    leaving.draining = true;
    let (effects, _) =
        follower.store_read(NOW, page(20, false, vec![DirectoryEvent::Seen(leaving)]));
    assert_eq!(effects.len(), 1);
    let stale = page(15, false, vec![DirectoryEvent::Seen(entry("x"))]);
    assert!(follower.peer_told(NOW, stale).0.is_empty());
}

/// The readers have lost the store, and one call of this daemon's own is lost by chance: it is made
/// again soon, and only calls that fail in a row grow rare.
#[test]
fn one_lost_call_does_not_silence_a_daemon() {
    let mut feeds = feeds(91);
    let mut all = feeds.values_mut();
    let feed = all
        .find_map(|feed| matches!(feed.step(NOW), FeedStep::AskPeer { .. }).then_some(feed))
        .unwrap();
    let mut now = NOW;
    let mut pauses = Vec::new();
    for _ in 0..6 {
        while let FeedStep::AskPeer { daemon, .. } = feed.step(now) {
            feed.peer_failed(now, &daemon);
        }
        assert_eq!(feed.step(now), FeedStep::ReadAll);
        feed.store_failed(now);
        let failed = now;
        // Until the store's turn comes again.
        loop {
            match feed.step(now) {
                FeedStep::Rest { until } => now = until,
                FeedStep::AskPeer { daemon, .. } => feed.peer_failed(now, &daemon),
                _ => break,
            }
        }
        pauses.push(now.since(failed));
    }
    assert!(pauses[0] <= ms(1_000), "{pauses:?}");
    assert!(
        pauses[5] >= ms(3_000) && pauses[5] <= ms(4_500),
        "{pauses:?}"
    );
    feed.store_read(now, whole(10));
    feed.store_failed(now + ms(1_000));
    let FeedStep::Rest { until } = feed.step(now + ms(1_000)) else {
        panic!("a pause");
    };
    assert!(until <= now + ms(2_000), "counted anew after an answer");
}

/// A reader that the store turns away asks the other one, and comes back to the store.
#[test]
fn a_reader_without_the_store_asks_the_other() {
    let mut feeds = feeds(10);
    let mut all = feeds.values_mut();
    let feed = all
        .find_map(|feed| (feed.step(NOW) == FeedStep::ReadAll).then_some(feed))
        .unwrap();
    feed.store_read(NOW, whole(10));
    feed.store_failed(NOW + ms(1_000));
    let step = feed.step(NOW + ms(1_000));
    assert!(
        matches!(
            step,
            FeedStep::AskPeer {
                after: Some(10),
                ..
            }
        ),
        "{step:?}"
    );
    let step = feed.step(NOW + ms(1_900));
    assert_eq!(step, FeedStep::ReadChanges { after: 10 });
}

/// A daemon that starts beside one that has lost its power too does not wait for it as long as one that
/// only wants news.
#[test]
fn a_starting_daemon_is_soon_done_with_a_silent_reader() {
    let mut feeds = feeds(10);
    let mut all = feeds.values_mut();
    let feed = all
        .find_map(|feed| matches!(feed.step(NOW), FeedStep::AskPeer { .. }).then_some(feed))
        .unwrap();
    let patience_of = |feed: &mut DirectoryFeed| match feed.step(NOW) {
        FeedStep::AskPeer { patience, .. } => patience,
        step => panic!("{step:?}"),
    };
    assert!(patience_of(feed) <= ms(250));
    feed.peer_told(NOW, whole(10));
    assert!(
        patience_of(feed) > ms(1_000),
        "longer than a reader holds a question"
    );
}

/// The renewals of a long time are more than the directory itself, and take longer to read than an
/// answer may.
#[test]
fn after_a_long_gap_all_is_read() {
    let mut feed = DirectoryFeed::new(peer("r"), BTreeMap::new());
    feed.store_read(NOW, whole(10));
    feed.store_failed(NOW + ms(1_000));
    assert_eq!(
        feed.step(NOW + ms(3_000)),
        FeedStep::ReadChanges { after: 10 }
    );
    assert_eq!(feed.step(NOW + ms(9_000)), FeedStep::ReadAll);
}

#[test]
fn a_lost_history_is_read_anew() {
    let mut feed = DirectoryFeed::new(peer("r"), BTreeMap::new());
    assert_eq!(feed.step(NOW), FeedStep::ReadAll);
    feed.store_read(NOW, whole(10));
    let FeedStep::Rest { until } = feed.step(NOW) else {
        panic!("a pause between readings");
    };
    assert_eq!(feed.step(until), FeedStep::ReadChanges { after: 10 });
    feed.history_gone();
    assert_eq!(feed.step(until), FeedStep::ReadAll);
}
