//! Everything that can go wrong in a command.

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

/// Exit codes, as the help text lists them.
const FAILED: u8 = 1;
const BAD_INPUT: u8 = 2;
const CONFLICT: u8 = 3;
const REFUSED: u8 = 4;
const NO_ANSWER: u8 = 5;
const NOT_COMPLETE: u8 = 6;

/// The exit codes in words, for the end of every help text.
pub(crate) const EXIT_CODES: &str = "\
Exit codes: 0 done, 1 failed, 2 bad usage or input, 3 another operator was first, \
4 refused by the rules of the bundle, 5 store or daemon did not answer, \
6 answered, but not completely";

/// A command failed.
#[derive(Debug, Error)]
pub(crate) enum CliError {
    /// A file can't be read or written.
    #[error("{}: {error}", path.display())]
    File { path: PathBuf, error: io::Error },
    /// A file exists and must not be replaced.
    #[error("{}: the file exists, choose another name", path.display())]
    FileExists { path: PathBuf },
    /// A bundle or settings with a field that is not right.
    #[error(transparent)]
    Schema(#[from] SchemaError),
    /// A daemon's settings that it can't start with.
    #[error(transparent)]
    DaemonSettings(#[from] DaemonError),
    /// A file that holds no private key.
    #[error("{}: not a private key, expected 64 characters of hex", path.display())]
    BadKey { path: PathBuf },
    /// A file that holds no signed bundle.
    #[error("{}: not a signed bundle, make one with `pollentally sign`", path.display())]
    NotSigned { path: PathBuf },
    /// A text of the command line that is not right.
    #[error("{option}: {value} is not allowed, expected {expected}")]
    BadOption {
        option: &'static str,
        value: String,
        expected: &'static str,
    },
    /// A bundle that must not take effect.
    #[error("{what}: {refusal}")]
    Refused { what: String, refusal: BundleError },
    /// Another version took the place of the one that was to be accepted.
    #[error(
        "version {version}, signed by {signers}, is in force; \
         it was accepted before yours: sign your change again on top of it"
    )]
    Conflict {
        version: BundleVersion,
        signers: String,
    },
    /// A reply of the store was lost and later versions hide what became of the write.
    #[error(
        "version {version} is in force; whether yours was among those before it is not known: \
         see `pollentally history`"
    )]
    Unclear { version: BundleVersion },
    /// A signer signed already.
    #[error("{signer} signed already")]
    SignedAlready { signer: SignerName },
    /// The store did not answer, or not as it should.
    #[error("the store at {url}: {problem}")]
    Store { url: String, problem: String },
    /// The settings name no store.
    #[error("no store is named: give --store or platform.store in the settings")]
    StoreMissing,
    /// The store holds no bundle.
    #[error("the store holds no bundle")]
    BundleMissing,
    /// A daemon did not answer.
    #[error("the daemon at {address}: {problem}")]
    Daemon {
        address: SocketAddr,
        problem: String,
    },
    /// Some daemons did not answer.
    #[error("{count} of {all} daemons did not answer")]
    Silent { count: usize, all: usize },
    /// The answer is not complete; it has been printed.
    #[error("the answer is {outcome}{}", reason_part(reason))]
    NotComplete { outcome: String, reason: String },
    /// Charges that are nowhere.
    #[error("at least {charges} charges are lost; {starts} starts of daemons have gaps or no end")]
    ChargesLost { charges: u64, starts: usize },
    /// Standard output can't be written.
    #[error("can't write the output: {0}")]
    Output(#[from] io::Error),
    /// A value that has no JSON form.
    #[error("can't write JSON: {0}")]
    Json(#[from] serde_json::Error),
}

impl CliError {
    /// The exit code.
    pub(crate) fn code(&self) -> u8 {
        match self {
            Self::File { .. } | Self::Output(_) | Self::Json(_) => FAILED,
            Self::DaemonSettings(DaemonError::SettingsUnreadable { .. }) => FAILED,
            Self::DaemonSettings(_) => BAD_INPUT,
            Self::FileExists { .. } | Self::Schema(_) | Self::BadKey { .. } => BAD_INPUT,
            Self::NotSigned { .. } | Self::BadOption { .. } | Self::StoreMissing => BAD_INPUT,
            Self::Conflict { .. } | Self::Unclear { .. } => CONFLICT,
            Self::Refused { .. } | Self::SignedAlready { .. } => REFUSED,
            Self::Store { .. } | Self::BundleMissing => NO_ANSWER,
            Self::Daemon { .. } | Self::Silent { .. } => NO_ANSWER,
            Self::NotComplete { .. } | Self::ChargesLost { .. } => NOT_COMPLETE,
        }
    }

    /// Whether the reader of the output went away, which is no failure.
    pub(crate) fn is_broken_pipe(&self) -> bool {
        match self {
            Self::Output(error) => error.kind() == io::ErrorKind::BrokenPipe,
            Self::Json(error) => error.io_error_kind() == Some(io::ErrorKind::BrokenPipe),
            _ => false,
        }
    }

    /// An error about `path`.
    pub(crate) fn file(path: &std::path::Path, error: io::Error) -> Self {
        Self::File {
            path: path.into(),
            error,
        }
    }

    /// A refusal of the bundle named `what`.
    pub(crate) fn refused(what: impl ToString, refusal: BundleError) -> Self {
        Self::Refused {
            what: what.to_string(),
            refusal,
        }
    }
}

/// The exit code of a usage error.
pub(crate) const USAGE_CODE: u8 = BAD_INPUT;

fn reason_part(reason: &str) -> String {
    if reason.is_empty() {
        return String::new();
    }
    format!(": {reason}")
}
