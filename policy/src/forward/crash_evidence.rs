//! Attributes crashes of replicas to the requests that ran on them, and stops those that crash
//! replicas again and again.

use std::time::Duration;

use schema::{
    CrashNotice,
    QueryId,
    TimePoint, //
};

use super::{
    crash_probes::BrokenAttempt,
    forward_engine::AttemptContext,
    pending_request::PendingRequest,
    request_part::PartState,
    trial_dispatch::fail_unawaited,
    CrashKey,
    CrashRefusal,
    CrashScope,
    ForwardAction,
    ForwardAnswer,
    ForwardEngine,
    ForwardFailure,
    LoggedEvent,
    ProbeOutcome,
    RefusalReason,
    ReplicaKey,
    SeenCrash, //
};

/// Longest time for which a retry waits for the outcome of a probe: the time to open a connection
/// and a margin.
const VERDICT_TIMEOUT: Duration = Duration::from_millis(350);

impl ForwardEngine {
    /// Handles a connection that broke while a replica ran an attempt: asks for a probe of the
    /// replica. A replica that is draining or no longer listed ends without a crash. One that resets
    /// a new connection mostly has too many, and a probe would add to them; such probes are few,
    /// except for a request that may have crashed another replica.
    pub(super) fn watch_broken_attempt(
        &mut self,
        now: TimePoint,
        context: &AttemptContext,
        failure: ForwardFailure,
        actions: &mut Vec<ForwardAction>,
    ) {
        let Some(record) = self.registry.records.get(&context.replica) else {
            return;
        };
        if !record.listed || record.entry.draining {
            return;
        }
        let identity = &context.identity;
        let key = identity.caller_key(&record.entry.service);
        let suspect = self.crashes.has_evidence(key) || self.probes.is_suspect(identity);
        let rare = failure == ForwardFailure::BrokenNew && !suspect;
        let broken = BrokenAttempt {
            query: context.query,
            part: context.part,
            identity: context.identity,
            sent_at: context.sent_at,
            broke_at: now,
        };
        if self.probes.add(now, context.replica, broken, rare) {
            actions.push(ForwardAction::Probe {
                replica: context.replica,
                address: record.entry.address,
            });
        }
    }

    /// Handles the outcome of a probe: counts a crash against the requests that ran on the replica,
    /// and continues those that waited for the outcome.
    pub(super) fn on_probed(
        &mut self,
        now: TimePoint,
        key: ReplicaKey,
        outcome: ProbeOutcome,
        actions: &mut Vec<ForwardAction>,
    ) {
        let accepted = outcome == ProbeOutcome::Accepted;
        // An accepted connection proves nothing before a reply has come on it.
        if !accepted {
            self.reach.record_connect(now, key, false);
        }
        let broken = self.probes.finish(now, key, accepted);
        // A refused connection shows nothing while this daemon has lost its links.
        if outcome == ProbeOutcome::Refused && self.reach.lost().is_none() {
            self.record_crash(now, key, &broken, actions);
        }
        for attempt in broken {
            self.resume_part(now, attempt.query, attempt.part, actions);
        }
    }

    /// Merges the crashes that another daemon has reported.
    pub(super) fn on_crash_reported(
        &mut self,
        now: TimePoint,
        notice: CrashNotice,
        actions: &mut Vec<ForwardAction>,
    ) {
        let event = LoggedEvent::CrashReported {
            print: notice.print,
            crashes: notice.evidence(),
            replicas: notice.replicas.clone(),
        };
        if self.crashes.merge(now, notice) {
            actions.push(ForwardAction::Log(event));
        }
    }

    /// Merges crashes that the store has kept. They outlive the daemons, and reach one that is cut off from
    /// the others.
    pub(super) fn on_crashes_read(
        &mut self,
        now: TimePoint,
        notice: CrashNotice,
        actions: &mut Vec<ForwardAction>,
    ) {
        let (print, expiry) = (notice.print, notice.expires_at);
        if expiry <= now {
            actions.push(ForwardAction::DropCrashes(print));
            return;
        }
        self.on_crash_reported(now, notice, actions);
        self.crashes.set_kept(print, expiry);
    }

