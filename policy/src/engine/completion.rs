//! Completion of requests.

use schema::{
    QueryId,
    TimePoint, //
};

use super::{
    query_run::{
        QueryRun,
        RunStage, //
    },
    AnswerOutcome,
    EngineAction,
    QueryAnswer,
    QueryEngine,
    QueryReason, //
};

impl QueryEngine {
    /// Answers a request that is finished, or sets its next timer.
    pub(super) fn finish_or_rearm(
        &mut self,
        now: TimePoint,
        query: QueryId,
        actions: &mut Vec<EngineAction>,
    ) {
        let Some(run) = self.runs.get_mut(&query) else {
            return;
        };
        let hedge_delay = self.tracker.groups[run.group_index].hedge_delay();
        let pending_reason = match run.stage {
            RunStage::Queued => QueryReason::Deadline,
            RunStage::Claiming => QueryReason::StoreDown,
            RunStage::Running if run.aborted => QueryReason::ConnectionLost,
            RunStage::Running => QueryReason::Straggler,
        };
        let finished = match run.stage {
            RunStage::Running => run.is_finished(now, hedge_delay),
            RunStage::Queued | RunStage::Claiming => now >= run.answer_by,
        };
        if finished {
            self.finish(now, query, pending_reason, actions);
            return;
        }
        self.rearm(now, query);
    }

    /// Sets the timer of a request to its next due time.
    pub(super) fn rearm(&mut self, now: TimePoint, query: QueryId) {
        let Some(run) = self.runs.get_mut(&query) else {
            return;
        };
        let mut at = run.answer_by;
        if run.stage == RunStage::Running {
            at = at.min(run.next_due);
            at = at.min(run.pending_goal(now));
        }
        if at == run.timer_at {
            return;
        }
        self.timers.remove(&(run.timer_at, query));
        run.timer_at = at;
        self.timers.insert((at, query));
    }

    /// Answers a request with the results so far. `pending_reason` is the reason given for keys
    /// whose attempts are still in flight.
    pub(super) fn finish(
        &mut self,
        now: TimePoint,
        query: QueryId,
        pending_reason: QueryReason,
        actions: &mut Vec<EngineAction>,
    ) {
        let Some(run) = self.runs.get_mut(&query) else {
            return;
        };
        self.tracker.cancel_all(now, run, actions);
        let answer = run.answer(pending_reason);
        self.finish_with(now, query, answer, actions);
    }

    /// Answers a request and records its outcome.
    pub(super) fn finish_with(
        &mut self,
        now: TimePoint,
        query: QueryId,
        answer: QueryAnswer,
        actions: &mut Vec<EngineAction>,
    ) {
        if let (Some(run), false) = (self.runs.get(&query), answer.covered.is_empty()) {
            self.admission.finished(now, query, run.admitted_at);
        }
        let Some(run) = self.remove_run(now, query) else {
            return;
        };
        let complete_or_without_deaths =
            answer.missing.is_empty() || !self.quarantine.has_deaths(now, run.fingerprint);
        if run.broken_attempts == 0 && !answer.covered.is_empty() && complete_or_without_deaths {
            self.quarantine.record_success(now, run.fingerprint);
        }
        let group = &mut self.tracker.groups[run.group_index];
        group.counts.count_answer(answer.outcome);
        if matches!(
            answer.outcome,
            AnswerOutcome::Complete | AnswerOutcome::Partial
        ) {
            group.record_query_time(now.since(run.admitted_at));
        }
        if run.claimed && answer.outcome == AnswerOutcome::NotRun {
            actions.push(EngineAction::ReleaseClaim { query });
        } else if run.claimed {
            let answer = answer.clone();
            actions.push(EngineAction::RecordClaim { query, answer });
        }
        actions.push(EngineAction::Answer { query, answer });
    }

    /// Removes a request from the engine and from the admission controller.
    pub(super) fn remove_run(&mut self, now: TimePoint, query: QueryId) -> Option<QueryRun> {
        let run = self.runs.remove(&query)?;
        self.timers.remove(&(run.timer_at, query));
        self.admission.dropped(now, query, run.admitted_at);
        Some(run)
    }
}
