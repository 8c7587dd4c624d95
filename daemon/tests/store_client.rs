//! The store client against the stand-in store: its calls, and the reply that each fault leads to.

#![allow(clippy::expect_used)]

use std::time::Duration;

use daemon::store::{
    StoreClient,
    StoreError,
    VmClient, //
};
use policy::store::{
    StoreCall,
    StoreReply, //
};
use standin::{
    StoreFault,
    StoreServer,
    StoreSettings,
    TaskHost,
    VmServer,
    VmSettings, //
};
use tokio::{
    net::TcpStream,
    task::{
        spawn_local,
        LocalSet, //
    },
};

const SHORT_TIMEOUT: Duration = Duration::from_millis(400);
const LONG_TIMEOUT: Duration = Duration::from_secs(10);

fn run_local(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    LocalSet::new().block_on(&runtime.expect("runtime"), test);
}

fn store() -> StoreServer {
    StoreServer::spawn(StoreSettings::default()).expect("store")
}

fn client(store: &StoreServer, timeout: Duration) -> StoreClient {
    StoreClient::new(&store.url(), timeout).expect("client")
}

fn read_call(key: &str) -> StoreCall {
    StoreCall::Get { key: key.into() }
}

fn write_call(key: &str, value: &[u8], expect: u64) -> StoreCall {
    StoreCall::Write {
        key: key.into(),
        value: value.to_vec(),
        expect,
        lease: 0,
    }
}

#[test]
fn create_swap_and_conflict() {
    run_local(async {
        let store = store();
        let client = client(&store, LONG_TIMEOUT);
        assert_eq!(client.call(read_call("a/b/c")).await, StoreReply::Missing);
        let written = client.call(write_call("a/b/c", b"one", 0)).await;
        let StoreReply::Written { revision } = written else {
            panic!("{written:?}");
        };
        let found = client.call(read_call("a/b/c")).await;
        let value = b"one".to_vec();
        assert_eq!(found, StoreReply::Found { value, revision });
        let again = client.call(write_call("a/b/c", b"two", 0)).await;
        assert_eq!(again, StoreReply::Conflict { revision });
        let stale = client.call(write_call("a/b/c", b"two", revision + 9)).await;
        assert_eq!(stale, StoreReply::Conflict { revision });
        let swapped = client.call(write_call("a/b/c", b"two", revision)).await;
        assert!(matches!(swapped, StoreReply::Written { revision: next } if next > revision));
        let counts = client.counts();
        assert_eq!(
            (counts.reads(), counts.writes(), counts.failures()),
            (2, 4, 0)
        );
        assert_eq!(store.counts().reads, 2);
        assert_eq!(store.counts().writes, 4);
    });
}

#[test]
fn values_are_raw_bytes_up_to_a_megabyte() {
    run_local(async {
        let store = store();
        let client = client(&store, LONG_TIMEOUT);
        let value: Vec<u8> = (0..1_000_000_u32).map(|byte| byte as u8).collect();
        let written = client.call(write_call("large", &value, 0)).await;
        assert!(matches!(written, StoreReply::Written { .. }));
        let StoreReply::Found { value: found, .. } = client.call(read_call("large")).await else {
            panic!("not found");
        };
        assert!(found == value);
        let too_large = vec![0; 1_100_000];
        assert_eq!(
            client.call(write_call("over", &too_large, 0)).await,
            StoreReply::Refused
        );
        assert_eq!(client.call(read_call("over")).await, StoreReply::Missing);
    });
}

#[test]
fn a_watch_returns_on_a_write() {
    run_local(async {
        let store = store();
        let client = client(&store, LONG_TIMEOUT);
        let watch = |after: u64, wait: Duration| StoreCall::Watch {
            key: "head".into(),
            after,
            wait,
        };
        let unchanged = client.call(watch(0, Duration::from_millis(20))).await;
        assert_eq!(unchanged, StoreReply::Unchanged);
        let watcher = client.clone();
        let pending = spawn_local(async move { watcher.call(watch(0, LONG_TIMEOUT)).await });
        let written = client.call(write_call("head", b"1", 0)).await;
        let StoreReply::Written { revision } = written else {
            panic!("{written:?}");
        };
        let value = b"1".to_vec();
        assert_eq!(
            pending.await.expect("task"),
            StoreReply::Found { value, revision }
        );
        assert_eq!(client.counts().watches(), 2);
    });
}

