//! The port for peers, tested over real sockets.

#![allow(clippy::expect_used)]

use std::net::SocketAddr;

use daemon::peering::{
    PeerError,
    PeerInput,
    PeerLink,
    PeerSocket, //
};
use schema::{
    peer::{
        stream_body::Body,
        BundleCall,
        BundleReply,
        DoneReply, //
    },
    Incarnation,
};
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    sync::mpsc::Receiver,
    task::{
        spawn_local,
        LocalSet, //
    }, //
};

const KEY: [u8; 32] = [7; 32];

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
