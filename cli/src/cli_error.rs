//! Errors of the commands and the exit codes they map to.

use std::{
    io,
    net::SocketAddr,
    path::PathBuf, //
};

use daemon::DaemonError;
use policy::bundle::BundleError;
use schema::{
    BundleVersion,
    SchemaError,
    SignerName, //
};
use thiserror::Error;

/// Exit codes; `EXIT_CODES_HELP` explains them to operators.
const EXIT_FAILED: u8 = 1;
const EXIT_BAD_INPUT: u8 = 2;
const EXIT_CONFLICT: u8 = 3;
const EXIT_REJECTED: u8 = 4;
const EXIT_NO_ANSWER: u8 = 5;
const EXIT_INCOMPLETE: u8 = 6;

/// Explanation of the exit codes, shown at the end of every help text.
pub(crate) const EXIT_CODES_HELP: &str = "\
Exit codes: 0 done, 1 failed, 2 bad usage or input, 3 conflict with another operator, \
4 bundle rejected, 5 store or daemon did not answer, \
6 incomplete answer or lost charges";

/// Why a command failed.
#[derive(Debug, Error)]
pub(crate) enum CliError {
    /// A file cannot be read or written.
    #[error("{}: {error}", path.display())]
    File { path: PathBuf, error: io::Error },
    /// The output file already exists and would be overwritten.
    #[error("{}: file already exists; choose another path", path.display())]
    FileExists { path: PathBuf },
    /// A bundle or settings file has an invalid field.
    #[error(transparent)]
    Schema(#[from] SchemaError),
    /// The daemon would not start with these settings.
    #[error(transparent)]
    DaemonSettings(#[from] DaemonError),
    /// The file does not contain a private key.
    #[error("{}: not a private key, expected 64 characters of hex", path.display())]
    BadKey { path: PathBuf },
    /// The file does not contain a signed bundle.
    #[error("{}: not a signed bundle; create one with `pollentally sign`", path.display())]
    NotSigned { path: PathBuf },
    /// A command-line argument is outside its allowed values.
    #[error("{option}: {value} is not allowed, expected {expected}")]
    BadArgument {
        option: &'static str,
        value: String,
        expected: &'static str,
    },
    /// The bundle fails validation or lacks valid signatures.
    #[error("{subject}: {error}")]
    BundleRejected { subject: String, error: BundleError },
    /// Another bundle was accepted under the same or a later version number.
    #[error(
        "version {version}, signed by {signers}, is in force; \
         it was accepted before this bundle: sign the change again on top of it"
    )]
    Conflict {
        version: BundleVersion,
        signers: String,
    },
    /// The store's reply to the write was lost, and later versions have been accepted since, so the
    /// head no longer shows whether the write took effect.
    #[error(
        "version {version} is in force; it is unknown whether this bundle was accepted before it: \
         check `pollentally history`"
    )]
    WriteIndeterminate { version: BundleVersion },
    /// The draft already has a signature of this signer.
    #[error("{signer} has already signed this bundle")]
    AlreadySigned { signer: SignerName },
    /// The store did not answer, or its answer is invalid.
    #[error("the store at {url}: {problem}")]
    Store { url: String, problem: String },
    /// Neither the settings nor the command line give the store's URL.
    #[error("no store URL: pass --store or set platform.store in the settings")]
    NoStoreUrl,
    /// No bundle has been accepted yet.
    #[error("the store holds no bundle")]
    NoBundle,
    /// A daemon did not answer, or its answer is invalid.
    #[error("the daemon at {address}: {problem}")]
    Daemon {
        address: SocketAddr,
        problem: String,
    },
    /// At least one daemon did not answer a status request.
    #[error("{count} of {total} daemons did not answer")]
    UnansweredDaemons { count: usize, total: usize },
    /// The request did not get a complete answer; any partial answer has been printed.
    #[error("the request ended with outcome {outcome}{}", reason_suffix(reason))]
    Incomplete { outcome: String, reason: String },
    /// Daemons counted answers whose charges no segment in the store contains.
    #[error(
        "at least {charges} charges are lost; \
         {incarnations} daemon incarnations have missing segments or no closing segment"
    )]
    ChargesLost { charges: u64, incarnations: usize },
    /// Standard output cannot be written.
    #[error("cannot write to standard output: {0}")]
    Output(#[from] io::Error),
    /// A value cannot be written as JSON, or a daemon's JSON cannot be read.
    #[error("invalid JSON: {0}")]
    Json(#[from] serde_json::Error),
}

impl CliError {
    /// Exit code that the process ends with.
    pub(crate) fn code(&self) -> u8 {
        match self {
            Self::File { .. } | Self::Output(_) | Self::Json(_) => EXIT_FAILED,
            Self::DaemonSettings(DaemonError::SettingsUnreadable { .. }) => EXIT_FAILED,
            Self::DaemonSettings(_) => EXIT_BAD_INPUT,
            Self::FileExists { .. } | Self::Schema(_) | Self::BadKey { .. } => EXIT_BAD_INPUT,
            Self::NotSigned { .. } | Self::BadArgument { .. } | Self::NoStoreUrl => EXIT_BAD_INPUT,
            Self::Conflict { .. } | Self::WriteIndeterminate { .. } => EXIT_CONFLICT,
            Self::BundleRejected { .. } | Self::AlreadySigned { .. } => EXIT_REJECTED,
            Self::Store { .. } | Self::NoBundle => EXIT_NO_ANSWER,
            Self::Daemon { .. } | Self::UnansweredDaemons { .. } => EXIT_NO_ANSWER,
            Self::Incomplete { .. } | Self::ChargesLost { .. } => EXIT_INCOMPLETE,
        }
    }

    /// Whether the reader closed the output pipe early, as `head` does; this is not a failure.
    pub(crate) fn is_broken_pipe(&self) -> bool {
        match self {
            Self::Output(error) => error.kind() == io::ErrorKind::BrokenPipe,
            Self::Json(error) => error.io_error_kind() == Some(io::ErrorKind::BrokenPipe),
            _ => false,
        }
    }

    /// An I/O error on the file at `path`.
    pub(crate) fn file_error(path: &std::path::Path, error: io::Error) -> Self {
        Self::File {
            path: path.into(),
            error,
        }
    }

    /// A rejection of the bundle; `subject` names it in the message.
    pub(crate) fn bundle_rejected(subject: impl ToString, error: BundleError) -> Self {
        Self::BundleRejected {
            subject: subject.to_string(),
            error,
        }
    }
}

/// Exit code of a command line that cannot be parsed.
pub(crate) const EXIT_USAGE: u8 = EXIT_BAD_INPUT;

fn reason_suffix(reason: &str) -> String {
    if reason.is_empty() {
        return String::new();
    }
    format!(": {reason}")
}