#[test]
fn keys_are_deleted_with_their_lease() {
    run_local(async {
        let store = store();
        let client = client(&store, LONG_TIMEOUT);
        let granted = client.grant(Duration::from_secs(60)).await.expect("lease");
        let StoreReply::Granted { lease } = granted else {
            panic!("{granted:?}");
        };
        let call = StoreCall::Write {
            key: "leased".into(),
            value: b"x".to_vec(),
            expect: 0,
            lease,
        };
        assert!(matches!(
            client.call(call.clone()).await,
            StoreReply::Written { .. }
        ));
        assert_eq!(client.renew(lease).await.expect("renewed").lease, lease);
        client.revoke(lease).await.expect("revoked");
        assert_eq!(client.call(read_call("leased")).await, StoreReply::Missing);
        assert_eq!(
            client.call(call).await,
            StoreReply::Conflict { revision: 0 }
        );
        let error = client.renew(lease).await.expect_err("lapsed");
        assert!(matches!(error, StoreError::Refused { status: 404 }));
    });
}

#[test]
fn a_lost_reply_makes_a_write_indeterminate() {
    run_local(async {
        let store = store();
        let client = client(&store, LONG_TIMEOUT);
        // Opens a connection, as in a daemon that has run for a while.
        client.call(read_call("any")).await;
        store.lose_replies(1);
        assert_eq!(
            client.call(write_call("key", b"x", 0)).await,
            StoreReply::Indeterminate
        );
        let found = client.call(read_call("key")).await;
        assert!(matches!(found, StoreReply::Found { .. }), "{found:?}");
        assert_eq!(client.counts().failures(), 1);
    });
}

/// Sets a fault and waits until the port is open or closed as the fault requires, since another
/// thread opens and closes it.
async fn set_fault(store: &StoreServer, fault: StoreFault) {
    store.set_fault(fault);
    let is_open = fault != StoreFault::Down;
    while TcpStream::connect(store.address()).await.is_ok() != is_open {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

#[test]
fn faults_map_to_failed_or_indeterminate() {
    run_local(async {
        let cases = [
            ("down", StoreFault::Down, StoreReply::Failed),
            ("hanging", StoreFault::Hang, StoreReply::Indeterminate),
            (
                "slow",
                StoreFault::Slow(LONG_TIMEOUT),
                StoreReply::Indeterminate,
            ),
        ];
        for (label, fault, expected) in cases {
            let store = store();
            let client = client(&store, SHORT_TIMEOUT);
            set_fault(&store, fault).await;
            assert_eq!(
                client.call(write_call("key", b"x", 0)).await,
                expected,
                "{label}"
            );
            set_fault(&store, StoreFault::None).await;
            let after_fault = client.call(write_call("other", b"x", 0)).await;
            assert!(
                matches!(after_fault, StoreReply::Written { .. }),
                "{label}: {after_fault:?}"
            );
        }
    });
}

#[test]
fn invalid_urls_are_rejected() {
    for url in [
        "",
        "127.0.0.1:80",
        "https://127.0.0.1",
        "ftp://x",
        "http://",
    ] {
        let client = StoreClient::new(url, LONG_TIMEOUT);
        assert!(matches!(client, Err(StoreError::BadUrl { .. })), "{url}");
    }
}

#[test]
fn the_vm_list_is_read() {
    run_local(async {
        let host = TaskHost::spawn().expect("host");
        let server = VmServer::start(&host, VmSettings::default()).expect("list");
        let client = VmClient::new(&server.url(), LONG_TIMEOUT).expect("client");
        server.put([schema::platform::VmEntry {
            name: "vm-1".into(),
            role: "daemon".into(),
            ..Default::default()
        }]);
        let list = client.read(0).await.expect("answer").expect("list");
        assert_eq!(list.vms.len(), 1);
        server.set_down(true);
        assert!(client.read(0).await.is_err());
    });
}
