//! Reading of callers' headers.

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

const NAME_EXPECTED: &str = "1 to 128 printable ASCII characters without spaces";

/// The headers of a caller's request, checked.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallerHeaders {
    /// The caller's name for the request.
    pub request: RequestId,
    /// Who pays.
    pub user: UserName,
    /// Time left for the answer.
    pub deadline: Duration,
    /// Coverage below which the answer is of no use.
    pub min_coverage: Option<CoverageShare>,
    /// Key of a request that may run only once.
    pub once_key: Option<IdempotencyKey>,
    /// The caller's span.
    pub trace: Option<TraceContext>,
}

impl CallerHeaders {
    /// Reads and checks the headers of a request to a group with `policy`.
    ///
    /// # Errors
    ///
    /// [`CallerError`] for a header that is missing, double or not allowed as it is.
    pub fn read(headers: &HeaderMap, policy: &GroupPolicy) -> Result<Self, CallerError> {
        Ok(Self {
            request: required(headers, REQUEST_HEADER)?,
            user: required(headers, USER_HEADER)?,
            deadline: deadline(headers, policy)?,
            min_coverage: min_coverage(headers)?,
            once_key: parsed(headers, KEY_HEADER, NAME_EXPECTED)?,
            trace: parsed(headers, TRACE_HEADER, "a W3C trace context")?,
        })
    }
}

fn required<T: FromStr>(headers: &HeaderMap, header: &'static str) -> Result<T, CallerError> {
    parsed(headers, header, NAME_EXPECTED)?.ok_or(CallerError::MissingHeader { header })
}

fn parsed<T: FromStr>(
    headers: &HeaderMap,
    header: &'static str,
    expected: &'static str,
) -> Result<Option<T>, CallerError> {
    let Some(text) = text_of(headers, header, expected)? else {
        return Ok(None);
    };
    let value = text.parse();
    value
        .map(Some)
        .map_err(|_| CallerError::BadHeader { header, expected })
}

fn text_of<'a>(
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
    let Some(text) = text_of(headers, DEADLINE_HEADER, "milliseconds")? else {
        return Ok(policy.deadline);
    };
    match number_of(text) {
        Some(ms) if ms >= 1 && ms <= max_ms => Ok(Duration::from_millis(ms)),
        _ => Err(CallerError::BadDeadline { max_ms }),
    }
}

fn min_coverage(headers: &HeaderMap) -> Result<Option<CoverageShare>, CallerError> {
    let expected = "0 to 100 per cent";
    let header = COVERAGE_HEADER;
    let Some(text) = text_of(headers, header, expected)? else {
        return Ok(None);
    };
    match number_of(text) {
        Some(pct) if pct <= 100 => Ok(Some(CoverageShare::from_pct(pct as u32))),
        _ => Err(CallerError::BadHeader { header, expected }),
    }
}

/// A number in decimal digits only.
fn number_of(text: &str) -> Option<u64> {
    let digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    digits.then(|| text.parse().ok()).flatten()
}
