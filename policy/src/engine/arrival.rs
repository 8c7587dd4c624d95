//! Arrival of requests: checks, admission and refusals.

use schema::{
    BundleVersion,
    GroupName,
    QueryId,
    TimePoint, //
};

use super::{
    query_run::QueryRun,
    run_answer::retry_after,
    EngineAction,
    QueryAnswer,
    QueryCall,
    QueryEngine,
    QueryReason, //
};
use crate::limits::{
    AdmissionDecision,
    AdmissionRequest,
    QuarantineStatus, //
};

impl QueryEngine {
    /// Handles a new request: starts it, queues it for admission or refuses it.
    pub(super) fn on_arrival(
        &mut self,
        now: TimePoint,
        query: QueryId,
        call: QueryCall,
        actions: &mut Vec<EngineAction>,
    ) {
        let name = call.group.clone();
        let run = match self.validate(now, query, call) {
            Ok(run) => run,
            Err(answer) => {
                self.refuse(query, &name, *answer, actions);
                return;
            }
        };
        let request = AdmissionRequest {
            query,
            user: run.call.user.clone(),
            group: run.call.group.clone(),
            deadline: run.answer_by,
            expected_time: self.tracker.groups[run.group_index].expected_time(),
        };
        let bundle = run.spec.version;
        let decision = self.admission.admit(now, request);
        let admission_overloaded = self.admission.is_overloaded(now, &name);
        self.tracker.groups[run.group_index].set_admission_overloaded(admission_overloaded);
        match decision {
            AdmissionDecision::Run => {
                self.runs.insert(query, run);
                self.start(now, query, actions);
            }
            AdmissionDecision::Wait => {
                self.runs.insert(query, run);
                self.rearm(now, query);
            }
            AdmissionDecision::Refuse {
                reason,
                retry_after,
            } => {
                let answer = QueryAnswer::not_run(reason, Some(retry_after), bundle);
                self.refuse(query, &name, answer, actions);
            }
        }
    }

    fn refuse(
        &mut self,
        query: QueryId,
        name: &GroupName,
        answer: QueryAnswer,
        actions: &mut Vec<EngineAction>,
    ) {
        let mut groups = self.tracker.groups.iter_mut();
        if let Some(state) = groups.find(|state| state.name == *name) {
            state.counts.count_answer(answer.outcome);
        }
        actions.push(EngineAction::Answer { query, answer });
    }

    /// Returns the run of a valid request, or the answer that refuses it.
    fn validate(
        &mut self,
        now: TimePoint,
        query: QueryId,
        call: QueryCall,
    ) -> Result<QueryRun, Box<QueryAnswer>> {
        let Some(spec) = self.spec.clone() else {
            return Err(refusal(QueryReason::NotServing, BundleVersion(0)));
        };
        let bundle = spec.version;
        let named = |name: &GroupName| *name == call.group;
        let spec_index = spec.groups.iter().position(|group| named(&group.name));
        let group_index = self
            .tracker
            .groups
            .iter()
            .position(|state| named(&state.name));
        let (Some(spec_index), Some(group_index)) = (spec_index, group_index) else {
            return Err(refusal(QueryReason::UnknownGroup, bundle));
        };
        let group = &spec.groups[spec_index];
        self.tracker.groups[group_index].counts.arrived += 1;
        let refuse = |reason| Err(refusal(reason, bundle));
        if now >= call.deadline {
            return refuse(QueryReason::Deadline);
        }
        if group.once && call.once_key.is_none() {
            return refuse(QueryReason::KeyMissing);
        }
        if self.runs.len() >= self.max_requests {
            return refuse(QueryReason::Overload);
        }
        let deadline = call.deadline.min(now + group.policy.deadline_max);
        let mut run = QueryRun::new(query, call, spec, spec_index, group_index, now);
        run.answer_by = deadline;
        let status = self.quarantine.check(now, run.fingerprint);
        run.designated_only = status != QuarantineStatus::Proven;
        match status {
            QuarantineStatus::Proven => {}
            QuarantineStatus::Unproven => {
                run.serial = true;
                run.unproven = true;
            }
            QuarantineStatus::Suspect => {
                run.suspect = true;
                run.serial = true;
            }
            QuarantineStatus::Deferred { until } if until < run.answer_by => {
                run.suspect = true;
                run.serial = true;
                run.hold_until = until;
            }
            QuarantineStatus::Deferred { until } => {
                let reason = QueryReason::Quarantined;
                let answer = QueryAnswer::not_run(reason, Some(until.since(now)), bundle);
                return Err(Box::new(answer));
            }
            QuarantineStatus::Refused { retry_after } => {
                let reason = QueryReason::Quarantined;
                let answer = QueryAnswer::not_run(reason, Some(retry_after), bundle);
                return Err(Box::new(answer));
            }
        }
        Ok(run)
    }
}

fn refusal(reason: QueryReason, bundle: BundleVersion) -> Box<QueryAnswer> {
    Box::new(QueryAnswer::not_run(reason, retry_after(reason), bundle))
}
