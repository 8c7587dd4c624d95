//! Messages of earlier builds, as recorded by `cargo run -p pollentally-policy --example record_frames`.

#![allow(clippy::unwrap_used)]

mod frames;

use policy::peers::{
    open_datagram,
    open_stream,
    seal_datagram,
    seal_stream, //
};
use schema::peer::{
    stream_body::Body,
    SharedCall,
    StreamBody, //
};

/// Output of the example at each commit.
const RECORDED: [(&str, &str); 2] = [
    ("77f27dc", include_str!("frames/77f27dc.txt")),
    ("0b5b8ca", include_str!("frames/0b5b8ca.txt")),
];

/// Guards against a fleet of two builds that can't read each other: what an earlier build sends decodes to
/// the same message, and what this one sends is byte for byte what that one would send.
#[test]
fn messages_of_earlier_builds_are_unchanged() {
    let today: Vec<(&str, Vec<u8>)> = frames::common()
        .into_iter()
        .chain(frames::relays())
        .collect();
    for (commit, recorded) in RECORDED {
        let mut compared = 0;
        for line in recorded.lines() {
            let (name, text) = line.split_once(' ').unwrap();
            let bytes = hex::decode(text).unwrap();
            let (_, sent) = today.iter().find(|(known, _)| *known == name).unwrap();
            assert_eq!(bytes, *sent, "{name} of {commit}");
            let again = match name {
                "datagram" => {
                    seal_datagram(&frames::KEY, &open_datagram(&frames::KEY, &bytes).unwrap())
                }
                _ => seal_stream(&frames::KEY, &open_stream(&frames::KEY, &bytes).unwrap()),
            };
            assert_eq!(again, bytes, "{name} of {commit}");
            compared += 1;
        }
        assert!(compared >= frames::common().len(), "{commit}");
    }
}

/// Guards against a new kind of message that an earlier build takes for another one: its number is higher than
/// all that the build knows, so that decoding fails, and only the connection of this call is closed.
#[test]
fn new_kinds_come_after_those_of_earlier_builds() {
    let known = |body: Body| {
        let frame = StreamBody {
            body: Some(body),
            ..StreamBody::default()
        };
        // Header, four empty fields, and the mark of a present body come before its number.
        seal_stream(&frames::KEY, &frame)[17 + 4 + 1]
    };
    let last_known = known(Body::RelayReply(Default::default()));
    let new = [
        known(Body::BranchCall(Box::default())),
        known(Body::SharedCall(SharedCall::default())),
    ];
    assert!(new.iter().all(|number| *number > last_known), "{new:?}");
}
