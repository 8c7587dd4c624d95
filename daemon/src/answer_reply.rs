//! Answers as callers get them.

use http::StatusCode;
use policy::engine::{
    AnswerOutcome,
    QueryAnswer,
    QueryReason, //
};
use schema::{
    caller::{
        AnswerBody,
        ChargeEntry,
        CoverageEntry,
        ItemEntry,
        MissingEntry,
        SpanEntry, //
    },
    GroupName,
    RequestId,
    UserName, //
};

/// The HTTP status of an answer.
pub fn status_of(answer: &QueryAnswer) -> StatusCode {
    match answer.outcome {
        AnswerOutcome::Complete | AnswerOutcome::Partial => StatusCode::OK,
        AnswerOutcome::NotRun => refusal_status(answer.reason),
        AnswerOutcome::RanFailed => StatusCode::BAD_GATEWAY,
        // Clients and balancers send 502 to 504 again by themselves.
        AnswerOutcome::Unknown if answer.reason == Some(QueryReason::KeyTaken) => {
            StatusCode::CONFLICT
        }
        AnswerOutcome::Unknown => StatusCode::INTERNAL_SERVER_ERROR,
    }
}

fn refusal_status(reason: Option<QueryReason>) -> StatusCode {
    match reason {
        Some(QueryReason::UnknownGroup) => StatusCode::NOT_FOUND,
        Some(QueryReason::Deadline) => StatusCode::GATEWAY_TIMEOUT,
        Some(QueryReason::UserOverShare) => StatusCode::TOO_MANY_REQUESTS,
        Some(QueryReason::Quarantined) => StatusCode::UNPROCESSABLE_ENTITY,
        Some(QueryReason::KeyMissing) => StatusCode::BAD_REQUEST,
        Some(QueryReason::KeyTaken) => StatusCode::CONFLICT,
        Some(QueryReason::KeyTooOld) => StatusCode::GONE,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Whom an answer is for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AnswerAddress {
    /// The caller's name for the request.
    pub request: RequestId,
    /// Service group asked.
    pub group: GroupName,
    /// Who pays.
    pub user: UserName,
}

impl AnswerAddress {
    /// The border form of `answer`, charged as `charge_state` says.
    pub fn body_of(&self, answer: QueryAnswer, charge_state: &str) -> AnswerBody {
        let retry_after = answer.retry_after.unwrap_or_default();
        AnswerBody {
            request: self.request.to_string(),
            group: self.group.to_string(),
            outcome: answer.outcome.to_string(),
            reason: answer.reason.map_or("", QueryReason::code).into(),
            retry_after_ms: u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX),
            snapshot: answer.snapshot.0,
            coverage: Some(coverage_of(&answer)),
            items: answer.items.into_iter().map(item_of).collect(),
            charge: Some(ChargeEntry {
                user: self.user.to_string(),
                units: answer.charge.0,
                state: charge_state.into(),
            }),
            bundle_version: answer.bundle.0,
        }
    }
}

fn item_of(item: policy::engine::ResultItem) -> ItemEntry {
    ItemEntry {
        key: item.key,
        id: item.id.into(),
        body: item.body,
    }
}

fn coverage_of(answer: &QueryAnswer) -> CoverageEntry {
    let heard = answer.covered.spans().iter().map(|span| SpanEntry {
        start: span.start(),
        end: span.end(),
    });
    let missing = answer.missing.iter().map(|(span, reason)| MissingEntry {
        start: span.start(),
        end: span.end(),
        reason: reason.code().into(),
    });
    CoverageEntry {
        heard: heard.collect(),
        missing: missing.collect(),
        share_ppm: answer.covered.share().0,
    }
}
