//! Handling of datagrams that are corrupt, forged, replayed or from another deployment.

#![allow(clippy::expect_used)]

use std::{
    net::SocketAddr,
    time::Duration, //
};

use policy::peers::{
    open_datagram,
    seal_datagram,
    CodecError,
    PeerAction,
    PeerCore,
    PeerEvent,
    PeerSettings,
    DATAGRAM_BYTES_MAX, //
};
use proptest::{
    prelude::*,
    test_runner::RngSeed, //
};
use schema::{
    peer::{
        note_entry::Note,
        DatagramBody,
        DrainNote,
        MemberEntry,
        NoteEntry, //
    },
    Incarnation,
    QueryPrint,
    TimePoint, //
};

const KEY: [u8; 32] = [7; 32];
const NOW: TimePoint = TimePoint(1_764_817_210_000_000);

fn settings(name: &str, port: u16) -> PeerSettings {
    PeerSettings::new(
        name.parse().expect("name"),
        SocketAddr::from(([127, 0, 0, 1], port)),
        "kochi".parse().expect("zone"),
        Incarnation(5),
        KEY,
    )
}

fn new_core() -> PeerCore {
    let mut core = PeerCore::new(NOW, settings("a", 7001));
    deliver(&mut core, seal_datagram(&KEY, &datagram("b")));
    core
}

fn datagram(from: &str) -> DatagramBody {
    DatagramBody {
        from: from.into(),
        zone: "kochi".into(),
        incarnation: 5,
        bundle_version: 3,
        peer: "127.0.0.1:7002".into(),
        notes: vec![NoteEntry {
            note: Some(Note::Drain(DrainNote {
                vm: "upstream-1".into(),
                until_us: (NOW + Duration::from_secs(60)).0,
            })),
        }],
        ..DatagramBody::default()
    }
}

fn deliver(core: &mut PeerCore, bytes: Vec<u8>) -> Vec<PeerAction> {
    let mut actions = Vec::new();
    core.on_event(NOW, PeerEvent::Datagram { bytes }, &mut actions);
    actions
}

/// All state that a datagram may change, as text to compare.
fn visible_state(core: &PeerCore) -> String {
    let members: Vec<_> = core.members().collect();
    let quarantines: Vec<QueryPrint> = core.quarantines().collect();
    format!(
        "{members:?} {:?} {quarantines:?} {}",
        core.drains(),
        core.daemon_count()
    )
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(16),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn random_bytes_change_no_state(bytes in proptest::collection::vec(any::<u8>(), 0..1_500)) {
        let mut core = new_core();
        let before = visible_state(&core);
        let actions = deliver(&mut core, bytes);
        prop_assert!(actions.is_empty());
        prop_assert_eq!(visible_state(&core), before);
    }

    #[test]
    fn corrupt_datagrams_change_no_state(index in 0_usize..10_000, bit in 0_u8..8, cut_bytes in 0_usize..60) {
        let mut core = new_core();
        let before = visible_state(&core);
        let mut bytes = seal_datagram(&KEY, &datagram("c"));
        let index = index % bytes.len();
        bytes[index] ^= 1 << bit;
        bytes.truncate(bytes.len() - cut_bytes.min(bytes.len()));
        let actions = deliver(&mut core, bytes);
        prop_assert!(actions.is_empty());
        prop_assert_eq!(visible_state(&core), before);
    }

    /// Authentic datagrams with contents that no daemon would send must cause no panic, and must
    /// add no more entries than they carry.
    #[test]
    fn invalid_contents_of_authentic_datagrams_are_handled(
        texts in proptest::collection::vec("\\PC{0,80}", 6),
        numbers in proptest::collection::vec(any::<u64>(), 4),
        state in any::<u32>(),
    ) {
        let mut core = new_core();
        let mut invalid = datagram(&texts[0]);
        invalid.peer = texts[1].clone();
        invalid.bundle_version = numbers[0];
        invalid.incarnation = numbers[1];
        invalid.notes.push(NoteEntry { note: None });
        invalid.notes.push(NoteEntry {
            note: Some(Note::Member(MemberEntry {
                name: texts[2].clone(),
                peer: texts[3].clone(),
                zone: texts[4].clone(),
                incarnation: numbers[2],
                state,
                revision: state,
                ..MemberEntry::default()
            })),
        });
        invalid.notes.push(NoteEntry {
            note: Some(Note::Drain(DrainNote { vm: texts[5].clone(), until_us: numbers[3] })),
        });
        deliver(&mut core, seal_datagram(&KEY, &invalid));
        prop_assert!(core.daemon_count() <= 4);
        prop_assert!(core.drains().len() <= 2);
    }
}

