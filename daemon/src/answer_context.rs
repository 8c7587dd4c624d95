//! Converts answers of the query engine into HTTP replies.

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

/// Returns the HTTP status that reports the outcome of `answer`.
pub fn answer_status(answer: &QueryAnswer) -> StatusCode {
    match answer.outcome {
        AnswerOutcome::Complete | AnswerOutcome::Partial => StatusCode::OK,
        AnswerOutcome::NotRun => refusal_status(answer.reason),
        AnswerOutcome::RanFailed => StatusCode::BAD_GATEWAY,
        // The request may have run. The status is none of 502 to 504, as clients and load balancers
        // resend requests on those by themselves.
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

/// Names of the request that an answer belongs to, as its reply repeats them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AnswerContext {
    /// Id of the request, chosen by the caller.
    pub request: RequestId,
    /// Service group that was queried.
    pub group: GroupName,
    /// End user who is charged for the answer.
    pub user: UserName,
}

impl AnswerContext {
    /// Builds the reply body for `answer`; `charge_state` is one of the states of [`ChargeEntry`].
    pub fn build_body(&self, answer: QueryAnswer, charge_state: &str) -> AnswerBody {
        let retry_after = answer.retry_after.unwrap_or_default();
        AnswerBody {
            request: self.request.to_string(),
            group: self.group.to_string(),
            outcome: answer.outcome.to_string(),
            reason: answer.reason.map_or("", QueryReason::code).into(),
            retry_after_ms: u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX),
            snapshot: answer.snapshot.0,
            coverage: Some(coverage_entry(&answer)),
            items: answer.items.into_iter().map(item_entry).collect(),
            charge: Some(ChargeEntry {
                user: self.user.to_string(),
                units: answer.charge.0,
                state: charge_state.into(),
            }),
            bundle_version: answer.bundle.0,
        }
    }
}

fn item_entry(item: policy::engine::ResultItem) -> ItemEntry {
    ItemEntry {
        key: item.key,
        id: item.id.into(),
        body: item.body,
    }
}

fn coverage_entry(answer: &QueryAnswer) -> CoverageEntry {
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
