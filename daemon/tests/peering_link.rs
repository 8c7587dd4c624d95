//! The port for peers, tested over real sockets.

#![allow(clippy::expect_used)]

use std::{
    net::SocketAddr,
    time::Duration, //
};

use daemon::peering::{
    PeerError,
    PeerInput,
    PeerLink,
    PeerSocket,
    RelayFailure, //
};
use schema::{
    peer::{
        stream_body::Body,
        BundleCall,
        BundleReply,
        DoneReply,
        OfferCall,
        RelayCall, //
    },
    Incarnation,
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::mpsc::Receiver,
    task::{
        spawn_local,
        LocalSet, //
    },
    time::timeout, //
};

const KEY: [u8; 32] = [7; 32];
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

async fn open_link(name: &str, key: [u8; 32]) -> (SocketAddr, PeerLink, Receiver<PeerInput>) {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let socket = PeerSocket::bind(any_port).await.expect("port");
    let address = socket.address();
    let zone = "kochi".parse().expect("zone");
    let daemon = name.parse().expect("name");
    let (link, inputs) = PeerLink::serve(socket, key, &daemon, &zone, Incarnation(1));
    (address, link, inputs)
}

fn answer_calls(mut inputs: Receiver<PeerInput>) {
    spawn_local(async move {
        while let Some(input) = inputs.recv().await {
            let PeerInput::Called {
                from, body, reply, ..
            } = input
            else {
                continue;
            };
            assert_eq!(from, "a");
            let answer = match body {
                Body::BundleCall(call) => Body::BundleReply(BundleReply {
                    head: vec![call.have_version as u8],
                    body: vec![3; 1024 * 1024],
                }),
                _ => Body::DoneReply(DoneReply {}),
            };
            let _ = reply.send(answer);
        }
    });
}

fn bundle_call(have_version: u64) -> Body {
    Body::BundleCall(BundleCall { have_version })
}

fn run_local(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    LocalSet::new().block_on(&runtime.expect("runtime"), test);
}

#[test]
fn datagrams_and_calls_arrive() {
    run_local(async {
        let (_, first, _inputs) = open_link("a", KEY).await;
        let (address, _second, mut inputs) = open_link("b", KEY).await;
        first.send(address, b"hello");
        let Some(PeerInput::Datagram { bytes }) = inputs.recv().await else {
            panic!("no datagram");
        };
        assert_eq!(bytes, b"hello");
        answer_calls(inputs);
        // Concurrent calls share a connection, and each gets its own answer.
        let calls: Vec<_> = (1..20)
            .map(|call| spawn_local(first.call(address, bundle_call(call))))
            .collect();
        for (place, call) in calls.into_iter().enumerate() {
            let reply = call.await.expect("task").expect("reply");
            let Body::BundleReply(reply) = reply else {
                panic!("another reply");
            };
            assert_eq!(reply.head, vec![place as u8 + 1]);
            assert_eq!(reply.body.len(), 1024 * 1024);
        }
    });
}

#[test]
fn a_peer_with_another_key_gets_no_answer() {
    run_local(async {
        let (_, first, _inputs) = open_link("a", [8; 32]).await;
        let (address, _second, inputs) = open_link("b", KEY).await;
        answer_calls(inputs);
        let error = first
            .call(address, bundle_call(1))
            .await
            .expect_err("answered");
        assert!(matches!(error, PeerError::ConnectionFailed(_)), "{error}");
    });
}

#[test]
fn malformed_frames_close_only_their_connection() {
    run_local(async {
        let (_, first, _inputs) = open_link("a", KEY).await;
        let (address, _second, inputs) = open_link("b", KEY).await;
        answer_calls(inputs);
        let cases: [&[u8]; 4] = [
            &[0xff, 0xff, 0xff, 0xff],
            &[0, 0, 0, 0],
            &[0, 0, 0, 5, 1, 2, 3, 4, 5],
            b"GET / HTTP/1.1\r\n\r\n",
        ];
        for bytes in cases {
            let mut stream = TcpStream::connect(address).await.expect("connection");
            stream.write_all(bytes).await.expect("written");
            let mut rest = Vec::new();
            let read = tokio::io::AsyncReadExt::read_to_end(&mut stream, &mut rest).await;
            assert!(read.is_err() || rest.is_empty(), "{bytes:?}");
            assert!(first.call(address, bundle_call(1)).await.is_ok());
        }
    });
}

