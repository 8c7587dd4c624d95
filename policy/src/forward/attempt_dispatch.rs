//! Attempts: their sending, their ends, and what is learned from them.

use std::time::Duration;

use schema::{
    AttemptId,
    TimePoint, //
};

use super::{
    forward_engine::AttemptTrack,
    pending_request::ForwardRun,
    request_part::{
        ForwardPart,
        PartState, //
    },
    ForwardAction,
    ForwardEngine,
    ForwardNote,
    ForwardOrder,
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
            far: self.fleet.is_far(key),
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
    pub(super) fn close(&mut self, attempt: AttemptId) -> Option<AttemptTrack> {
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
