//! Reports about attempts.

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
    /// Takes in the reply to an attempt.
    pub(super) fn take_reply(
        &mut self,
        now: TimePoint,
        attempt: AttemptId,
        reply: ReplicaReply,
        actions: &mut Vec<EngineAction>,
    ) {
        let Some(run) = self.run_of(attempt) else {
            return;
        };
        let (query, slot) = (run.query, run.slot);
        let closed = self
            .desk
            .close_replied(now, attempt, slot, &reply.load, actions);
        let (Some(track), Some(run)) = (closed, self.runs.get_mut(&query)) else {
            return;
        };
        run.remove_attempt(track.part, attempt);
        let merged = dispatch::accept(&mut self.desk, now, run, &track, reply, actions);
        if merged {
            self.desk.groups[slot].counts.hedge_wins += u64::from(track.hedge);
        }
        if run.group().once {
            run.lose_unsent(QueryReason::RangeMoved);
        }
        dispatch::launch(&mut self.desk, now, run, actions);
        self.settle(now, query, actions);
    }

    /// Takes in the failure of an attempt.
    pub(super) fn take_failure(
        &mut self,
        now: TimePoint,
        attempt: AttemptId,
        failure: AttemptFailure,
        load: Option<&ReplicaLoad>,
        actions: &mut Vec<EngineAction>,
    ) {
        let Some(run) = self.run_of(attempt) else {
            return;
        };
        let (query, slot, print) = (run.query, run.slot, run.print);
        let closed = self
            .desk
            .close_failed(now, attempt, slot, failure, load, actions);
        let Some(track) = closed else {
            return;
        };
        self.watch_death(now, &track.vm, print, failure, actions);
        let mut notices = Vec::new();
        let Some(run) = self.runs.get_mut(&query) else {
            return;
        };
        run.remove_attempt(track.part, attempt);
        run.note_failure(track.sent, failure);
        if run.group().once && (run.may_have_run || run.ran_failed) {
            run.lose(track.part, dispatch::reason_of(failure));
        }
        if failure == AttemptFailure::BrokeAfter {
            let alone = run.trial || run.suspect;
            dispatch::note_break(run, now, track.part, track.ordered);
            run.lost.push(track.vm.clone());
            if alone {
                notices.extend(self.book.record_trial_death(now, &track.vm, print));
            } else if run.condemned {
                for vm in &run.lost {
                    notices.extend(self.book.record_trial_death(now, vm, print));
                }
            }
            if self.book.is_refused(now, print) {
                dispatch::condemn(run, QueryReason::Quarantined);
            }
        }
        dispatch::fail(&mut self.desk, now, run, track.part, failure);
        dispatch::launch(&mut self.desk, now, run, actions);
        self.settle(now, query, actions);
        self.spread(notices, actions);
        self.drop_refused(now, print, actions);
    }

    /// Gives up the requests with the body `print` once it is refused, before they reach another
    /// replica.
    pub(super) fn drop_refused(
        &mut self,
        now: TimePoint,
        print: QueryPrint,
        actions: &mut Vec<EngineAction>,
    ) {
        if !self.book.is_refused(now, print) {
            return;
        }
        let mut queries: Vec<QueryId> = Vec::new();
        for run in self.runs.values_mut() {
            // What may run only once is out already and can't be taken back.
            if run.print != print || run.group().once && run.out() > 0 {
                continue;
            }
            dispatch::condemn(run, QueryReason::Quarantined);
            queries.push(run.query);
        }
        for query in queries {
            self.finish(now, query, QueryReason::Quarantined, actions);
        }
    }

    fn run_of(&self, attempt: AttemptId) -> Option<&QueryRun> {
        let track = self.desk.tracks.get(&attempt)?;
        self.runs.get(&track.query)
    }

    fn watch_death(
        &mut self,
        now: TimePoint,
        vm: &VmName,
        print: QueryPrint,
        failure: AttemptFailure,
        actions: &mut Vec<EngineAction>,
    ) {
        let prints = match failure {
            AttemptFailure::BrokeAfter => self.deaths.broke(now, vm, print),
            AttemptFailure::ConnectFailed => self.deaths.refused(now, vm),
            _ => return,
        };
        if prints.is_empty() {
            return;
        }
        let notices = self.book.record_death(now, vm, &prints);
        self.spread(notices, actions);
    }

    /// Tells the other daemons of deaths.
    fn spread(&mut self, notices: Vec<QuarantineNotice>, actions: &mut Vec<EngineAction>) {
        for notice in notices {
            if notice.deaths.len() > 1 {
                let print = notice.print;
                let note = EngineNote::QueryQuarantined { print };
                self.desk.notes.push(note);
            }
            actions.push(EngineAction::SpreadQuarantine {
                print: notice.print,
                deaths: notice.deaths,
                until: notice.until,
            });
        }
    }
}