#[test]
fn a_peer_that_restarts_is_reached_again() {
    run_local(async {
        let (_, first, _inputs) = open_link("a", KEY).await;
        let (address, second, inputs) = open_link("b", KEY).await;
        answer_calls(inputs);
        assert!(first.call(address, bundle_call(1)).await.is_ok());
        drop(second);
        let result = first.call(address, bundle_call(2)).await;
        assert!(result.is_err());
        let socket = PeerSocket::bind(address).await.expect("same port");
        let (zone, daemon) = ("kochi".parse().expect("zone"), "b".parse().expect("name"));
        let (_third, inputs) = PeerLink::serve(socket, KEY, &daemon, &zone, Incarnation(2));
        answer_calls(inputs);
        assert!(first.call(address, bundle_call(3)).await.is_ok());
    });
}

fn relay_call() -> Body {
    Body::RelayCall(RelayCall {
        body: vec![7; 3 * 1024 * 1024],
        ..RelayCall::default()
    })
}

/// Guards against relayed calls that wait for each other, and against a large body that arrives in part.
#[test]
fn relayed_calls_run_side_by_side() {
    run_local(async {
        let (_, caller, _inputs) = open_link("a", KEY).await;
        let (address, _link, mut inputs) = open_link("b", KEY).await;
        let calls = [1, 2]
            .map(|_| spawn_local(caller.relay(address, relay_call(), CONNECT_TIMEOUT, |_| true)));
        let mut replies = Vec::new();
        while replies.len() < 2 {
            let Some(PeerInput::Called { body, reply, .. }) = inputs.recv().await else {
                continue;
            };
            assert_eq!(body, relay_call());
            replies.push(reply);
        }
        for reply in replies {
            reply.send(relay_call()).expect("the caller waits");
        }
        for call in calls {
            assert_eq!(call.await.expect("task"), Ok(relay_call()));
        }
    });
}

/// Guards against work that goes on at a peer for a call that was cancelled.
#[test]
fn a_cancelled_relay_is_noticed_by_the_peer() {
    run_local(async {
        let (_, caller, _inputs) = open_link("a", KEY).await;
        let (address, _link, mut inputs) = open_link("b", KEY).await;
        let call = spawn_local(caller.relay(address, relay_call(), CONNECT_TIMEOUT, |_| true));
        let Some(PeerInput::Called { mut reply, .. }) = inputs.recv().await else {
            panic!("no call");
        };
        call.abort();
        timeout(Duration::from_secs(5), reply.closed())
            .await
            .expect("the peer learns of it");
    });
}

/// Guards against a request that is lost with a peer of an older build: that closes the connection at a
/// message which it does not know, so that it never answers the question which comes before any request.
#[test]
fn a_peer_that_does_not_know_the_call_gives_no_answer() {
    run_local(async {
        let (_, caller, _inputs) = open_link("a", KEY).await;
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("port");
        let address = listener.local_addr().expect("address");
        spawn_local(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let _ = stream.read_u32().await;
            }
        });
        let question = Body::OfferCall(OfferCall::default());
        let answer = timeout(
            Duration::from_secs(5),
            caller.relay(address, question, CONNECT_TIMEOUT, |_| true),
        )
        .await;
        assert_eq!(answer.expect("in time"), Err(RelayFailure::Broken));
        let unused = SocketAddr::from(([127, 0, 0, 1], 1));
        let answer = caller
            .relay(unused, relay_call(), CONNECT_TIMEOUT, |_| true)
            .await;
        assert_eq!(answer, Err(RelayFailure::Unsent));
    });
}
