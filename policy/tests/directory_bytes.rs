//! What a new table costs the daemon that reads the store for the others.

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
/// Slowest link of a VM on the grown sites, in bytes a second.
const LINK: f64 = 20e6 / 8.0;
/// Time by which a request may be handed on later than its deadline says.
const LATE: Duration = Duration::from_millis(500);

fn route(number: u32) -> RouteSpec {
    RouteSpec {
        name: format!("r-{number:0>7}").parse().unwrap(),
        host: "abcd12.example".into(),
        prefix: format!("/abcd{number}/").into(),
        target: RouteTarget::Single("service-1".parse().unwrap()),
        idempotent: true,
        timeout: Duration::from_secs(3),
        goal: Duration::from_millis(200),
        attempts: 3,
        priority: 1,
    }
}

fn table(version: u64, routes: u32) -> DirectoryEvent {
    DirectoryEvent::Table(Box::new(RouteTable {
        version: BundleVersion(version),
        routes: (0..routes).map(route).collect(),
        ..RouteTable::default()
    }))
}

/// A reader has the table to send to all followers: its requests to replicas wait behind that.
#[test]
fn a_large_table_does_not_hold_requests_up() {
    for (followers, routes) in [(7, 400), (58, 1_400), (89, 1_400), (58, 20_000)] {
        let bytes = page_bytes(routes);
        let mut budget = PageBudget::new(LINK as u64, NOW);
        let (mut sent, mut last) = (0, NOW);
        // All ask at once, and those without a page again every 100 ms.
        for step in 0..100 {
            let now = NOW + Duration::from_millis(100) * step;
            let before = sent;
            while sent < followers && budget.take(now, bytes) {
                sent += 1;
                last = now;
            }
            let busy = Duration::from_secs_f64(((sent - before) * bytes) as f64 / LINK);
            assert!(
                busy <= LATE.max(Duration::from_secs_f64(bytes as f64 / LINK)),
                "{routes} routes, {bytes} bytes to {followers} daemons: {busy:?}"
            );
        }
        assert!(sent > 0 && last >= NOW);
    }
}

/// Pages of every day are never held back.
#[test]
fn small_pages_go_out_at_once() {
    let mut budget = PageBudget::new(LINK as u64, NOW);
    for step in 0..60 {
        let now = NOW + Duration::from_secs(1) * step;
        assert!((0..89).all(|_| budget.take(now, 2_000)), "{step}");
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
        revision: 1,
        whole: true,
        events: vec![table(1, 10)],
    };
    feed.store_read(NOW, whole);
    let change = FeedPage {
        revision: 2,
        whole: false,
        events: vec![table(2, routes)],
    };
    feed.store_read(NOW, change);
    let FeedAnswer::Page(page) = feed.answer(NOW, Some(1), NOW) else {
        panic!("no news");
    };
    postcard::to_allocvec(&page).unwrap().len()
}
