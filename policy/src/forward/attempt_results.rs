//! Replies and failures of attempts: what they mean for their requests.

use schema::{
    AttemptId,
    TimePoint, //
};

use super::{
    forward_engine::AttemptTrack,
    pending_request::ForwardRun,
    request_part::PartState,
    ForwardAction,
    ForwardEngine,
    ForwardFailure,
    ForwardNote,
    ForwardReply, //
};

impl ForwardEngine {
    /// Takes in a reply.
    pub(super) fn take_reply(
        &mut self,
        now: TimePoint,
        attempt: AttemptId,
        reply: ForwardReply,
        actions: &mut Vec<ForwardAction>,
    ) {
        let Some(track) = self.close(attempt) else {
            return;
        };
        let age = now.since(track.sent);
        if reply.moved {
            // Another replica lives at the address: the entry is stale.
            self.fleet.refuse(now, track.replica);
        } else if reply.not_run || reply.status >= 500 {
            self.fleet.fail(now, track.replica);
        } else {
            let (own, back) = self.fleet.replied(now, track.replica, age);
            if let Some(state) = self.routes.get_mut(&track.route) {
                state.latency.record(own);
            }
            if let Some(record) = self.fleet.records.get(&track.replica).filter(|_| back) {
                actions.push(ForwardAction::Note(ForwardNote::ReplicaBack {
                    replica: record.entry.name.clone(),
                    service: record.entry.service.clone(),
                }));
            }
        }
        self.forget(track.replica, actions);
        let Some(mut run) = self.runs.remove(&track.query) else {
            return;
        };
        run.parts[track.part].out.retain(|known| *known != attempt);
        self.judge_reply(now, &mut run, &track, attempt, reply, actions);
        if matches!(run.parts[track.part].state, PartState::Done { .. }) {
            let service = run.parts[track.part].service;
            for other in std::mem::take(&mut run.parts[track.part].out) {
                self.let_go(now, &run, service, other, actions);
            }
        }
        let query = run.query;
        self.runs.insert(query, run);
        self.settle(now, query, actions);
    }

    fn judge_reply(
        &mut self,
        now: TimePoint,
        run: &mut ForwardRun,
        track: &AttemptTrack,
        attempt: AttemptId,
        reply: ForwardReply,
        actions: &mut Vec<ForwardAction>,
    ) {
        let gather = run.is_gather();
        let attempts = run.attempts_max();
        let idempotent = run.spec().idempotent;
        let part = &mut run.parts[track.part];
        if part.state != PartState::Open {
            return;
        }
        if reply.not_run || reply.moved {
            let cause = if reply.moved { "moved" } else { "not_run" };
            self.note_failure(now, track, cause, actions);
            self.relaunch(now, run, track.part, actions);
            return;
        }
        part.ran += 1;
        let usable = reply.is_success() || (!gather && (300..500).contains(&reply.status));
        if usable {
            self.unwait(part);
            part.state = PartState::Done {
                stamp: reply.stamp.unwrap_or_default(),
                records: if gather {
                    reply.body
                } else {
                    Default::default()
                },
            };
            part.relayed = Some(attempt);
            return;
        }
        // A success without a signature is not the replica's, and a status that promises that nothing
        // ran is not for a request that did.
        let relays = reply.status >= 500 && reply.status != 503;
        part.relayed = Some(attempt).filter(|_| relays).or(part.relayed);
        self.note_failure(now, track, "ran_failed", actions);
        if idempotent && run.parts[track.part].ran < attempts {
            self.relaunch(now, run, track.part, actions);
            return;
        }
        if run.parts[track.part].out.is_empty() {
            run.parts[track.part].state = PartState::Lost;
        }
    }

    /// Takes in the failure of an attempt.
    pub(super) fn take_failure(
        &mut self,
        now: TimePoint,
        attempt: AttemptId,
        failure: ForwardFailure,
        actions: &mut Vec<ForwardAction>,
    ) {
        let Some(track) = self.close(attempt) else {
            return;
        };
        match failure {
            ForwardFailure::Unconnected => {
                if let Some((replica, service, period)) = self.fleet.refuse(now, track.replica) {
                    actions.push(ForwardAction::Note(ForwardNote::ReplicaAvoided {
                        replica,
                        service,
                        period,
                    }));
                }
            }
            ForwardFailure::Broken | ForwardFailure::Garbled => {
                self.fleet.fail(now, track.replica);
            }
        }
        self.note_failure(now, &track, failure.as_str(), actions);
        self.forget(track.replica, actions);
        let Some(mut run) = self.runs.remove(&track.query) else {
            return;
        };
        let query = run.query;
        let attempts = run.attempts_max();
        let idempotent = run.spec().idempotent;
        let part = &mut run.parts[track.part];
        part.out.retain(|known| *known != attempt);
        part.ran += u32::from(failure != ForwardFailure::Unconnected);
        let again = failure == ForwardFailure::Unconnected || (idempotent && part.ran < attempts);
        if part.state == PartState::Open && again {
            self.relaunch(now, &mut run, track.part, actions);
        } else if part.state == PartState::Open && part.out.is_empty() {
            part.state = PartState::Lost;
        }
        self.runs.insert(query, run);
        self.settle(now, query, actions);
    }

    /// Sends a part whose attempt failed to another replica, unless one is under way still and no
    /// further one may run it.
    fn relaunch(
        &mut self,
        now: TimePoint,
        run: &mut ForwardRun,
        index: usize,
        actions: &mut Vec<ForwardAction>,
    ) {
        let part = &run.parts[index];
        let under_way = u32::try_from(part.out.len()).unwrap_or(u32::MAX);
        if under_way > 0 && part.ran + under_way >= run.attempts_max() {
            return;
        }
        self.launch(now, run, index, "failed", actions);
    }

    fn note_failure(
        &self,
        now: TimePoint,
        track: &AttemptTrack,
        cause: &'static str,
        actions: &mut Vec<ForwardAction>,
    ) {
        let Some(record) = self.fleet.records.get(&track.replica) else {
            return;
        };
        actions.push(ForwardAction::Note(ForwardNote::AttemptFailed {
            query: track.query,
            service: record.entry.service.clone(),
            replica: record.entry.name.clone(),
            cause,
            age: now.since(track.sent),
        }));
    }
}
