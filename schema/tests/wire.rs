//! Encoding and decoding of messages, validation of names, and fingerprints.

#![allow(clippy::expect_used)]

use prost::Message;
use schema::{
    bundle::BundleBody,
    peer::{
        datagram_body,
        note_entry,
        DatagramBody,
        DrainNote,
        NoteEntry,
        PingBody, //
    },
    GroupName,
    QueryPrint,
    RequestId,
    SchemaError, //
};

fn datagram() -> DatagramBody {
    DatagramBody {
        from: "kochi-1".into(),
        zone: "kochi".into(),
        incarnation: 7,
        body: Some(datagram_body::Body::Ping(PingBody { sequence: 3 })),
        notes: vec![NoteEntry {
            note: Some(note_entry::Note::Drain(DrainNote {
                vm: "up-1".into(),
                until_us: 9,
            })),
        }],
        ..DatagramBody::default()
    }
}

#[test]
fn datagram_survives_postcard() {
    let bytes = postcard::to_stdvec(&datagram()).expect("encodes");
    let decoded: DatagramBody = postcard::from_bytes(&bytes).expect("decodes");
    assert_eq!(decoded, datagram());
}

#[test]
fn truncated_datagrams_are_rejected() {
    let bytes = postcard::to_stdvec(&datagram()).expect("encodes");
    for end in 0..bytes.len() {
        let truncated: Result<DatagramBody, _> = postcard::from_bytes(&bytes[..end]);
        assert!(
            truncated.is_err(),
            "the first {end} of {} bytes were decoded",
            bytes.len()
        );
    }
}

#[test]
fn canonical_bytes_of_a_bundle_do_not_change() {
    let body = BundleBody {
        deployment: "trust".into(),
        version: 3,
        daemons: 8,
        ..BundleBody::default()
    };
    let bytes = body.encode_to_vec();
    assert_eq!(hex::encode(&bytes), "0a05747275737410033008");
    assert_eq!(BundleBody::decode(bytes.as_slice()).expect("decodes"), body);
}

#[test]
fn invalid_names_are_rejected() {
    let long = "a".repeat(129);
    let cases = [
        ("", SchemaError::EmptyText { kind: "request id" }),
        ("a b", SchemaError::UnprintableText { kind: "request id" }),
        (
            "\u{e9}",
            SchemaError::UnprintableText { kind: "request id" },
        ),
        (
            long.as_str(),
            SchemaError::LongText {
                kind: "request id",
                max: 128,
            },
        ),
    ];
    for (text, expected) in cases {
        assert_eq!(text.parse::<RequestId>(), Err(expected), "{text:?}");
    }
    assert_eq!(
        "r-1".parse::<RequestId>().map(|id| id.to_string()),
        Ok("r-1".into())
    );
}

#[test]
fn fingerprint_depends_on_group_and_body_only() {
    let group = |text: &str| text.parse::<GroupName>().expect("group name");
    let fingerprint = QueryPrint::of(&group("a"), b"bc");
    assert_eq!(fingerprint, QueryPrint::of(&group("a"), b"bc"));
    assert_ne!(fingerprint, QueryPrint::of(&group("ab"), b"c"));
    let (high, low) = fingerprint.halves();
    assert_eq!(QueryPrint::from_halves(high, low), fingerprint);
}
