//! What can go wrong in the demo.

use std::io;

use daemon::{
    store::StoreError,
    DaemonError, //
};
use policy::bundle::BundleError;
use schema::SchemaError;
use standin::StandinError;
use thiserror::Error;

/// The demo failed.
#[derive(Debug, Error)]
pub(crate) enum StageError {
    /// A file, a port or a thread.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The bundle of the deployment.
    #[error("{0}")]
    Schema(#[from] SchemaError),
    /// The bundle's signatures or order.
    #[error("{0}")]
    Refused(#[from] BundleError),
    /// A stand-in.
    #[error("{0}")]
    Standin(#[from] StandinError),
    /// A daemon.
    #[error("{0}")]
    Daemon(#[from] DaemonError),
    /// The store.
    #[error("the store: {0}")]
    Store(#[from] StoreError),
    /// A daemon's thread ended early.
    #[error("a daemon ended before it had started")]
    DaemonGone,
    /// A daemon is not ready.
    #[error("daemon {0} is not ready")]
    NotReady(String),
    /// A daemon gave no answer.
    #[error("no answer from a daemon: {0}")]
    NoAnswer(String),
    /// An answer that had to be complete.
    #[error("{group}: {outcome} {reason}, expected a complete answer")]
    NotComplete {
        group: String,
        outcome: String,
        reason: String,
    },
    /// An answer whose items are not those of its coverage and snapshot.
    #[error("an answer has other items than its coverage says")]
    WrongItems,
    /// Most searches were not answered.
    #[error("{other} of {sent} searches were not answered")]
    Unanswered { other: u64, sent: u64 },
    /// A request that ran more than once, or not at all.
    #[error("a request that runs once was {outcome} and ran {runs} times")]
    NotOnce { outcome: String, runs: u64 },
    /// Charges lost or doubled.
    #[error("{answered} units in answers, {stored} units in the store")]
    ChargesDiffer { answered: u64, stored: u64 },
    /// A stop that cut requests.
    #[error("the stop of a daemon cut {0} requests")]
    StopCut(usize),
}