#[test]
fn invalid_datagrams_are_rejected_with_the_cause() {
    let valid = seal_datagram(&KEY, &datagram("b"));
    assert!(open_datagram(&KEY, &valid).is_ok());
    let mut other_format = valid.clone();
    other_format[0] = 9;
    let mut extended = valid.clone();
    extended.push(0);
    let stream = policy::peers::seal_stream(&KEY, &schema::peer::StreamBody::default());
    let cases = [
        ("empty", Vec::new(), CodecError::TooShort),
        ("header only", valid[..10].to_vec(), CodecError::TooShort),
        (
            "unsupported version",
            other_format,
            CodecError::UnsupportedVersion { found: 9 },
        ),
        (
            "other key",
            seal_datagram(&[8; 32], &datagram("b")),
            CodecError::NotAuthentic,
        ),
        ("trailing byte", extended, CodecError::NotAuthentic),
        ("stream frame", stream, CodecError::NotAuthentic),
    ];
    for (label, bytes, expected) in cases {
        assert_eq!(open_datagram(&KEY, &bytes).err(), Some(expected), "{label}");
    }
}

#[test]
fn a_replayed_datagram_does_not_revive_a_dead_member() {
    let mut core = new_core();
    let replayed = seal_datagram(&KEY, &datagram("b"));
    let mut dead = datagram("c");
    dead.peer = "127.0.0.1:7003".into();
    dead.notes = vec![NoteEntry {
        note: Some(Note::Member(MemberEntry {
            name: "b".into(),
            peer: "127.0.0.1:7002".into(),
            zone: "kochi".into(),
            incarnation: 5,
            state: 3,
            ..MemberEntry::default()
        })),
    }];
    deliver(&mut core, seal_datagram(&KEY, &dead));
    assert_eq!(core.daemon_count(), 2);
    deliver(&mut core, replayed.clone());
    assert_eq!(core.daemon_count(), 2);
    // A higher incarnation is a new start of the daemon, so it counts as alive.
    let mut restarted = datagram("b");
    restarted.incarnation = 6;
    deliver(&mut core, seal_datagram(&KEY, &restarted));
    assert_eq!(core.daemon_count(), 3);
    deliver(&mut core, replayed);
    let member = core.members().next().expect("member");
    assert_eq!(member.incarnation, Incarnation(6));
}

#[test]
fn datagrams_stay_within_the_size_limit() {
    let mut settings = settings("a", 7001);
    settings.suspect_timeout = Duration::from_secs(3600);
    let mut core = PeerCore::new(NOW, settings);
    deliver(&mut core, seal_datagram(&KEY, &datagram("b")));
    let long_name = "x".repeat(64);
    for index in 0..200 {
        let event = PeerEvent::DrainObserved {
            vm: format!("{}-{index}", &long_name[..58]).parse().expect("vm"),
            until: NOW + Duration::from_secs(60),
        };
        core.on_event(NOW, event, &mut Vec::new());
    }
    let mut now = NOW;
    let mut sent_count = 0;
    for _ in 0..200 {
        now = core.next_wakeup().max(now);
        let mut actions = Vec::new();
        core.on_event(now, PeerEvent::TimerFired, &mut actions);
        for action in actions {
            if let PeerAction::Send { bytes, .. } = action {
                assert!(bytes.len() <= DATAGRAM_BYTES_MAX, "{} bytes", bytes.len());
                sent_count += 1;
            }
        }
    }
    assert!(sent_count > 100);
}
