//! Building the answer of a request.

use std::time::Duration;

use schema::{
    ChargeUnits,
    CoverageShare,
    KeySpan,
    SnapshotId, //
};

use super::{
    query_run::QueryRun,
    span_part::PartState,
    AnswerOutcome,
    QueryAnswer,
    QueryReason, //
};
use crate::limits::QUARANTINE_PERIOD;

/// Delay for a caller's retry after conditions that usually end soon.
const SHORT_RETRY: Duration = Duration::from_millis(100);
/// Delay for a caller's retry after conditions that last until a replica or the store recovers.
const LONG_RETRY: Duration = Duration::from_secs(1);

impl QueryRun {
    /// Builds the answer from the results so far. `pending_reason` is the reason given for keys
    /// whose attempts are still in flight.
    pub(super) fn answer(&mut self, pending_reason: QueryReason) -> QueryAnswer {
        let missing = self.missing(pending_reason);
        let outcome = self.outcome(missing.is_empty());
        let reason = self.main_reason(outcome, &missing, pending_reason);
        let mut items = std::mem::take(&mut self.items);
        items.sort_unstable();
        QueryAnswer {
            outcome,
            reason,
            retry_after: reason.and_then(retry_after),
            snapshot: self.answer_snapshot(),
            covered: std::mem::take(&mut self.covered),
            charge: self.charge(outcome, &missing),
            missing,
            items,
            bundle: self.spec.version,
            sent: self.sent,
            extra: self.extra,
        }
    }

    fn outcome(&self, complete: bool) -> AnswerOutcome {
        if complete {
            return AnswerOutcome::Complete;
        }
        if !self.covered.is_empty() {
            return AnswerOutcome::Partial;
        }
        if self.may_have_run {
            return AnswerOutcome::Unknown;
        }
        if self.ran_failed {
            return AnswerOutcome::RanFailed;
        }
        AnswerOutcome::NotRun
    }

    fn answer_snapshot(&self) -> SnapshotId {
        if self.covered.is_empty() {
            return SnapshotId(0);
        }
        self.snapshot
    }

    fn missing(&self, pending_reason: QueryReason) -> Vec<(KeySpan, QueryReason)> {
        if self.parts.is_empty() {
            return vec![(KeySpan::ALL, pending_reason)];
        }
        let mut missing: Vec<(KeySpan, QueryReason)> = Vec::new();
        for span in self.covered.complement().spans() {
            for part in &self.parts {
                let Some(shared) = part.span.intersect(*span) else {
                    continue;
                };
                if part.state == PartState::Merged {
                    continue;
                }
                missing.push((shared, part.missing_reason(pending_reason)));
            }
        }
        missing.sort_unstable();
        missing
    }

    fn main_reason(
        &self,
        outcome: AnswerOutcome,
        missing: &[(KeySpan, QueryReason)],
        pending_reason: QueryReason,
    ) -> Option<QueryReason> {
        if outcome == AnswerOutcome::Complete {
            return None;
        }
        let largest = missing.iter().max_by_key(|(span, _)| span.size());
        Some(largest.map_or(pending_reason, |(_, reason)| *reason))
    }

    fn charge(&self, outcome: AnswerOutcome, missing: &[(KeySpan, QueryReason)]) -> ChargeUnits {
        let policy = &self.group().policy;
        if outcome == AnswerOutcome::Complete {
            return policy.charge;
        }
        if outcome != AnswerOutcome::Partial || !policy.charge_partial {
            return ChargeUnits(0);
        }
        let lost: u32 = missing.iter().map(|(span, _)| span.size()).sum();
        let share = CoverageShare::FULL.0 - share_of(lost);
        if share < self.min_coverage().0 && !self.group().once {
            return ChargeUnits(0);
        }
        let ppm = u64::from(CoverageShare::FULL.0);
        ChargeUnits(policy.charge.0 * u64::from(share) / ppm)
    }
}

fn share_of(keys: u32) -> u32 {
    let ppm = u64::from(keys) * u64::from(CoverageShare::FULL.0);
    let share = ppm.div_ceil(u64::from(KeySpan::ALL.size()));
    u32::try_from(share).unwrap_or(CoverageShare::FULL.0)
}

/// Delay before the caller may retry after `reason`; `None` where a retry can't succeed.
pub(super) fn retry_after(reason: QueryReason) -> Option<Duration> {
    match reason {
        QueryReason::Deadline
        | QueryReason::Straggler
        | QueryReason::RangeMoved
        | QueryReason::SnapshotGone
        | QueryReason::Shed
        | QueryReason::ConnectionLost => Some(SHORT_RETRY),
        QueryReason::Overload
        | QueryReason::UserOverShare
        | QueryReason::Unreachable
        | QueryReason::UpstreamFailed
        | QueryReason::KeyTaken
        | QueryReason::StoreDown
        | QueryReason::NotServing
        | QueryReason::ChargesFull => Some(LONG_RETRY),
        QueryReason::Quarantined => Some(QUARANTINE_PERIOD),
        QueryReason::UnknownGroup | QueryReason::KeyMissing | QueryReason::KeyTooOld => None,
    }
}
