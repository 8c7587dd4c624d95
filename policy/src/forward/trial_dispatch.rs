//! Sends requests under suspicion to one replica first, and refused ones only as a trial.

use std::time::Duration;

use schema::{
    QueryId,
    QueryPrint,
    TimePoint, //
};
use smallvec::SmallVec;

use super::{
    pending_request::{
        PendingRequest,
        RelayState,
        RequestTrial, //
    },
    request_part::{
        PartState,
        RequestPart, //
    },
    ClaimOutcome,
    CrashKey,
    CrashRefusal,
    ForwardAction,
    ForwardAnswer,
    ForwardEngine,
    LoggedEvent,
    RefusalReason,
    ReplicaKey, //
};

/// `retry_after` time sent when a trial could not be claimed because the store did not answer.
const UNCLAIMED_RETRY_AFTER: Duration = Duration::from_secs(1);

impl ForwardEngine {
    /// Asks the store for a trial if a request that is about to be sent is refused without one; returns
    /// whether it has to wait for the answer.
    pub(super) fn claim_if_needed(
        &mut self,
        now: TimePoint,
        request: &mut PendingRequest,
        actions: &mut Vec<ForwardAction>,
    ) -> bool {
        if self.crashes.is_empty() {
            return false;
        }
        let granted = request.trial.as_ref().map(|trial| trial.prints.clone());
        let granted = granted.unwrap_or_default();
        let mut keys = (0..request.parts.len())
            .filter(|index| request.parts[*index].state == PartState::Open)
            .flat_map(|index| self.part_keys(request, index).into_iter().rev())
            .filter(|key| !granted.contains(&key.print));
        let Some(notice) = keys.find_map(|key| self.crashes.trial_needed(now, key)) else {
            return false;
        };
        drop(keys);
        let trial = request.trial.get_or_insert_with(|| RequestTrial {
            prints: SmallVec::new(),
            waits: true,
            granted_at: now,
            sent: false,
            passed: false,
        });
        trial.waits = true;
        let query = request.query;
        actions.push(ForwardAction::ClaimTrial { query, notice });
        true
    }

    /// Handles the answer of the store to a claim: sends the request on, without the parts that need the trial
    /// if it was not granted, or refuses it if too few parts are left.
    pub(super) fn on_trial_claimed(
        &mut self,
        now: TimePoint,
        query: QueryId,
        print: QueryPrint,
        outcome: ClaimOutcome,
        actions: &mut Vec<ForwardAction>,
    ) {
        let label = match &outcome {
            ClaimOutcome::Granted(_) => "granted",
            ClaimOutcome::Denied(_) => "denied",
            ClaimOutcome::Unavailable => "unavailable",
        };
        let granted = matches!(outcome, ClaimOutcome::Granted(_));
        let mut until = now + UNCLAIMED_RETRY_AFTER;
        let mut left = 0;
        if let ClaimOutcome::Granted(notice) | ClaimOutcome::Denied(notice) = outcome {
            (until, left) = (notice.refused_until.max(until), notice.trials_left());
            let expiry = notice.expires_at;
            self.crashes.merge(now, notice);
            self.crashes.set_kept(print, expiry);
        }
        actions.push(ForwardAction::Log(LoggedEvent::TrialClaimed {
            query,
            print,
            outcome: label,
            left,
        }));
        if !granted {
            self.crashes.extend(now, print);
        }
        let Some(mut request) = self.requests.remove(&query) else {
            return;
        };
        let Some(trial) = request.trial.as_mut().filter(|trial| trial.waits) else {
            self.requests.insert(query, request);
            return;
        };
        trial.waits = false;
        if granted {
            trial.prints.push(print);
            trial.granted_at = now;
        }
        if request.relay != RelayState::Direct {
            self.requests.insert(query, request);
            return;
        }
        if !granted {
            self.leave_out_refused(&mut request, print, until);
        }
        if request.open_parts() + request.done_parts() < request.needed {
            self.request_timers.remove(&(request.timer_at, query));
            self.return_unsent_trial(now, &request, actions);
            self.intake.in_flight -= u32::from(request.terms.is_some());
            let rates = &mut self.rates;
            self.admissions.give_back(now, &mut request, rates);
            let answer = ForwardAnswer::NotRun {
                reason: RefusalReason::Quarantined,
                retry_after: until.since(now),
            };
            actions.push(ForwardAction::Answer { query, answer });
            return;
        }
        if !self.claim_if_needed(now, &mut request, actions) {
            self.send_first(now, &mut request, actions);
        }
        self.requests.insert(query, request);
        self.complete_or_schedule(now, query, actions);
    }

    /// Leaves out the parts for which the trial of `print` was not granted.
    fn leave_out_refused(&self, request: &mut PendingRequest, print: QueryPrint, until: TimePoint) {
        request.refused_until = request.refused_until.max(Some(until));
        let untried = |trial: &mut RequestTrial| trial.prints.is_empty();
        request.trial.take_if(untried);
        for index in 0..request.parts.len() {
            let keys = self.part_keys(request, index);
            let mut keys = keys.iter().filter(|key| key.print == print);
            if keys.any(|key| self.crashes.check_resend(*key, None).is_some()) {
                request.parts[index].state = PartState::Failed;
            }
        }
    }

