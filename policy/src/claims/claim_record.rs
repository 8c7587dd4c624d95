//! Conversion of answers to and from the form in which they are stored.

use schema::{
    platform::{
        RecordedAnswer,
        RecordedGap,
        RecordedItem, //
    },
    BundleVersion,
    ChargeUnits,
    KeySpan,
    SnapshotId,
    SpanSet, //
};

use crate::engine::{
    AnswerOutcome,
    QueryAnswer,
    QueryReason,
    ResultItem, //
};

const OUTCOMES: [AnswerOutcome; 5] = [
    AnswerOutcome::Complete,
    AnswerOutcome::Partial,
    AnswerOutcome::NotRun,
    AnswerOutcome::RanFailed,
    AnswerOutcome::Unknown,
];

const REASONS: [QueryReason; 18] = [
    QueryReason::UnknownGroup,
    QueryReason::Deadline,
    QueryReason::Overload,
    QueryReason::UserOverShare,
    QueryReason::Unreachable,
    QueryReason::SnapshotGone,
    QueryReason::RangeMoved,
    QueryReason::Quarantined,
    QueryReason::Shed,
    QueryReason::Straggler,
    QueryReason::UpstreamFailed,
    QueryReason::ConnectionLost,
    QueryReason::KeyMissing,
    QueryReason::KeyTaken,
    QueryReason::KeyTooOld,
    QueryReason::StoreDown,
    QueryReason::NotServing,
    QueryReason::ChargesFull,
];

/// Converts an answer to its stored form.
pub fn record_answer(answer: &QueryAnswer) -> RecordedAnswer {
    let mut missing = Vec::new();
    for (span, reason) in &answer.missing {
        missing.push(RecordedGap {
            start: span.start(),
            end: span.end(),
            reason: reason.code().into(),
        });
    }
    let mut items = Vec::new();
    for item in &answer.items {
        items.push(RecordedItem {
            key: item.key,
            id: item.id.to_string(),
            body: item.body.clone(),
        });
    }
    RecordedAnswer {
        outcome: answer.outcome.to_string(),
        reason: answer.reason.map_or("", QueryReason::code).into(),
        snapshot: answer.snapshot.0,
        heard: answer.covered.to_pairs(),
        missing,
        items,
        charge: answer.charge.0,
        bundle_version: answer.bundle.0,
        sent: answer.sent,
    }
}

/// Converts the stored form to an answer; `None` if it can't be read.
pub fn restore_answer(record: &RecordedAnswer) -> Option<QueryAnswer> {
    let mut outcomes = OUTCOMES.into_iter();
    let outcome = outcomes.find(|outcome| outcome.to_string() == record.outcome)?;
    let mut missing = Vec::new();
    for gap in &record.missing {
        let span = KeySpan::new(gap.start, gap.end).ok()?;
        missing.push((span, reason_from_code(&gap.reason)?));
    }
    let mut items = Vec::new();
    for item in &record.items {
        items.push(ResultItem {
            key: item.key,
            id: item.id.as_str().into(),
            body: item.body.clone(),
        });
    }
    Some(QueryAnswer {
        outcome,
        reason: reason_from_code(&record.reason),
        retry_after: None,
        snapshot: SnapshotId(record.snapshot),
        covered: SpanSet::from_pairs(&record.heard).ok()?,
        missing,
        items,
        charge: ChargeUnits(record.charge),
        bundle: BundleVersion(record.bundle_version),
        sent: record.sent,
        extra: 0,
    })
}

fn reason_from_code(code: &str) -> Option<QueryReason> {
    REASONS.into_iter().find(|reason| reason.code() == code)
}
