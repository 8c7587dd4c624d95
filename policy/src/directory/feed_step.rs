//! Steps to keep up with the directory.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use schema::{
    DaemonName,
    TimePoint, //
};

/// What to do next to keep up with the directory.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FeedStep {
    /// Read all of it from the store.
    ReadAll,
    /// Read from the store what has changed since a revision.
    ReadChanges {
        /// The revision.
        after: u64,
    },
    /// Ask a reader.
    AskPeer {
        /// Its name.
        daemon: DaemonName,
        /// Where it listens for peers.
        address: SocketAddr,
        /// The revision known; `None` asks for all.
        after: Option<u64>,
        /// Longest wait for the answer.
        patience: Duration,
    },
    /// Nothing before this time.
    Rest {
        /// The time.
        until: TimePoint,
    },
}
