//! Arrival of requests.

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
    /// Refuses a request, lets it wait, or starts it.
    pub(super) fn arrive(
        &mut self,
        now: TimePoint,
        query: QueryId,
        call: QueryCall,
        actions: &mut Vec<EngineAction>,
    ) {
        let name = call.group.clone();
        let run = match self.check(now, query, call) {
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
            deadline: run.close_at,
            expected_time: self.desk.groups[run.slot].expected(),
        };
        let bundle = run.spec.version;
        let decision = self.gate.admit(now, request);
        let refusing = self.gate.is_overloaded(now, &name);
        self.desk.groups[run.slot].set_refusing(refusing);
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
        let mut groups = self.desk.groups.iter_mut();
        if let Some(state) = groups.find(|state| state.name == *name) {
            state.counts.count_answer(answer.outcome);
        }
        actions.push(EngineAction::Answer { query, answer });
    }

    /// The run of a request that may be admitted, or the answer of one that may not.
    fn check(
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
        let place = spec.groups.iter().position(|group| named(&group.name));
        let slot = self.desk.groups.iter().position(|state| named(&state.name));
        let (Some(place), Some(slot)) = (place, slot) else {
            return Err(refusal(QueryReason::UnknownGroup, bundle));
        };
        let group = &spec.groups[place];
        self.desk.groups[slot].counts.arrived += 1;
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
        let mut run = QueryRun::new(query, call, spec, place, slot, now);
        run.close_at = deadline;
        let verdict = self.book.check(now, run.print);
        run.paired = verdict != QuarantineStatus::Proven;
        match verdict {
            QuarantineStatus::Proven => {}
            QuarantineStatus::Unproven => {
                run.probing = true;
                run.trial = true;
            }
            QuarantineStatus::Suspect => {
                run.suspect = true;
                run.probing = true;
            }
            QuarantineStatus::Deferred { until } if until < run.close_at => {
                run.suspect = true;
                run.probing = true;
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
