//! The store client against the stand-in store: the contract, and what each fault comes out as.

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

const PATIENCE: Duration = Duration::from_millis(400);
const LONG: Duration = Duration::from_secs(10);

fn run(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    LocalSet::new().block_on(&runtime.expect("runtime"), test);
}

fn store() -> StoreServer {
    StoreServer::spawn(StoreSettings::default()).expect("store")
}

fn client(store: &StoreServer, patience: Duration) -> StoreClient {
    StoreClient::new(&store.url(), patience).expect("client")
}

fn get(key: &str) -> StoreCall {
    StoreCall::Get { key: key.into() }
}

fn put(key: &str, value: &[u8], expect: u64) -> StoreCall {
    StoreCall::Write {
        key: key.into(),
        value: value.to_vec(),
        expect,
        lease: 0,
    }
}

#[test]
fn create_swap_and_conflict() {
    run(async {
        let store = store();
        let client = client(&store, LONG);
        assert_eq!(client.call(get("a/b/c")).await, StoreReply::Missing);
        let written = client.call(put("a/b/c", b"one", 0)).await;
        let StoreReply::Written { revision } = written else {
            panic!("{written:?}");
        };
        let found = client.call(get("a/b/c")).await;
        let value = b"one".to_vec();
        assert_eq!(found, StoreReply::Found { value, revision });
        let again = client.call(put("a/b/c", b"two", 0)).await;
        assert_eq!(again, StoreReply::Conflict { revision });
        let stale = client.call(put("a/b/c", b"two", revision + 9)).await;
        assert_eq!(stale, StoreReply::Conflict { revision });
        let swapped = client.call(put("a/b/c", b"two", revision)).await;
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
    run(async {
        let store = store();
        let client = client(&store, LONG);
        let value: Vec<u8> = (0..1_000_000_u32).map(|byte| byte as u8).collect();
        let written = client.call(put("large", &value, 0)).await;
        assert!(matches!(written, StoreReply::Written { .. }));
        let StoreReply::Found { value: found, .. } = client.call(get("large")).await else {
            panic!("not found");
        };
        assert!(found == value);
        let over = vec![0; 1_100_000];
        assert_eq!(
            client.call(put("over", &over, 0)).await,
            StoreReply::Refused
        );
        assert_eq!(client.call(get("over")).await, StoreReply::Missing);
    });
}

#[test]
fn a_watch_wakes_on_a_write() {
    run(async {
        let store = store();
        let client = client(&store, LONG);
        let watch = |after: u64, wait: Duration| StoreCall::Watch {
            key: "head".into(),
            after,
            wait,
        };
        let nothing = client.call(watch(0, Duration::from_millis(20))).await;
        assert_eq!(nothing, StoreReply::Unchanged);
        let watcher = client.clone();
        let open = spawn_local(async move { watcher.call(watch(0, LONG)).await });
        let written = client.call(put("head", b"1", 0)).await;
        let StoreReply::Written { revision } = written else {
            panic!("{written:?}");
        };
        let value = b"1".to_vec();
        assert_eq!(
            open.await.expect("task"),
            StoreReply::Found { value, revision }
        );
        assert_eq!(client.counts().watches(), 2);
    });
}

#[test]
fn keys_live_by_their_lease() {
    run(async {
        let store = store();
        let client = client(&store, LONG);
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
        assert_eq!(client.call(get("leased")).await, StoreReply::Missing);
        assert_eq!(
            client.call(call).await,
            StoreReply::Conflict { revision: 0 }
        );
        let gone = client.renew(lease).await.expect_err("lapsed");
        assert!(matches!(gone, StoreError::Refused { status: 404 }));
    });
}

#[test]
fn a_lost_reply_leaves_it_open_whether_the_write_took_effect() {
    run(async {
        let store = store();
        let client = client(&store, LONG);
        // A connection that stands, as in a daemon that has run for a while.
        client.call(get("any")).await;
        store.lose_replies(1);
        assert_eq!(
            client.call(put("key", b"x", 0)).await,
            StoreReply::Indeterminate
        );
        let found = client.call(get("key")).await;
        assert!(matches!(found, StoreReply::Found { .. }), "{found:?}");
        assert_eq!(client.counts().failures(), 1);
    });
}

/// Switches a fault and waits until the port is as the fault says: it closes and opens on a thread
/// of its own.
async fn switch(store: &StoreServer, fault: StoreFault) {
    store.set_fault(fault);
    let open = fault != StoreFault::Down;
    while TcpStream::connect(store.address()).await.is_ok() != open {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

#[test]
fn faults_come_out_as_what_they_prove() {
    run(async {
        let cases = [
            ("down", StoreFault::Down, StoreReply::Failed),
            ("hanging", StoreFault::Hang, StoreReply::Indeterminate),
            ("slow", StoreFault::Slow(LONG), StoreReply::Indeterminate),
        ];
        for (label, fault, expected) in cases {
            let store = store();
            let client = client(&store, PATIENCE);
            switch(&store, fault).await;
            assert_eq!(client.call(put("key", b"x", 0)).await, expected, "{label}");
            switch(&store, StoreFault::None).await;
            let back = client.call(put("other", b"x", 0)).await;
            assert!(
                matches!(back, StoreReply::Written { .. }),
                "{label}: {back:?}"
            );
        }
    });
}

#[test]
fn addresses_that_are_no_http_url_are_refused() {
    for url in [
        "",
        "127.0.0.1:80",
        "https://127.0.0.1",
        "ftp://x",
        "http://",
    ] {
        let client = StoreClient::new(url, LONG);
        assert!(matches!(client, Err(StoreError::BadUrl { .. })), "{url}");
    }
}

#[test]
fn the_list_is_read_when_it_changed() {
    run(async {
        let host = TaskHost::spawn().expect("host");
        let server = VmServer::start(&host, VmSettings::default()).expect("list");
        let client = VmClient::new(&server.url(), LONG).expect("client");
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
