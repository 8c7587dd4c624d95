//! Requests that other daemons relay, as members of this and of older builds send them.

#![allow(clippy::unwrap_used)]

mod account_kit;
mod forward_cluster;

use std::{
    io::{
        Read,
        Write, //
    },
    net::{
        SocketAddr,
        TcpStream, //
    },
    time::Duration, //
};

use account_kit::complete_log;
use forward_cluster::{
    DaemonProcess,
    ForwardCluster, //
};
use platform_standin::{
    account_config_text,
    AccountText,
    FakeReplica,
    KeyedCaller,
    RouteText, //
};
use policy::peers::{
    open_stream,
    seal_stream, //
};
use schema::peer::{
    note_entry::Note,
    stream_body::Body,
    HeaderField,
    MemberEntry,
    NoteEntry,
    RelayCall,
    StreamBody,
    SyncBody, //
};
use serde_json::json;
use socket2::{
    Domain,
    Socket,
    Type, //
};

const KEY: &[u8] = b"Bearer s3cret-acme";
const WRONG_KEY: &[u8] = b"Bearer s3cret-wrong";
/// Version of the first table with accounts.
const TABLE: u64 = 2;
/// Outcomes of relays, see `RelayReply`.
const ANSWERED: u32 = 0;
const NOT_RUN: u32 = 1;
const DECLINED: u32 = 2;

/// A member of the fleet that this test plays.
struct FakeMember {
    name: String,
    ip: [u8; 4],
    target: SocketAddr,
}

impl FakeMember {
    /// Joins with the cell that the member's build names.
    fn join(daemon: &DaemonProcess, number: u8, cell: &str) -> Self {
        let [a, b, c, _] = daemon.ip;
        let member = Self {
            name: format!("fake-{number}"),
            ip: [a, b, c, number],
            target: SocketAddr::from((daemon.ip, 7410)),
        };
        let entry = MemberEntry {
            name: member.name.clone(),
            peer: SocketAddr::from((member.ip, 7410)).to_string(),
            zone: "z1".into(),
            cell: cell.into(),
            incarnation: 1,
            ..MemberEntry::default()
        };
        let notes = vec![NoteEntry {
            note: Some(Note::Member(entry)),
        }];
        let reply = member.call(Body::SyncCall(SyncBody { notes }));
        assert!(matches!(reply, Body::SyncReply(_)), "{reply:?}");
        member
    }

    /// Sends a call from the member's address, and waits for the reply.
    fn call(&self, body: Body) -> Body {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from((self.ip, 0)).into()).unwrap();
        socket.connect(&self.target.into()).unwrap();
        let mut stream = TcpStream::from(socket);
        let timeout = Some(Duration::from_secs(5));
        stream.set_read_timeout(timeout).unwrap();
        let frame = StreamBody {
            from: self.name.clone(),
            zone: "z1".into(),
            call: 1,
            body: Some(body),
            ..StreamBody::default()
        };
        let bytes = seal_stream(&[0; 32], &frame);
        let length = (bytes.len() as u32).to_be_bytes();
        stream.write_all(&[&length[..], &bytes].concat()).unwrap();
        let mut length = [0; 4];
        stream.read_exact(&mut length).unwrap();
        let mut bytes = vec![0; u32::from_be_bytes(length) as usize];
        stream.read_exact(&mut bytes).unwrap();
        open_stream(&[0; 32], &bytes).unwrap().body.unwrap()
    }

    /// Relays a request with the id `id` and further headers, handled by the version `table`; returns the outcome and
    /// the status.
    fn relay(&self, id: &str, table: u64, headers: &[(&str, &[u8])]) -> (u32, u32) {
        let fixed: [(&str, &[u8]); 2] = [("request-id", id.as_bytes()), ("host", b"a.example")];
        let fields = fixed
            .iter()
            .chain(headers)
            .map(|(name, value)| HeaderField {
                name: name.to_string(),
                value: value.to_vec(),
            });
        let call = RelayCall {
            method: "GET".into(),
            target: "/one/x".into(),
            headers: fields.collect(),
            caller: "10.9.9.9".into(),
            time_left_us: 2_000_000,
            attempts: 2,
            table,
            ..RelayCall::default()
        };
        match self.call(Body::RelayCall(call)) {
            Body::RelayReply(reply) => (reply.outcome, reply.status),
            reply => panic!("{reply:?}"),
        }
    }
}

