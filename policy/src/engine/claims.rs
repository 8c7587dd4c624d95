//! Claims of idempotency keys, and callers that disconnect.

use schema::{
    QueryId,
    TimePoint, //
};

use super::{
    dispatch,
    query_run::RunStage,
    ClaimVerdict,
    EngineAction,
    QueryEngine,
    QueryReason, //
};

impl QueryEngine {
    /// Starts an admitted request. One that may run only once claims its idempotency key first.
    pub(super) fn start(
        &mut self,
        now: TimePoint,
        query: QueryId,
        actions: &mut Vec<EngineAction>,
    ) {
        let Some(run) = self.runs.get_mut(&query) else {
            return;
        };
        run.admitted_at = now;
        if let (true, Some(key)) = (run.group().once, run.call.once_key.clone()) {
            run.stage = RunStage::Claiming;
            actions.push(EngineAction::AcquireClaim {
                query,
                group: run.call.group.clone(),
                user: run.call.user.clone(),
                key,
            });
            self.rearm(now, query);
            return;
        }
        run.stage = RunStage::Running;
        dispatch::begin(&mut self.tracker, now, run, actions);
        self.finish_or_rearm(now, query, actions);
    }

    /// Continues or ends a request whose claim the store has answered.
    pub(super) fn on_claim_resolved(
        &mut self,
        now: TimePoint,
        query: QueryId,
        verdict: ClaimVerdict,
        actions: &mut Vec<EngineAction>,
    ) {
        let run = self.runs.get_mut(&query);
        let Some(run) = run.filter(|run| run.stage == RunStage::Claiming) else {
            if matches!(verdict, ClaimVerdict::Granted) {
                actions.push(EngineAction::ReleaseClaim { query });
            }
            return;
        };
        match verdict {
            ClaimVerdict::Granted => {
                run.claimed = true;
                run.stage = RunStage::Running;
                dispatch::begin(&mut self.tracker, now, run, actions);
                self.finish_or_rearm(now, query, actions);
            }
            ClaimVerdict::Recorded(answer) => self.finish_with(now, query, *answer, actions),
            ClaimVerdict::Taken => {
                run.may_have_run = true;
                self.finish(now, query, QueryReason::KeyTaken, actions);
            }
            ClaimVerdict::StoreDown => self.finish(now, query, QueryReason::StoreDown, actions),
            ClaimVerdict::TooOld => {
                // An earlier request with this key may have run.
                run.may_have_run = true;
                self.finish(now, query, QueryReason::KeyTooOld, actions);
            }
        }
    }

    /// Drops a request whose caller has disconnected. One that may run only once continues if it is
    /// running, so that its outcome is recorded.
    pub(super) fn on_caller_gone(
        &mut self,
        now: TimePoint,
        query: QueryId,
        actions: &mut Vec<EngineAction>,
    ) {
        let Some(run) = self.runs.get(&query) else {
            return;
        };
        if run.group().once && run.stage == RunStage::Running {
            return;
        }
        let Some(mut run) = self.remove_run(now, query) else {
            return;
        };
        self.tracker.cancel_all(now, &mut run, actions);
        self.tracker.groups[run.group_index].counts.abandoned += 1;
    }
}
