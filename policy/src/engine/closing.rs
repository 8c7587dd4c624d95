//! Ends of requests.

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
    /// Ends a request that has all it can get, or sets its next timer.
    pub(super) fn settle(
        &mut self,
        now: TimePoint,
        query: QueryId,
        actions: &mut Vec<EngineAction>,
    ) {
        let Some(run) = self.runs.get_mut(&query) else {
            return;
        };
        let usual = self.desk.groups[run.slot].hedge_delay();
        let closing = match run.stage {
            RunStage::Queued => QueryReason::Deadline,
            RunStage::Claiming => QueryReason::StoreDown,
            RunStage::Running if run.condemned => QueryReason::ConnectionLost,
            RunStage::Running => QueryReason::Straggler,
        };
        let settled = match run.stage {
            RunStage::Running => run.is_settled(now, usual),
            RunStage::Queued | RunStage::Claiming => now >= run.close_at,
        };
        if settled {
            self.finish(now, query, closing, actions);
            return;
        }
        self.rearm(now, query);
    }

    /// Sets the timer of a request to its next due time.
    pub(super) fn rearm(&mut self, now: TimePoint, query: QueryId) {
        let Some(run) = self.runs.get_mut(&query) else {
            return;
        };
        let mut at = run.close_at;
        if run.stage == RunStage::Running {
            at = at.min(run.next_due);
            at = at.min(run.goal_after(now));
        }
        if at == run.wake_at {
            return;
        }
        self.timers.remove(&(run.wake_at, query));
        run.wake_at = at;
        self.timers.insert((at, query));
    }

    /// Answers a request as things stand.
    pub(super) fn finish(
        &mut self,
        now: TimePoint,
        query: QueryId,
        closing: QueryReason,
        actions: &mut Vec<EngineAction>,
    ) {
        let Some(run) = self.runs.get_mut(&query) else {
            return;
        };
        self.desk.clear(now, run, actions);
        let answer = run.answer(closing);
        self.finish_with(now, query, answer, actions);
    }

    /// Gives a request its answer.
    pub(super) fn finish_with(
        &mut self,
        now: TimePoint,
        query: QueryId,
        answer: QueryAnswer,
        actions: &mut Vec<EngineAction>,
    ) {
        if let (Some(run), false) = (self.runs.get(&query), answer.heard.is_empty()) {
            self.gate.finished(now, query, run.admitted);
        }
        let Some(run) = self.remove(now, query) else {
            return;
        };
        let whole = answer.missing.is_empty() || !self.book.has_deaths(now, run.print);
        if run.breaks == 0 && !answer.heard.is_empty() && whole {
            self.book.record_success(now, run.print);
        }
        let group = &mut self.desk.groups[run.slot];
        group.counts.count_answer(answer.outcome);
        if matches!(
            answer.outcome,
            AnswerOutcome::Complete | AnswerOutcome::Partial
        ) {
            group.record_query(now.since(run.admitted));
        }
        if run.claimed && answer.outcome == AnswerOutcome::NotRun {
            actions.push(EngineAction::ReleaseClaim { query });
        } else if run.claimed {
            let answer = answer.clone();
            actions.push(EngineAction::RecordClaim { query, answer });
        }
        actions.push(EngineAction::Answer { query, answer });
    }

    /// Forgets a request and frees its place.
    pub(super) fn remove(&mut self, now: TimePoint, query: QueryId) -> Option<QueryRun> {
        let run = self.runs.remove(&query)?;
        self.timers.remove(&(run.wake_at, query));
        self.gate.dropped(now, query, run.admitted);
        Some(run)
    }
}
