//! Replies of replicas that end midway.

#![allow(clippy::unwrap_used)]

mod forward_cluster;

use forward_cluster::{
    get,
    ForwardCluster, //
};
use platform_standin::{
    FakeReplica,
    RouteText,
    SeveredReplica, //
};

/// Requests after which each beginning of a reply must have been sent.
const REQUESTS_MAX: usize = 1_000;
/// A reply with a length, one without, and one whose length is zero. The signature comes first, so that most
/// beginnings have it.
const REPLIES: [&str; 3] = [
    "HTTP/1.1 200 OK\r\nServer-Stamp: cut.1\r\nConnection: close\r\nContent-Length: 16\r\n\r\n0123456789abcdef",
    "HTTP/1.1 200 OK\r\nServer-Stamp: cut.1\r\nConnection: close\r\nX-Padding: 123456\r\n\r\n",
    "HTTP/1.1 200 OK\r\nServer-Stamp: cut.1\r\nContent-Length: 0\r\nX-Padding: 123456\r\n\r\n",
];

/// Guards against a success with an empty or short body after a replica that stopped in the middle of
/// its reply's head: within the status line, a header, or before the empty line.
#[test]
fn a_reply_that_ends_midway_is_no_success() {
    for reply in REPLIES {
        // The stand-in sends five bytes less each time.
        let replies = reply.len() / 5;
        let whole = reply.split_once("\r\n\r\n").unwrap().1.len();
        let gathers = RouteText {
            services: vec!["s2", "s3"],
            min_share: 0.5,
            ..RouteText::single("/all/", "s2")
        };
        let routes = [RouteText::single("/one/", "s1"), gathers];
        let mut cluster = ForwardCluster::start(&routes);
        let single = SeveredReplica::start(&cluster.store, "s1", "i-1", "z1", reply);
        let shard = SeveredReplica::start(&cluster.store, "s2", "i-2", "z1", reply);
        let _other = FakeReplica::start(&cluster.store, "s3", "i-3", "z1");
        let daemon = cluster.ready_daemon("z1");
        for asked in 0..REQUESTS_MAX {
            if single.replies() >= replies && shard.replies() >= replies {
                break;
            }
            let before = single.replies();
            let answer = get(&daemon, "/one/x", &format!("one-{asked}"));
            // Only the first reply is whole.
            if before > 0 && single.replies() < replies {
                assert!(answer.status >= 500, "{before}: {answer:?}");
                assert!(
                    answer.header("server-stamp").is_empty(),
                    "{before}: {answer:?}"
                );
            } else if before == 0 && answer.status == 200 {
                assert_eq!(answer.body.len(), whole);
            }
            let before = shard.replies();
            let answer = get(&daemon, "/all/x", &format!("all-{asked}"));
            if before > 0 && shard.replies() < replies {
                assert_eq!(answer.status, 200, "{before}: {answer:?}");
                let stamps = answer.header("part-stamps");
                assert!(!stamps.contains("cut.1"), "{before}: {stamps}");
            }
        }
        let sent = (single.replies(), shard.replies());
        assert!(sent.0.min(sent.1) >= replies, "{sent:?} replies");
    }
}