    /// Whether a part has to wait for the outcome of another one: replicas have crashed under the request, or
    /// connections have just broken under it, and none has run it to its end yet.
    pub(super) fn waits_for_canary(&self, request: &PendingRequest, index: usize) -> bool {
        if request.parts.len() < 2 || request.done_parts() > 0 {
            return false;
        }
        request.parts.iter().any(RequestPart::is_awaited) && self.is_suspect(request, index)
    }

    /// Whether a request is to be sent to one replica first.
    pub(super) fn is_suspect(&self, request: &PendingRequest, index: usize) -> bool {
        if self.probes.is_suspect(&request.identity) {
            return true;
        }
        let is_suspect = |key: &CrashKey| self.crashes.suspects(*key);
        !self.crashes.is_empty() && self.part_keys(request, index).iter().any(is_suspect)
    }

    /// Ends a part of a trial that would need a second send before any replica has run the request; returns
    /// whether it has.
    pub(super) fn end_used_trial(&self, request: &mut PendingRequest, index: usize) -> bool {
        let Some(trial) = &request.trial else {
            return false;
        };
        if !trial.sent || trial.passed {
            return false;
        }
        request.parts[index].check_at = TimePoint::NEVER;
        fail_unawaited(request);
        true
    }

    /// Lets the parts go on that waited for the first reply of a request under suspicion.
    pub(super) fn release_waiting(
        &mut self,
        now: TimePoint,
        request: &mut PendingRequest,
        actions: &mut Vec<ForwardAction>,
    ) {
        if self.crashes.is_empty() && !self.probes.is_suspect(&request.identity) {
            return;
        }
        for part in &mut request.parts {
            let waits = part.state == PartState::Open
                && !part.is_awaited()
                && part.queued.is_none()
                && part.reserved.is_none()
                && !part.awaits_verdict;
            if waits {
                part.check_at = now;
            }
        }
        self.process_due_parts(now, request, actions);
    }

    /// Takes note of a send of a request under which replicas have crashed.
    pub(super) fn record_suspect_send(
        &mut self,
        now: TimePoint,
        request: &mut PendingRequest,
        index: usize,
        replica: ReplicaKey,
        actions: &mut Vec<ForwardAction>,
    ) {
        if let Some(trial) = &mut request.trial {
            trial.sent = true;
        }
        if self.crashes.is_empty() {
            return;
        }
        for key in self.part_keys(request, index) {
            let trial = request.trial.as_ref();
            let tried = trial.is_some_and(|trial| trial.prints.contains(&key.print));
            let Some(send) = self.crashes.record_send(now, key, tried) else {
                continue;
            };
            let Some(record) = self.registry.records.get(&replica) else {
                continue;
            };
            actions.push(ForwardAction::Log(LoggedEvent::SuspectSent {
                query: request.query,
                service: record.entry.service.clone(),
                replica: record.entry.name.clone(),
                print: key.print,
                ended: send.ended,
                cause: match (tried, send.counts) {
                    (true, _) => "trial",
                    (false, true) => "unclaimed",
                    (false, false) => "suspect",
                },
                left: send.left,
            }));
        }
    }

    /// Takes note that a replica has run a trial to its end.
    pub(super) fn pass_trial(
        &mut self,
        now: TimePoint,
        request: &mut PendingRequest,
        actions: &mut Vec<ForwardAction>,
    ) {
        let Some(trial) = request.trial.as_mut().filter(|trial| !trial.passed) else {
            return;
        };
        trial.passed = true;
        for print in trial.prints.clone() {
            self.crashes.pass_trial(now, print);
            actions.push(ForwardAction::Log(LoggedEvent::TrialPassed {
                query: request.query,
                print,
            }));
        }
    }

    /// Gives back the trials of a request that ends without having reached a replica. A closed port shows nothing
    /// of the request.
    pub(super) fn return_unsent_trial(
        &mut self,
        now: TimePoint,
        request: &PendingRequest,
        actions: &mut Vec<ForwardAction>,
    ) {
        let trial = request.trial.as_ref();
        let Some(trial) = trial.filter(|trial| !trial.sent && !trial.passed) else {
            return;
        };
        for print in &trial.prints {
            self.crashes.return_trial(now, *print);
            actions.push(ForwardAction::Log(LoggedEvent::TrialReturned {
                query: request.query,
                print: *print,
            }));
        }
    }

    /// Refuses what has become due, and has the store keep and forget notices.
    pub(super) fn keep_crashes(&mut self, now: TimePoint, actions: &mut Vec<ForwardAction>) {
        for notice in self.crashes.due_checks(now) {
            actions.push(ForwardAction::KeepCrashes(notice));
        }
        for print in self.crashes.take_dropped() {
            actions.push(ForwardAction::DropCrashes(print));
        }
    }

    /// Why a part must not be sent, if its request is refused and no trial of it covers the part.
    pub(super) fn resend_refusal(
        &self,
        request: &PendingRequest,
        index: usize,
    ) -> Option<CrashRefusal> {
        let trial = request.trial.as_ref();
        let keys = self.part_keys(request, index);
        keys.iter().find_map(|key| {
            let trial = trial.filter(|trial| trial.prints.contains(&key.print));
            self.crashes
                .check_resend(*key, trial.map(|trial| trial.granted_at))
        })
    }
}

/// Fails the open parts of a request if none of them awaits a reply.
pub(super) fn fail_unawaited(request: &mut PendingRequest) {
    if request.parts.iter().any(RequestPart::is_awaited) {
        return;
    }
    for part in &mut request.parts {
        if part.state == PartState::Open {
            part.state = PartState::Failed;
        }
    }
}
