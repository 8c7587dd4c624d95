//! Reads and checks the headers of callers' requests.

use std::{
    str::FromStr,
    time::Duration, //
};

use http::HeaderMap;
use schema::{
    CoverageShare,
    GroupPolicy,
    IdempotencyKey,
    RequestId,
    UserName, //
};

use crate::{
    caller_error::CallerError,
    trace_context::TraceContext, //
};

const REQUEST_HEADER: &str = "x-request-id";
const USER_HEADER: &str = "x-end-user";
const DEADLINE_HEADER: &str = "x-deadline-ms";
const KEY_HEADER: &str = "idempotency-key";
const COVERAGE_HEADER: &str = "x-min-coverage";
const TRACE_HEADER: &str = "traceparent";

const EXPECTED_NAME: &str = "1 to 128 printable ASCII characters without spaces";

/// The checked headers of a caller's request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallerHeaders {
    /// Id of the request, chosen by the caller.
    pub request: RequestId,
    /// End user who is charged for the request.
    pub user: UserName,
    /// Longest time until the answer.
    pub deadline: Duration,
    /// Coverage that the answer must reach to be of use.
    pub min_coverage: Option<CoverageShare>,
    /// Idempotency key of a request that must not run more than once.
    pub once_key: Option<IdempotencyKey>,
    /// The caller's trace context.
    pub trace: Option<TraceContext>,
}

impl CallerHeaders {
    /// Reads and checks the headers of a request to a group with `policy`.
    ///
    /// # Errors
    ///
    /// [`CallerError`] for a header that is missing, repeated or has a bad value.
    pub fn read(headers: &HeaderMap, policy: &GroupPolicy) -> Result<Self, CallerError> {
        Ok(Self {
            request: required_header(headers, REQUEST_HEADER)?,
            user: required_header(headers, USER_HEADER)?,
            deadline: deadline(headers, policy)?,
            min_coverage: min_coverage(headers)?,
            once_key: parse_header(headers, KEY_HEADER, EXPECTED_NAME)?,
            trace: parse_header(headers, TRACE_HEADER, "a W3C trace context")?,
        })
    }
}

fn required_header<T: FromStr>(
    headers: &HeaderMap,
    header: &'static str,
) -> Result<T, CallerError> {
    parse_header(headers, header, EXPECTED_NAME)?.ok_or(CallerError::MissingHeader { header })
}

fn parse_header<T: FromStr>(
    headers: &HeaderMap,
    header: &'static str,
    expected: &'static str,
) -> Result<Option<T>, CallerError> {
    let Some(text) = header_text(headers, header, expected)? else {
        return Ok(None);
    };
    let value = text.parse();
    value
        .map(Some)
        .map_err(|_| CallerError::BadHeader { header, expected })
}

fn header_text<'a>(
    headers: &'a HeaderMap,
    header: &'static str,
    expected: &'static str,
) -> Result<Option<&'a str>, CallerError> {
    let mut values = headers.get_all(header).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(CallerError::DuplicateHeader { header });
    }
    let text = value.to_str();
    text.map(Some)
        .map_err(|_| CallerError::BadHeader { header, expected })
}

fn deadline(headers: &HeaderMap, policy: &GroupPolicy) -> Result<Duration, CallerError> {
    let max_ms = u64::try_from(policy.deadline_max.as_millis()).unwrap_or(u64::MAX);
    let Some(text) = header_text(headers, DEADLINE_HEADER, "milliseconds")? else {
        return Ok(policy.deadline);
    };
    match parse_digits(text) {
        Some(ms) if ms >= 1 && ms <= max_ms => Ok(Duration::from_millis(ms)),
        _ => Err(CallerError::BadDeadline { max_ms }),
    }
}

fn min_coverage(headers: &HeaderMap) -> Result<Option<CoverageShare>, CallerError> {
    let expected = "0 to 100 per cent";
    let header = COVERAGE_HEADER;
    let Some(text) = header_text(headers, header, expected)? else {
        return Ok(None);
    };
    match parse_digits(text) {
        Some(pct) if pct <= 100 => Ok(Some(CoverageShare::from_pct(pct as u32))),
        _ => Err(CallerError::BadHeader { header, expected }),
    }
}

/// Parses a number that consists of decimal digits only; `str::parse` would also accept a plus
/// sign.
fn parse_digits(text: &str) -> Option<u64> {
    let digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    digits.then(|| text.parse().ok()).flatten()
}
