//! Messages about shared rates between daemons of several builds.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;

use policy::{
    peers::{
        open_datagram,
        seal_datagram,
        PeerAction,
        PeerCore,
        PeerEvent,
        PeerSettings, //
    },
    rates::{
        RateEntry,
        RateKey,
        RateMessage,
        RateStamp, //
    },
};
use schema::{
    peer::{
        note_entry::Note,
        DatagramBody, //
    },
    Incarnation,
    TimePoint, //
};

const KEY: [u8; 32] = [0; 32];
const START: TimePoint = TimePoint(1_000_000);

fn core(name: &str, address: &str) -> PeerCore {
    let settings = PeerSettings::new(
        name.parse().unwrap(),
        address.parse().unwrap(),
        "z1".parse().unwrap(),
        Incarnation(1),
        KEY,
    );
    PeerCore::new(START, settings)
}

/// What a member named "b" whose entry has `cell` is sent about `message`.
fn sent_to(cell: &str, message: &RateMessage) -> Vec<Vec<u8>> {
    let mut core = core("a", "127.0.0.1:1");
    let hello = DatagramBody {
        from: "b".into(),
        zone: "z1".into(),
        cell: cell.into(),
        incarnation: 1,
        peer: "127.0.0.1:2".into(),
        ..DatagramBody::default()
    };
    let bytes = seal_datagram(&KEY, &hello);
    core.on_event(START, PeerEvent::Datagram { bytes }, &mut Vec::new());
    let (to, message) = ("b".parse().unwrap(), message.clone());
    let mut actions = Vec::new();
    core.on_event(START, PeerEvent::RatesShared { to, message }, &mut actions);
    let receiver: SocketAddr = "127.0.0.1:2".parse().unwrap();
    let sent = actions.into_iter().filter_map(|action| match action {
        PeerAction::Send { to, bytes } if to == receiver => Some(bytes),
        _ => None,
    });
    let is_rate = |bytes: &Vec<u8>| {
        let body = open_datagram(&KEY, bytes).unwrap();
        let mut notes = body.notes.iter();
        notes.any(|entry| matches!(entry.note, Some(Note::Rate(_))))
    };
    sent.filter(is_rate).collect()
}

fn message() -> RateMessage {
    let stamp = RateStamp {
        incarnation: 9,
        time: START,
        period_ms: 1_000,
    };
    let entry = |id| RateEntry {
        key: RateKey::Account(id),
        needed: 3,
        spare: 24,
        returned: 24,
        granted: 27,
        wait_ms: 10_000,
    };
    RateMessage {
        sequence: u64::MAX,
        answers: true,
        incarnation: u64::MAX,
        stamp: Some(stamp),
        credit: true,
        entries: (0..RateMessage::ENTRIES_MAX as u64)
            .map(|id| entry(u64::MAX - id))
            .collect(),
    }
}

/// Guards against a note that an older build can't decode, which would take the datagram for a foreign one.
#[test]
fn rates_are_sent_to_members_that_share_them_only() {
    let message = message();
    assert!(sent_to("500m", &message).is_empty());
    assert!(sent_to("", &message).is_empty());
    assert_eq!(sent_to("+500m", &message).len(), 1);
}

/// Guards against a message that does not fit into a datagram, or that changes on the way.
#[test]
fn the_longest_message_arrives_unchanged() {
    let message = message();
    let sent = sent_to("+500m", &message);
    assert!(sent[0].len() <= 1_200, "{} bytes", sent[0].len());
    let mut receiver = core("b", "127.0.0.1:2");
    let mut actions = Vec::new();
    let bytes = sent[0].clone();
    receiver.on_event(START, PeerEvent::Datagram { bytes }, &mut actions);
    let received = actions.iter().find_map(|action| match action {
        PeerAction::RatesReceived { from, message } => Some((from.to_string(), message.clone())),
        _ => None,
    });
    assert_eq!(received, Some(("a".to_owned(), message)));
}
