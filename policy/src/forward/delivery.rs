//! Attempts: their sending, their ends, and what is learned from them.

use std::time::Duration;

use schema::{
    AttemptId,
    TimePoint, //
};

use super::{
    forward_engine::AttemptTrack,
    forward_run::{
        ForwardPart,
        ForwardRun,
        PartState, //
    },
    ForwardAction,
    ForwardEngine,
    ForwardFailure,
    ForwardNote,
    ForwardOrder,
    ForwardReply,
    PickOutcome,
    ReplicaKey,
    WaitingPart, //
};

/// Time after which a part that could not be sent is tried again.
const RECHECK: Duration = Duration::from_millis(10);

/// Longest time for which a part waits for the budget alone, where its route has no goal.
const STARVED_MAX: Duration = Duration::from_secs(1);

impl ForwardEngine {
    /// Sends a part to a replica, or says when to try again. `cause` tells why: `first`, `late` or
    /// `failed`.
    pub(super) fn launch(
        &mut self,
        now: TimePoint,
        run: &mut ForwardRun,
        index: usize,
        cause: &'static str,
        actions: &mut Vec<ForwardAction>,
    ) {
        let part = &run.parts[index];
        let service = part.service;
        let key = match self.fleet.pick(now, service, &part.tried) {
            PickOutcome::Picked(key) => key,
            PickOutcome::Busy => {
                self.wait(run, index);
                return;
            }
            PickOutcome::Missing => {
                self.miss(now, run, index);
                return;
            }
        };
        let extra = part.sent;
        let late = now >= run.goal_at;
        if extra && !self.fleet.spend(now, service, late) {
            starve(now, run, index);
            return;
        }
        if !extra {
            self.fleet.services[service].budget.earn(now);
        }
        self.send(now, run, index, key, cause, actions);
    }

    /// Lets a part wait in its service's line. One that is under way already goes on waiting for its
    /// reply too.
    fn wait(&mut self, run: &mut ForwardRun, index: usize) {
        let place = WaitingPart {
            arrived: run.arrived,
            goal_at: run.goal_at,
            query: run.query,
            part: index,
        };
        let part = &mut run.parts[index];
        part.due = TimePoint::NEVER;
        part.waiting = Some(place);
        self.fleet.services[part.service].line.join(place);
    }

    /// Takes a part out of its service's line.
    pub(super) fn unwait(&mut self, part: &mut ForwardPart) {
        if let Some(place) = part.waiting.take() {
            self.fleet.services[part.service].line.leave(&place);
        }
    }

    /// Gives replicas that have come free to the parts that wait for them.
    pub(super) fn serve_lines(&mut self, now: TimePoint, actions: &mut Vec<ForwardAction>) {
        while let Some(service) = self.freed.pop() {
            while let Some(place) = self.fleet.services[service].line.next(now) {
                self.fleet.services[service].line.leave(&place);
                let Some(mut run) = self.runs.remove(&place.query) else {
                    continue;
                };
                run.parts[place.part].waiting = None;
                if run.parts[place.part].state != PartState::Open {
                    self.runs.insert(place.query, run);
                    continue;
                }
                let cause = match run.parts[place.part].sent {
                    true => "failed",
                    false => "first",
                };
                self.launch(now, &mut run, place.part, cause, actions);
                let stuck = run.parts[place.part].waiting.is_some();
                self.runs.insert(place.query, run);
                self.settle(now, place.query, actions);
                if stuck {
                    break;
                }
            }
        }
    }

    /// A part for which no further replica will do: it waits for what is under way, or is lost.
    fn miss(&mut self, now: TimePoint, run: &mut ForwardRun, index: usize) {
        let part = &mut run.parts[index];
        part.due = TimePoint::NEVER;
        if !part.out.is_empty() {
            return;
        }
        // A replica that broke off may serve the next try, on another connection.
        if part.ran < run.attempts_max() && self.fleet.is_served(now, run.parts[index].service) {
            run.parts[index].tried.clear();
            run.parts[index].due = now + RECHECK;
            return;
        }
        run.parts[index].state = PartState::Lost;
    }

