//! Homes, accounts and evacuations on their way from the store through the directories of the daemons.

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
    FeedAnswer,
    FeedPage,
    FeedPeer,
    PageExtension, //
};
use schema::{
    AccountSpec,
    BundleVersion,
    ColdLimit,
    DirectoryEvent,
    KeyDigest,
    RouteSpec,
    RouteTable,
    RouteTarget,
    TimePoint,
    ZoneName, //
};

const NOW: TimePoint = TimePoint(1_000_000_000);

fn feed() -> DirectoryFeed {
    let own = FeedPeer {
        daemon: "d1".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "a".parse().unwrap(),
    };
    DirectoryFeed::new(own, BTreeMap::new())
}

fn table(version: u64) -> DirectoryEvent {
    let route = RouteSpec {
        name: "r".parse().unwrap(),
        host: "h".into(),
        prefix: "/".into(),
        target: RouteTarget::Single("s".parse().unwrap()),
        idempotent: true,
        timeout: Duration::from_secs(3),
        goal: Duration::from_millis(200),
        attempts: 3,
        priority: 1,
        public: true,
        homes: ["east".parse().unwrap()].into_iter().collect(),
    };
    DirectoryEvent::Table(Box::new(RouteTable {
        version: BundleVersion(version),
        routes: vec![route],
        accounts: vec![AccountSpec {
            name: "acme".parse().unwrap(),
            keys: [KeyDigest::of(b"k")].into_iter().collect(),
            priority: Some(2),
            quota: None,
            homes: ["west".parse().unwrap()].into_iter().collect(),
        }],
        cold_limits: vec![(
            "s".parse().unwrap(),
            ColdLimit {
                period: Duration::from_secs(8),
                per_second: 10.0,
            },
        )],
        ..RouteTable::default()
    }))
}

fn page(revision: u64, whole: bool, events: Vec<DirectoryEvent>) -> FeedPage {
    FeedPage {
        revision,
        whole,
        events,
        ..FeedPage::default()
    }
}

fn zone(name: &str) -> ZoneName {
    name.parse().unwrap()
}

fn evacuated(name: &str) -> DirectoryEvent {
    DirectoryEvent::Evacuated(zone(name))
}

fn readmitted(name: &str) -> DirectoryEvent {
    DirectoryEvent::Readmitted(zone(name))
}

/// The page that `feed` sends a daemon without any directory, as bytes of a call.
fn sent_page(feed: &mut DirectoryFeed) -> Vec<u8> {
    let FeedAnswer::Page(mut page) = feed.answer(NOW, None, NOW) else {
        panic!("no page");
    };
    let extension = page.take_extension();
    postcard::to_allocvec(&(page, 0_u64, extension)).unwrap()
}

/// Guards against homes, accounts, cold limits or evacuations that are lost on the way to another daemon.
#[test]
fn a_page_with_its_extension_has_everything() {
    let mut reader = feed();
    let events = vec![table(1), evacuated("z1")];
    let expected: BTreeSet<_> =
        [format!("{:?}", table(1)), format!("{:?}", evacuated("z1"))].into();
    reader.store_answered(NOW, page(5, true, events));
    let bytes = sent_page(&mut reader);
    let (mut read, rest) = postcard::take_from_bytes::<FeedPage>(&bytes).unwrap();
    let (_, extension) = postcard::from_bytes::<(u64, PageExtension)>(rest).unwrap();
    read.apply_extension(extension);
    let (effects, _) = feed().peer_answered(NOW, read);
    let effects: BTreeSet<_> = effects.iter().map(|event| format!("{event:?}")).collect();
    assert_eq!(effects, expected);
}

/// Guards against a page that an older build can't decode, and against a page of an older build that is taken
/// for one without accounts and evacuations.
#[test]
fn older_builds_read_the_page_and_theirs_has_no_extension() {
    let mut reader = feed();
    reader.store_answered(NOW, page(5, true, vec![table(1), evacuated("z1")]));
    let bytes = sent_page(&mut reader);
    // An older build knows three events, numbered 0 to 2.
    let (read, rest) = postcard::take_from_bytes::<FeedPage>(&bytes).unwrap();
    let known = |event: &DirectoryEvent| {
        matches!(
            event,
            DirectoryEvent::Table(_) | DirectoryEvent::Seen(_) | DirectoryEvent::Gone(_)
        )
    };
    assert!(read.events.len() == 1 && read.events.iter().all(known));
    assert!(postcard::take_from_bytes::<u64>(rest).is_ok());
    // An older build sends the page and the time of the hold.
    let older = postcard::to_allocvec(&(read, 7_u64)).unwrap();
    let (_, rest) = postcard::take_from_bytes::<FeedPage>(&older).unwrap();
    assert!(postcard::from_bytes::<(u64, PageExtension)>(rest).is_err());
}

/// Guards against an evacuation that a failure of the store, a new table or a change of something else ends, and
/// against one whose end is missed because its removal was not seen.
#[test]
fn an_evacuation_lasts_until_its_key_is_gone() {
    let mut feed = feed();
    feed.store_answered(NOW, page(1, true, vec![table(1)]));
    let started = feed.store_answered(NOW, page(2, false, vec![evacuated("z1")]));
    assert_eq!(started.0, [evacuated("z1")]);
    feed.store_failed(NOW);
    assert!(feed.on_timer(NOW + Duration::from_secs(5)).is_empty());
    let again = feed.store_answered(NOW, page(3, false, vec![evacuated("z1")]));
    assert!(again.0.is_empty());
    let changed = feed.store_answered(NOW, page(4, false, vec![table(2)]));
    assert_eq!(changed.0, [table(2)]);
    // After a loss of history the whole directory is read, which no longer lists the key.
    let read = feed.store_answered(NOW, page(9, true, vec![table(2), evacuated("z2")]));
    let effects: Vec<_> = read.0;
    assert!(effects.contains(&readmitted("z1")) && effects.contains(&evacuated("z2")));
    let ended = feed.store_answered(NOW, page(10, false, vec![readmitted("z2")]));
    assert_eq!(ended.0, [readmitted("z2")]);
}

/// Guards against a daemon that is behind and learns of an evacuation only if it gets each change.
#[test]
fn a_daemon_that_is_behind_learns_all_evacuations_from_one_page() {
    let mut reader = feed();
    reader.store_answered(NOW, page(1, true, vec![table(1)]));
    let mut follower = feed();
    let read = |bytes: Vec<u8>, follower: &mut DirectoryFeed| {
        let (mut read, rest) = postcard::take_from_bytes::<FeedPage>(&bytes).unwrap();
        let (_, extension) = postcard::from_bytes::<(u64, PageExtension)>(rest).unwrap();
        read.apply_extension(extension);
        follower.peer_answered(NOW, read).0
    };
    read(sent_page(&mut reader), &mut follower);
    reader.store_answered(NOW, page(2, false, vec![evacuated("z1"), evacuated("z2")]));
    reader.store_answered(NOW, page(3, false, vec![readmitted("z1")]));
    // The changes since the follower's position, with the complete set beside them.
    let FeedAnswer::Page(mut changes) = reader.answer(NOW, follower.position(), NOW) else {
        panic!("no page");
    };
    assert!(!changes.whole);
    let extension = changes.take_extension();
    let bytes = postcard::to_allocvec(&(changes, 0_u64, extension)).unwrap();
    assert_eq!(read(bytes, &mut follower), [evacuated("z2")]);
}
