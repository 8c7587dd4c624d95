//! Tests that a new table does not block the link of the reader that sends it to other daemons.

#![allow(clippy::unwrap_used)]

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use policy::directory::{
    DirectoryFeed,
    FeedAnswer,
    FeedPage,
    FeedPeer,
    FeedPosition,
    PageBudget, //
};
use schema::{
    BundleVersion,
    DirectoryEvent,
    RouteSpec,
    RouteTable,
    RouteTarget,
    TimePoint, //
};

const NOW: TimePoint = TimePoint(1_000_000_000);
/// Slowest link of a VM in the grown deployments, in bytes a second.
const LINK_RATE: f64 = 20e6 / 8.0;
/// Longest time after its deadline at which a request may still be handed on.
const LATENESS_MAX: Duration = Duration::from_millis(500);

fn route(index: u32) -> RouteSpec {
    RouteSpec {
        name: format!("r-{index:0>7}").parse().unwrap(),
        host: "abcd12.example".into(),
        prefix: format!("/abcd{index}/").into(),
        target: RouteTarget::Single("service-1".parse().unwrap()),
        idempotent: true,
        timeout: Duration::from_secs(3),
        goal: Duration::from_millis(200),
        attempts: 3,
        priority: 1,
        public: false,
        homes: Default::default(),
    }
}

fn table(version: u64, routes: u32) -> DirectoryEvent {
    DirectoryEvent::Table(Box::new(RouteTable {
        version: BundleVersion(version),
        routes: (0..routes).map(route).collect(),
        ..RouteTable::default()
    }))
}

/// A reader sends the table to all followers, and its requests to replicas queue behind it on the
/// link.
#[test]
fn a_large_table_does_not_delay_requests() {
    for (followers, routes) in [(7, 400), (58, 1_400), (89, 1_400), (58, 20_000)] {
        let bytes = page_bytes(routes);
        let mut budget = PageBudget::new(LINK_RATE as u64, NOW);
        let (mut sent, mut last_sent) = (0, NOW);
        // All followers ask at once; those without a page ask again every 100 ms.
        for step in 0..100 {
            let now = NOW + Duration::from_millis(100) * step;
            let sent_before = sent;
            while sent < followers && budget.try_take(now, bytes) {
                sent += 1;
                last_sent = now;
            }
            let link_busy =
                Duration::from_secs_f64(((sent - sent_before) * bytes) as f64 / LINK_RATE);
            assert!(
                link_busy <= LATENESS_MAX.max(Duration::from_secs_f64(bytes as f64 / LINK_RATE)),
                "{routes} routes, {bytes} bytes to {followers} daemons: {link_busy:?}"
            );
        }
        assert!(sent > 0 && last_sent >= NOW);
    }
}

/// Ordinary changes must never be held back.
#[test]
fn small_pages_are_sent_at_once() {
    let mut budget = PageBudget::new(LINK_RATE as u64, NOW);
    for step in 0..60 {
        let now = NOW + Duration::from_secs(1) * step;
        assert!((0..89).all(|_| budget.try_take(now, 2_000)), "{step}");
    }
}

fn page_bytes(routes: u32) -> usize {
    let own = FeedPeer {
        daemon: "d1".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "a".parse().unwrap(),
    };
    let mut feed = DirectoryFeed::new(own, BTreeMap::new());
    let whole = FeedPage {
        evacuated: None,
        era: 0,
        revision: 1,
        whole: true,
        events: vec![table(1, 10)],
        age: Duration::ZERO,
    };
    feed.store_answered(NOW, whole);
    let change = FeedPage {
        evacuated: None,
        era: 0,
        revision: 2,
        whole: false,
        events: vec![table(2, routes)],
        age: Duration::ZERO,
    };
    feed.store_answered(NOW, change);
    let after = Some(FeedPosition {
        era: 0,
        revision: 1,
    });
    let FeedAnswer::Page(page) = feed.answer(NOW, after, NOW) else {
        panic!("the reader sent no page with the new table");
    };
    postcard::to_allocvec(&page).unwrap().len()
}

/// Guards against a page that another build can't read: the time for which the call was held follows the page,
/// and older builds neither send nor read it.
#[test]
fn pages_are_read_with_and_without_the_time_of_the_hold() {
    let page = FeedPage {
        era: 1,
        revision: 7,
        whole: true,
        events: vec![table(3, 2)],
        ..FeedPage::default()
    };
    let with_time = postcard::to_allocvec(&(page.clone(), 1_250_000_u64)).unwrap();
    assert_eq!(postcard::from_bytes::<FeedPage>(&with_time).unwrap(), page);
    let (read, rest) = postcard::take_from_bytes::<FeedPage>(&with_time).unwrap();
    assert_eq!(
        (read, postcard::from_bytes(rest)),
        (page.clone(), Ok(1_250_000_u64))
    );
    let without = postcard::to_allocvec(&page).unwrap();
    let (read, rest) = postcard::take_from_bytes::<FeedPage>(&without).unwrap();
    assert_eq!(read, page);
    assert!(postcard::from_bytes::<u64>(rest).is_err());
}