    fn send(
        &mut self,
        now: TimePoint,
        run: &mut ForwardRun,
        index: usize,
        key: ReplicaKey,
        cause: &'static str,
        actions: &mut Vec<ForwardAction>,
    ) {
        let Some(record) = self.fleet.records.get(&key) else {
            return;
        };
        let (name, address) = (record.entry.name.clone(), record.entry.address);
        self.last_attempt += 1;
        let attempt = AttemptId(self.last_attempt);
        let extra = run.parts[index].sent;
        if extra {
            let state = &self.fleet.services[run.parts[index].service];
            actions.push(ForwardAction::Note(ForwardNote::SentAgain {
                query: run.query,
                service: state.name.clone(),
                replica: name.clone(),
                cause,
                age: now.since(run.arrived),
                budget_left: state.budget.left() as u32,
            }));
        }
        let part = &mut run.parts[index];
        part.sent = true;
        part.tried.push(key);
        part.out.push(attempt);
        part.due = now + run.hedge_delay + self.fleet.link(key);
        self.fleet.begin(now, key, attempt);
        self.tracks.insert(
            attempt,
            AttemptTrack {
                query: run.query,
                part: index,
                replica: key,
                route: run.spec().name.clone(),
                sent: now,
                expires: TimePoint::NEVER,
            },
        );
        actions.push(ForwardAction::Send(ForwardOrder {
            attempt,
            query: run.query,
            replica: key,
            name,
            address,
            deadline: run.close_at,
            extra,
        }));
    }

    /// Looks after the parts of `run` that are due: hedges what is late, sends what could not be
    /// sent before.
    pub(super) fn wake(
        &mut self,
        now: TimePoint,
        run: &mut ForwardRun,
        actions: &mut Vec<ForwardAction>,
    ) {
        for index in 0..run.parts.len() {
            let part = &run.parts[index];
            if part.state != PartState::Open || part.due > now {
                continue;
            }
            if part.out.is_empty() {
                let cause = if part.sent { "failed" } else { "first" };
                self.launch(now, run, index, cause, actions);
                continue;
            }
            let under_way = u32::try_from(part.out.len()).unwrap_or(u32::MAX);
            if !run.spec().idempotent || part.ran + under_way >= run.attempts_max() {
                run.parts[index].due = TimePoint::NEVER;
                continue;
            }
            self.launch(now, run, index, "late", actions);
        }
    }

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
            let own = self.fleet.replied(now, track.replica, age);
            if let Some(state) = self.routes.get_mut(&track.route) {
                state.latency.record(own);
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
            part.fallback = Some(attempt);
            return;
        }
        // A success without a signature is not the replica's, and a status that promises that nothing
        // ran is not for a request that did.
        let relayed = reply.status >= 500 && reply.status != 503;
        part.fallback = Some(attempt).filter(|_| relayed).or(part.fallback);
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

    /// Gives an attempt up and learns from its silence.
    pub(super) fn cancel(
        &mut self,
        now: TimePoint,
        attempt: AttemptId,
        actions: &mut Vec<ForwardAction>,
    ) {
        let Some(track) = self.close(attempt) else {
            return;
        };
        actions.push(ForwardAction::Cancel { attempt });
        if self
            .fleet
            .unheard(now, track.replica, now.since(track.sent))
        {
            let replica = track.replica;
            actions.push(ForwardAction::CloseIdle { replica });
        }
        self.forget(track.replica, actions);
    }

    /// Takes an attempt off the books.
    fn close(&mut self, attempt: AttemptId) -> Option<AttemptTrack> {
        let track = self.tracks.remove(&attempt)?;
        self.expiries.remove(&(track.expires, attempt));
        if let Some(record) = self.fleet.records.get_mut(&track.replica) {
            record.end(attempt);
            if !self.fleet.services[record.service].line.is_empty() {
                self.freed.push(record.service);
            }
        }
        Some(track)
    }
}

/// A part for which the budget has no further send: it waits for what is under way, or for the
/// budget while its request may be in time. A caller that is late already does better with an answer
/// at once: the first sends of its next try are free.
fn starve(now: TimePoint, run: &mut ForwardRun, index: usize) {
    let given_up = run.goal_at.min(run.arrived + STARVED_MAX);
    let part = &mut run.parts[index];
    if part.out.is_empty() && now >= given_up {
        part.state = PartState::Lost;
        return;
    }
    part.due = now + RECHECK;
}