    /// Reports crashes to the other daemons that are due.
    pub(super) fn report_crashes(&mut self, now: TimePoint, actions: &mut Vec<ForwardAction>) {
        if self.crashes.next_check() <= now {
            self.keep_crashes(now, actions);
        }
        if self.crashes.next_wakeup() > now {
            return;
        }
        for notice in self.crashes.due_notices(now) {
            actions.push(ForwardAction::ReportCrash(notice));
        }
    }

    /// Stops the parts of a request that arrives and has crashed replicas before. Answers it, and
    /// returns true, if too few parts are left.
    pub(super) fn refuse_crashing(
        &mut self,
        now: TimePoint,
        request: &mut PendingRequest,
        actions: &mut Vec<ForwardAction>,
    ) -> bool {
        if self.crashes.is_empty() {
            return false;
        }
        for index in 0..request.parts.len() {
            let keys = self.part_keys(request, index);
            let mut refusals = keys.iter().filter_map(|key| self.crashes.check(now, *key));
            let Some(refusal) = refusals.next() else {
                continue;
            };
            request.parts[index].state = PartState::Failed;
            request.refused_until = request.refused_until.max(Some(refusal.until));
            self.crashes.extend(now, refusal.print);
            actions.push(self.refusal_event(request, index, refusal));
        }
        if let Some(until) = request.refused_until {
            if request.open_parts() < request.needed {
                let answer = ForwardAnswer::NotRun {
                    reason: RefusalReason::Quarantined,
                    retry_after: until.since(now),
                };
                let query = request.query;
                actions.push(ForwardAction::Answer { query, answer });
                return true;
            }
        }
        false
    }

    /// Fails a part, once its attempts in flight have ended, if its request has become refused since
    /// it arrived; returns whether it has.
    pub(super) fn stop_crashing(
        &mut self,
        request: &mut PendingRequest,
        index: usize,
        actions: &mut Vec<ForwardAction>,
    ) -> bool {
        if self.crashes.is_empty() {
            return false;
        }
        let Some(refusal) = self.resend_refusal(request, index) else {
            return false;
        };
        request.refused_until = Some(refusal.until);
        let part = &mut request.parts[index];
        part.check_at = TimePoint::NEVER;
        if part.in_flight.is_empty() {
            part.state = PartState::Failed;
        }
        if request.trial.as_ref().is_some_and(|trial| !trial.passed) {
            fail_unawaited(request);
        }
        actions.push(self.refusal_event(request, index, refusal));
        true
    }

    /// Takes back the crashes that count against a request which has succeeded on a replica.
    pub(super) fn record_success(
        &mut self,
        now: TimePoint,
        request: &PendingRequest,
        part: usize,
        actions: &mut Vec<ForwardAction>,
    ) {
        if self.crashes.is_empty() {
            return;
        }
        for key in self.part_keys(request, part) {
            let crashes = self.crashes.record_success(now, key);
            self.log_refuted(request, part, key, crashes, actions);
        }
        if request.is_gather() && request.done_parts() >= request.needed {
            for key in self.part_keys(request, part) {
                let crashes = self.crashes.record_gathered(now, key);
                self.log_refuted(request, part, key, crashes, actions);
            }
        }
    }

    fn log_refuted(
        &self,
        request: &PendingRequest,
        part: usize,
        key: CrashKey,
        crashes: u32,
        actions: &mut Vec<ForwardAction>,
    ) {
        if crashes == 0 {
            return;
        }
        let service = request.parts[part].service;
        actions.push(ForwardAction::Log(LoggedEvent::CrashesRefuted {
            query: request.query,
            service: self.registry.services[service].name.clone(),
            print: key.print,
            crashes,
        }));
    }

