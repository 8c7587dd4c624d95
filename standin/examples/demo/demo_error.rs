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
    /// The bundle was refused because of its signatures or its version order.
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
    /// A daemon's thread panicked, or ended before it reported its addresses.
    #[error("a daemon panicked or ended before it had started")]
    DaemonEnded,
    /// A daemon did not become ready within the timeout.
    #[error("daemon {0} did not become ready in time")]
    NotReady(String),
    /// A query failed or timed out.
    #[error("a daemon did not answer: {0}")]
    NoAnswer(String),
    /// An answer was not complete although no fault was injected.
    #[error("{group}: expected a complete answer, got {outcome} {reason}")]
    NotComplete {
        group: String,
        outcome: String,
        reason: String,
    },
    /// The items of an answer are not those of its coverage and snapshot.
    #[error("the items of an answer do not match its coverage")]
    WrongItems,
    /// More than 1 % of the searches got neither a complete nor a partial answer.
    #[error("{other} of {sent} searches were not answered")]
    Unanswered { other: u64, sent: u64 },
    /// A run-once request ran more than once, not at all, or without a complete answer.
    #[error(
        "expected a run-once request to complete after one run; it was {outcome} after {runs} runs"
    )]
    NotRunOnce { outcome: String, runs: u64 },
    /// Charges were lost or counted twice.
    #[error("charges differ: {answered} units in answers, {stored} units in the store")]
    ChargesDiffer { answered: u64, stored: u64 },
    /// A daemon's stop cancelled requests that were still running.
    #[error("a daemon cancelled {0} running requests when it stopped")]
    StopCut(usize),
}