/// Checks that the replica got the request `id` with `tenant` only, or not at all if it was not let in.
fn check_sent(replica: &FakeReplica, id: &str, tenant: Option<Option<&str>>) {
    let heads = replica.heads().into_iter();
    let heads: Vec<_> = heads.filter(|(sent, _)| sent == id).collect();
    assert_eq!(heads.is_empty(), tenant.is_none(), "{id}");
    for (_, headers) in heads {
        let told = headers.get("tenant").map(|value| value.to_str().unwrap());
        assert_eq!(Some(told), tenant, "{id}");
        assert!(!headers.contains_key("authorization"), "{id}");
    }
}

/// Guards against an account that a caller has forged, against a request that runs without one, and against a key
/// that goes on, by way of a member of any build.
#[test]
fn accounts_of_relayed_requests_depend_on_the_build_of_the_sender() {
    let mut cluster = ForwardCluster::start(&[]);
    let tenants = json!([
        AccountText::new("acme", &["s3cret-acme"]).to_json(),
        AccountText::new("other", &[]).to_json(),
    ]);
    let routes = [RouteText::single("/one/", "s1")];
    let text = account_config_text(TABLE, &routes, &[], tenants);
    cluster.store.put("op/config", text);
    let replica = FakeReplica::start(&cluster.store, "s1", "i-1", "z1");
    let daemon = cluster.ready_daemon("z1");
    let mut caller = KeyedCaller::connect(daemon.callers());
    let reply = caller.get("/one/x", "warm", &[("Authorization", KEY)]);
    assert_eq!(reply.status, 200, "{reply:?}");

    type Case<'a> = (u64, &'a [(&'a str, &'a [u8])], u32, Option<Option<&'a str>>);
    let of_this_build: [Case<'_>; 7] = [
        (TABLE, &[("tenant", b"acme")], ANSWERED, Some(Some("acme"))),
        (
            TABLE,
            &[("tenant", b"other"), ("authorization", WRONG_KEY)],
            ANSWERED,
            Some(Some("other")),
        ),
        (TABLE, &[], ANSWERED, Some(None)),
        (TABLE, &[("tenant", b"nobody")], DECLINED, None),
        (TABLE, &[("tenant", b"\xff")], DECLINED, None),
        // The sender's table has no accounts, so a caller has sent this.
        (TABLE - 1, &[("tenant", b"acme")], DECLINED, None),
        (TABLE - 1, &[("authorization", KEY)], DECLINED, None),
    ];
    let of_older_build: [Case<'_>; 4] = [
        (TABLE, &[("tenant", b"acme")], NOT_RUN, None),
        (TABLE, &[("authorization", WRONG_KEY)], NOT_RUN, None),
        (TABLE, &[], NOT_RUN, None),
        (
            TABLE - 1,
            &[("tenant", b"other"), ("authorization", KEY)],
            ANSWERED,
            Some(Some("acme")),
        ),
    ];
    let builds: [(&str, &[Case<'_>]); 3] = [
        ("+500m", &of_this_build),
        ("500m", &of_older_build),
        ("", &of_older_build),
    ];
    for (number, (cell, cases)) in (101..).zip(builds) {
        let member = FakeMember::join(&daemon, number, cell);
        for (index, (table, headers, outcome, tenant)) in cases.iter().enumerate() {
            let id = format!("relayed-{number}-{index}");
            let reply = member.relay(&id, *table, headers);
            let status = match *outcome {
                ANSWERED => 200,
                NOT_RUN => 401,
                _ => 503,
            };
            assert_eq!(reply, (*outcome, status), "{id}\n{}", daemon.log());
            check_sent(&replica, &id, *tenant);
        }
    }
    let log = complete_log(&daemon);
    assert!(log.contains("E7043") && !log.contains("s3cret"), "{log}");
}
