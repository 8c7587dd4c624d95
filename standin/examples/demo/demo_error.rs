//! Errors of the demo.

use std::io;

use daemon::{
    store::StoreError,
    DaemonError, //
};
use policy::bundle::BundleError;
use schema::SchemaError;
use standin::StandinError;
use thiserror::Error;

/// Why the demo failed.
#[derive(Debug, Error)]
pub(crate) enum DemoError {
    /// A file, port or thread is not available.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The bundle of the deployment is invalid.
    #[error("{0}")]
    Schema(#[from] SchemaError),
    /// The bundle's signatures or version order is invalid.
    #[error("{0}")]
    Refused(#[from] BundleError),
    /// A stand-in failed.
    #[error("{0}")]
    Standin(#[from] StandinError),
    /// A daemon failed.
    #[error("{0}")]
    Daemon(#[from] DaemonError),
    /// A call to the store failed.
    #[error("store call failed: {0}")]
    Store(#[from] StoreError),
    /// A daemon's thread panicked or ended early.
    #[error("a daemon ended before it had started")]
    DaemonEnded,
    /// A daemon did not become ready within the timeout.
    #[error("daemon {0} is not ready")]
    NotReady(String),
    /// A query failed or timed out.
    #[error("no answer from a daemon: {0}")]
    NoAnswer(String),
    /// An answer was not complete although no fault was injected.
    #[error("{group}: {outcome} {reason}, expected a complete answer")]
    NotComplete {
        group: String,
        outcome: String,
        reason: String,
    },
    /// An answer whose items are not those of its coverage and snapshot.
    #[error("the items of an answer do not match its coverage")]
    WrongItems,
    /// More than 1 % of the searches got neither a complete nor a partial answer.
    #[error("{other} of {sent} searches were not answered")]
    Unanswered { other: u64, sent: u64 },
    /// A run-once request ran more than once, not at all, or without a complete answer.
    #[error("a run-once request was {outcome} and ran {runs} times")]
    NotOnce { outcome: String, runs: u64 },
    /// Charges were lost or counted twice.
    #[error("{answered} units in answers, {stored} units in the store")]
    ChargesDiffer { answered: u64, stored: u64 },
    /// A daemon's stop cancelled requests that were still running.
    #[error("a daemon cancelled {0} running requests when it stopped")]
    StopCut(usize),
}
