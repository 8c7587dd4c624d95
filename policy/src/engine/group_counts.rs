//! Counters of a service group.

use super::AnswerOutcome;

/// Counters of a service group since the start of the process.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct GroupCounts {
    /// Requests that arrived.
    pub arrived: u64,
    /// Answers that cover the whole key space.
    pub complete: u64,
    /// Answers that cover part of the key space.
    pub partial: u64,
    /// Answers to requests that no upstream ran.
    pub not_run: u64,
    /// Answers to requests that an upstream ran and failed.
    pub ran_failed: u64,
    /// Answers to requests that may have run, without any result.
    pub unknown: u64,
    /// Requests dropped because the caller disconnected.
    pub abandoned: u64,
    /// First attempts.
    pub first_attempts: u64,
    /// Hedges.
    pub hedges: u64,
    /// Hedges that replied before the attempt they duplicate.
    pub hedge_wins: u64,
    /// Retries.
    pub retries: u64,
    /// Hedges and retries refused for lack of a token.
    pub budget_refusals: u64,
    /// Answers restarted on another snapshot.
    pub restarts: u64,
    /// Failed attempts.
    pub failures: u64,
}

impl GroupCounts {
    pub(super) fn count_answer(&mut self, outcome: AnswerOutcome) {
        let count = match outcome {
            AnswerOutcome::Complete => &mut self.complete,
            AnswerOutcome::Partial => &mut self.partial,
            AnswerOutcome::NotRun => &mut self.not_run,
            AnswerOutcome::RanFailed => &mut self.ran_failed,
            AnswerOutcome::Unknown => &mut self.unknown,
        };
        *count += 1;
    }
}
