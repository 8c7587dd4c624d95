//! Reports about attempts: replies, failures, and the replica crashes that failures indicate.

use schema::{
    AttemptId,
    QueryId,
    QueryPrint,
    TimePoint,
    VmName, //
};

use super::{
    dispatch,
    query_run::QueryRun,
    AttemptFailure,
    EngineAction,
    EngineNote,
    QueryEngine,
    QueryReason,
    ReplicaLoad,
    ReplicaReply, //
};
use crate::limits::QuarantineNotice;

impl QueryEngine {
    /// Handles the reply to an attempt.
    pub(super) fn on_reply(
        &mut self,
        now: TimePoint,
        attempt: AttemptId,
        reply: ReplicaReply,
        actions: &mut Vec<EngineAction>,
    ) {
        let Some(run) = self.run_for_attempt(attempt) else {
            return;
        };
        let (query, group_index) = (run.query, run.group_index);
        let record = self
            .tracker
            .finish_replied(now, attempt, group_index, &reply.load, actions);
        let (Some(record), Some(run)) = (record, self.runs.get_mut(&query)) else {
            return;
        };
        run.remove_attempt(record.part, attempt);
        let merged = dispatch::accept_reply(&mut self.tracker, now, run, &record, reply, actions);
        if merged {
            self.tracker.groups[group_index].counts.hedge_wins += u64::from(record.hedge);
        }
        if run.group().once {
            run.fail_unsent(QueryReason::RangeMoved);
        }
        dispatch::send_unsent(&mut self.tracker, now, run, actions);
        self.finish_or_rearm(now, query, actions);
    }

    /// Handles the failure of an attempt.
    pub(super) fn on_failure(
        &mut self,
        now: TimePoint,
        attempt: AttemptId,
        failure: AttemptFailure,
        load: Option<&ReplicaLoad>,
        actions: &mut Vec<EngineAction>,
    ) {
        let Some(run) = self.run_for_attempt(attempt) else {
            return;
        };
        let (query, group_index, fingerprint) = (run.query, run.group_index, run.fingerprint);
        let record = self
            .tracker
            .finish_failed(now, attempt, group_index, failure, load, actions);
        let Some(record) = record else {
            return;
        };
        self.detect_crash(now, &record.vm, fingerprint, failure, actions);
        let mut notices = Vec::new();
        let Some(run) = self.runs.get_mut(&query) else {
            return;
        };
        run.remove_attempt(record.part, attempt);
        run.record_failure(record.sent, failure);
        if run.group().once && (run.may_have_run || run.ran_failed) {
            run.fail_part(record.part, dispatch::reason_of(failure));
        }
        if failure == AttemptFailure::BrokeAfter {
            let is_attributable = run.unproven || run.suspect;
            dispatch::record_break(run, now, record.part, record.ordered_at);
            run.broken_replicas.push(record.vm.clone());
            if is_attributable {
                notices.extend(
                    self.quarantine
                        .record_trial_death(now, &record.vm, fingerprint),
                );
            } else if run.aborted {
                for vm in &run.broken_replicas {
                    notices.extend(self.quarantine.record_trial_death(now, vm, fingerprint));
                }
            }
            if self.quarantine.is_refused(now, fingerprint) {
                dispatch::abort(run, QueryReason::Quarantined);
            }
        }
        dispatch::handle_failure(&mut self.tracker, now, run, record.part, failure);
        dispatch::send_unsent(&mut self.tracker, now, run, actions);
        self.finish_or_rearm(now, query, actions);
        self.broadcast_notices(notices, actions);
        self.abort_refused(now, fingerprint, actions);
    }

    /// Ends the requests with this fingerprint if it is refused, before they reach another replica.
    pub(super) fn abort_refused(
        &mut self,
        now: TimePoint,
        fingerprint: QueryPrint,
        actions: &mut Vec<EngineAction>,
    ) {
        if !self.quarantine.is_refused(now, fingerprint) {
            return;
        }
        let mut queries: Vec<QueryId> = Vec::new();
        for run in self.runs.values_mut() {
            // A request that may run only once is not aborted while in flight, since it may have
            // run.
            if run.fingerprint != fingerprint || run.group().once && run.in_flight() > 0 {
                continue;
            }
            dispatch::abort(run, QueryReason::Quarantined);
            queries.push(run.query);
        }
        for query in queries {
            self.finish(now, query, QueryReason::Quarantined, actions);
        }
    }

    fn run_for_attempt(&self, attempt: AttemptId) -> Option<&QueryRun> {
        let record = self.tracker.records.get(&attempt)?;
        self.runs.get(&record.query)
    }

    fn detect_crash(
        &mut self,
        now: TimePoint,
        vm: &VmName,
        fingerprint: QueryPrint,
        failure: AttemptFailure,
        actions: &mut Vec<EngineAction>,
    ) {
        let fingerprints = match failure {
            AttemptFailure::BrokeAfter => self.crashes.record_break(now, vm, fingerprint),
            AttemptFailure::ConnectFailed => self.crashes.record_refusal(now, vm),
            _ => return,
        };
        if fingerprints.is_empty() {
            return;
        }
        let notices = self.quarantine.record_death(now, vm, &fingerprints);
        self.broadcast_notices(notices, actions);
    }

    /// Notifies the other daemons of crashed replicas, and logs the queries now quarantined.
    fn broadcast_notices(
        &mut self,
        notices: Vec<QuarantineNotice>,
        actions: &mut Vec<EngineAction>,
    ) {
        for notice in notices {
            if notice.deaths.len() > 1 {
                let print = notice.print;
                let note = EngineNote::QueryQuarantined { print };
                self.tracker.notes.push(note);
            }
            actions.push(EngineAction::BroadcastQuarantine {
                print: notice.print,
                deaths: notice.deaths,
                until: notice.until,
            });
        }
    }
}