    /// Whether the retry of an attempt that broke has to wait for the probe of its replica, because
    /// a crash would make the request refused.
    pub(super) fn awaits_verdict(
        &self,
        request: &PendingRequest,
        context: &AttemptContext,
    ) -> bool {
        if self.crashes.is_empty() || !self.probes.is_pending(context.replica) {
            return false;
        }
        let keys = self.part_keys(request, context.part);
        keys.iter().any(|key| self.crashes.is_last_chance(*key))
    }

    /// Whether a retry of a part has to wait until its outcome can count. A request that crashes its
    /// replicas would crash another one for nothing; a harmless one is released by the next success.
    pub(super) fn retry_waits(
        &self,
        now: TimePoint,
        request: &PendingRequest,
        index: usize,
    ) -> bool {
        let was_sent = request.parts.iter().any(|part| part.sent);
        if self.crashes.is_empty() || !was_sent || request.done_parts() > 0 {
            return false;
        }
        let keys = self.part_keys(request, index);
        keys.iter().any(|key| self.crashes.is_in_burst(now, *key))
    }

    /// When a part whose retry waits for a probe is tried again without its outcome.
    pub(super) fn verdict_deadline(now: TimePoint) -> TimePoint {
        now + VERDICT_TIMEOUT
    }

    fn record_crash(
        &mut self,
        now: TimePoint,
        key: ReplicaKey,
        broken: &[BrokenAttempt],
        actions: &mut Vec<ForwardAction>,
    ) {
        let Some(record) = self.registry.records.get(&key) else {
            return;
        };
        let (replica, service) = (&record.entry.name, &record.entry.service);
        actions.push(ForwardAction::Log(LoggedEvent::ReplicaCrashed {
            replica: replica.clone(),
            service: service.clone(),
            requests: broken.len(),
        }));
        for attempt in broken {
            let identity = &attempt.identity;
            let keys = [
                (identity.caller_key(service), 0, CrashScope::Path),
                (identity.form_key(service), 0, CrashScope::Form),
                (
                    identity.content_key(service),
                    identity.caller,
                    CrashScope::Content,
                ),
            ];
            for (key, caller, scope) in keys {
                let crash = SeenCrash {
                    replica,
                    sent_at: attempt.sent_at,
                    broke_at: attempt.broke_at,
                    caller,
                };
                let Some(crashes) = self.crashes.record_crash(now, key, &crash) else {
                    continue;
                };
                let refused = self.crashes.check(now, key);
                actions.push(ForwardAction::Log(LoggedEvent::CrashCounted {
                    query: attempt.query,
                    service: service.clone(),
                    replica: replica.clone(),
                    print: key.print,
                    scope,
                    crashes,
                    refused_for: refused.map(|refusal| refusal.until.since(now)),
                }));
            }
        }
    }

    /// Continues a part whose retry has waited for a probe.
    fn resume_part(
        &mut self,
        now: TimePoint,
        query: QueryId,
        index: usize,
        actions: &mut Vec<ForwardAction>,
    ) {
        let Some(request) = self.requests.get_mut(&query) else {
            return;
        };
        let part = &mut request.parts[index];
        let waits = part.state == PartState::Open && part.awaits_verdict;
        part.awaits_verdict = false;
        if waits && part.in_flight.is_empty() && part.queued.is_none() {
            part.check_at = now;
            self.complete_or_schedule(now, query, actions);
        }
    }

    /// The keys under which crashes count against a part, one for each scope.
    pub(super) fn part_keys(&self, request: &PendingRequest, index: usize) -> [CrashKey; 3] {
        let service = &self.registry.services[request.parts[index].service].name;
        let identity = &request.identity;
        [
            identity.caller_key(service),
            identity.form_key(service),
            identity.content_key(service),
        ]
    }

    fn refusal_event(
        &self,
        request: &PendingRequest,
        index: usize,
        refusal: CrashRefusal,
    ) -> ForwardAction {
        ForwardAction::Log(LoggedEvent::RequestStopped {
            query: request.query,
            service: self.registry.services[request.parts[index].service]
                .name
                .clone(),
            print: refusal.print,
            scope: refusal.scope,
            crashes: refusal.crashes,
            replicas: refusal.replicas,
            until: refusal.until,
        })
    }
}
