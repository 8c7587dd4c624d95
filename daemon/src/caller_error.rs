//! Errors of requests that are rejected before they reach the query engine.

use http::StatusCode;
use schema::caller::ErrorBody;
use thiserror::Error;

/// Why a request was rejected before the query engine saw it, or cut by a stop. Codes and messages
/// are part of the callers' interface and do not change.
#[derive(Clone, Debug, Error, Eq, PartialEq)]
pub enum CallerError {
    /// The path does not exist.
    #[error("no such path; ask POST /v1/query/{{group}}")]
    UnknownPath,
    /// The group in the path is not UTF-8 text.
    #[error("the path names no service group: it is not UTF-8 text")]
    BadPath,
    /// The method is not POST.
    #[error("ask with POST")]
    BadMethod,
    /// The bundle in force has no such service group.
    #[error("the bundle in force has no service group `{group}`")]
    UnknownGroup {
        /// The group from the path, escaped and shortened.
        group: String,
    },
    /// A required header is missing.
    #[error("the header {header} is missing")]
    MissingHeader {
        /// Name of the header.
        header: &'static str,
    },
    /// A header occurs more than once.
    #[error("the header {header} is there more than once")]
    DuplicateHeader {
        /// Name of the header.
        header: &'static str,
    },
    /// The value of a header is not allowed.
    #[error("the header {header} is not allowed as it is, expected {expected}")]
    BadHeader {
        /// Name of the header.
        header: &'static str,
        /// Description of the allowed values.
        expected: &'static str,
    },
    /// The deadline is zero, not a number, or longer than the group allows.
    #[error("the deadline is not allowed, expected 1 to {max_ms} milliseconds")]
    BadDeadline {
        /// Largest allowed deadline, in milliseconds.
        max_ms: u64,
    },
    /// The headers are larger than allowed.
    #[error("the headers are longer than {max} bytes")]
    HeadersTooLarge {
        /// Largest allowed size of all headers, in bytes.
        max: usize,
    },
    /// The body is larger than the group allows.
    #[error("the body is longer than {max} bytes")]
    BodyTooLarge {
        /// Largest allowed body, in bytes.
        max: usize,
    },
    /// The body ended before its announced length, or did not arrive before the deadline.
    #[error("the body ended early")]
    BodyIncomplete,
    /// The body is not UTF-8.
    #[error("the body is not UTF-8 text")]
    BodyNotText,
    /// The daemon has no bundle yet, or is stopping.
    #[error("this daemon is not serving; ask another")]
    NotServing,
    /// There is no room for the request's bytes.
    #[error("this daemon has no room for the request; repeat it later")]
    NoRoom,
    /// The stop reached its time limit while the request was in flight; the request may have run.
    #[error("this daemon stopped before the request was answered; it may have run")]
    StopCut,
}

impl CallerError {
    /// Returns the stable code that identifies the error to callers.
    pub fn code(&self) -> &'static str {
        match self {
            Self::UnknownPath => "unknown_path",
            Self::BadPath => "bad_path",
            Self::BadMethod => "bad_method",
            Self::UnknownGroup { .. } => "unknown_group",
            Self::MissingHeader { .. } => "missing_header",
            Self::DuplicateHeader { .. } => "duplicate_header",
            Self::BadHeader { .. } => "bad_header",
            Self::BadDeadline { .. } => "bad_deadline",
            Self::HeadersTooLarge { .. } => "headers_too_large",
            Self::BodyTooLarge { .. } => "body_too_large",
            Self::BodyIncomplete => "body_incomplete",
            Self::BodyNotText => "body_not_text",
            Self::NotServing => "not_serving",
            Self::NoRoom => "no_room",
            Self::StopCut => "stop_cut",
        }
    }

    /// Returns the HTTP status of the reply.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::UnknownPath | Self::UnknownGroup { .. } => StatusCode::NOT_FOUND,
            Self::BadMethod => StatusCode::METHOD_NOT_ALLOWED,
            Self::HeadersTooLarge { .. } => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::BodyTooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NotServing | Self::NoRoom => StatusCode::SERVICE_UNAVAILABLE,
            Self::StopCut => StatusCode::INTERNAL_SERVER_ERROR,
            _ => StatusCode::BAD_REQUEST,
        }
    }

    /// Builds the body of the reply.
    pub fn to_body(&self) -> ErrorBody {
        let retry_after_ms = match self {
            Self::NotServing => RETRY_ELSEWHERE_MS,
            Self::NoRoom => RETRY_NO_ROOM_MS,
            _ => 0,
        };
        ErrorBody {
            code: self.code().into(),
            message: self.to_string(),
            field: self.field().into(),
            outcome: self.outcome().into(),
            retry_after_ms,
        }
    }

    fn outcome(&self) -> &'static str {
        match self {
            Self::StopCut => "unknown",
            _ => "not_run",
        }
    }

    fn field(&self) -> &'static str {
        match self {
            Self::MissingHeader { header }
            | Self::DuplicateHeader { header }
            | Self::BadHeader { header, .. } => header,
            Self::BadDeadline { .. } => "x-deadline-ms",
            Self::UnknownPath | Self::BadPath | Self::UnknownGroup { .. } => "path",
            Self::BodyTooLarge { .. } | Self::BodyIncomplete | Self::BodyNotText | Self::NoRoom => {
                "body"
            }
            Self::BadMethod | Self::HeadersTooLarge { .. } | Self::NotServing | Self::StopCut => "",
        }
    }
}

/// Delay after which the caller may try another daemon, in milliseconds.
const RETRY_ELSEWHERE_MS: u64 = 100;
/// Delay after which the caller may repeat a request for which there was no room, in milliseconds.
const RETRY_NO_ROOM_MS: u64 = 1_000;
