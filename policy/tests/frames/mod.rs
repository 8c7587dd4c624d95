//! Messages between daemons as each build encodes them.

use policy::peers::{
    seal_datagram,
    seal_stream, //
};
use schema::peer::{
    datagram_body,
    note_entry::Note,
    stream_body::Body,
    DatagramBody,
    DirectoryCall,
    DirectoryReply,
    HeaderField,
    MemberEntry,
    NoteEntry,
    OfferCall,
    OfferReply,
    PingBody,
    RelayCall,
    RelayReply,
    StreamBody,
    SyncBody, //
};

/// Key of the daemons on the users' platform.
pub(crate) const KEY: [u8; 32] = [0; 32];

fn member() -> NoteEntry {
    NoteEntry {
        note: Some(Note::Member(MemberEntry {
            name: "d2".into(),
            peer: "127.0.0.2:7410".into(),
            zone: "z2".into(),
            incarnation: 7,
            state: 1,
            revision: 3,
            ..MemberEntry::default()
        })),
    }
}

fn stream(body: Body) -> Vec<u8> {
    let frame = StreamBody {
        from: "d1".into(),
        zone: "z1".into(),
        incarnation: 9,
        call: 4,
        body: Some(body),
    };
    seal_stream(&KEY, &frame)
}

/// Messages that all builds since 77f27dc send.
pub(crate) fn common() -> Vec<(&'static str, Vec<u8>)> {
    let datagram = DatagramBody {
        from: "d1".into(),
        zone: "z1".into(),
        incarnation: 9,
        body: Some(datagram_body::Body::Ping(PingBody::default())),
        notes: vec![member()],
        revision: 2,
        view: 5,
        peer: "127.0.0.1:7410".into(),
        ..DatagramBody::default()
    };
    let sync = SyncBody {
        notes: vec![member()],
    };
    let call = DirectoryCall {
        after: 11,
        whole: true,
        era: 2,
    };
    let reply = DirectoryReply {
        page: vec![1, 2, 3],
    };
    vec![
        ("datagram", seal_datagram(&KEY, &datagram)),
        ("sync_call", stream(Body::SyncCall(sync.clone()))),
        ("sync_reply", stream(Body::SyncReply(sync))),
        ("directory_call", stream(Body::DirectoryCall(call))),
        ("directory_reply", stream(Body::DirectoryReply(reply))),
    ]
}

/// Messages that all builds since 0b5b8ca send.
pub(crate) fn relays() -> Vec<(&'static str, Vec<u8>)> {
    let field = HeaderField {
        name: "host".into(),
        value: b"a.example".to_vec(),
    };
    let call = RelayCall {
        method: "GET".into(),
        target: "/all/x".into(),
        headers: vec![field],
        caller: "127.0.0.9".into(),
        time_left_us: 1_000,
        age_us: 20,
        attempts: 2,
        sent: true,
        table: 3,
        ..RelayCall::default()
    };
    let reply = RelayReply {
        outcome: 1,
        status: 503,
        leaving: vec![8],
        ..RelayReply::default()
    };
    let offer = OfferCall {
        helpers: 2,
        table: 3,
    };
    let offered = OfferReply {
        refusal: 0,
        free: 5,
    };
    vec![
        ("relay_call", stream(Body::RelayCall(call))),
        ("relay_reply", stream(Body::RelayReply(reply))),
        ("offer_call", stream(Body::OfferCall(offer))),
        ("offer_reply", stream(Body::OfferReply(offered))),
    ]
}
