//! What the loop does for the engine's actions.

use std::collections::VecDeque;

use policy::{
    claims::ClaimEvent,
    engine::{
        AttemptFailure,
        EngineAction,
        EngineEvent,
        QueryAnswer,
        SendOrder, //
    },
    peers::PeerEvent, //
};
use rand::Rng;
use schema::{
    AttemptId,
    QueryId,
    TimePoint,
    VmName, //
};
use tokio::task::spawn_local;

use crate::{
    connection_pool::PoolStep,
    daemon_core::DaemonCore,
    events,
    exchange::{
        run_exchange,
        ExchangeOutcome, //
    },
    log_event,
    loop_event::{
        ArrivedCall,
        CallerAnswer,
        LoopEvent, //
    },
    metrics::ResultLabels,
    running_call::{
        RunningAttempt,
        RunningCall, //
    },
    span_queue::EndedSpan,
    trace_context::TraceContext,
    upstream_link::{
        open_link,
        UpstreamLink, //
    },
};

impl DaemonCore {
    /// Does what the engine asks, and what follows from that.
    pub(crate) fn execute(&mut self, now: TimePoint, actions: Vec<EngineAction>) {
        let mut queue = VecDeque::from(actions);
        while let Some(action) = queue.pop_front() {
            let mut more = Vec::new();
            self.execute_one(now, action, &mut more);
            queue.extend(more);
        }
    }

    fn execute_one(&mut self, now: TimePoint, action: EngineAction, more: &mut Vec<EngineAction>) {
        match action {
            EngineAction::Send(order) => self.send(now, order, more),
            EngineAction::Cancel { attempt } => self.cancel(now, attempt),
            EngineAction::CloseIdle { vm } => self.pool.close_idle(&vm),
            EngineAction::AcquireClaim {
                query,
                group,
                user,
                key,
            } => {
                let take = ClaimEvent::Take {
                    query,
                    group,
                    user,
                    key,
                };
                self.tell_claims(now, take);
            }
            EngineAction::ReleaseClaim { query } => {
                self.tell_claims(now, ClaimEvent::Release { query });
            }
            EngineAction::RecordClaim { query, answer } => {
                self.tell_claims(now, ClaimEvent::Record { query, answer });
            }
            EngineAction::BroadcastDrain { vm, until } => {
                self.tell_peers(now, PeerEvent::DrainObserved { vm, until });
            }
            EngineAction::BroadcastQuarantine {
                print,
                deaths,
                until,
            } => {
                let spread = PeerEvent::QuarantineObserved {
                    print,
                    deaths,
                    until,
                };
                self.tell_peers(now, spread);
            }
            EngineAction::Answer { query, answer } => self.charge(now, query, answer),
            EngineAction::Note(note) => self.log_note(&note),
        }
    }

    pub(crate) fn take_call(&mut self, now: TimePoint, arrived: ArrivedCall) {
        let Some(arrived) = self.refuse_if_full(arrived) else {
            return;
        };
        let trace = match arrived.trace {
            Some(parent) => parent.child(&mut self.rng),
            None => {
                let share = f64::from(self.config.trace.sample_pct) / 100.0;
                let sampled = self.rng.random_bool(share.min(1.0));
                TraceContext::new_trace(&mut self.rng, sampled)
            }
        };
        let call = RunningCall {
            group: arrived.call.group.clone(),
            user: arrived.call.user.clone(),
            token: Self::token_of(&arrived),
            ready: None,
            arrived: now,
            trace,
            parent: arrived.trace,
            answer: arrived.answer,
        };
        self.remember(arrived.query, call);
        let event = EngineEvent::QueryArrived {
            query: arrived.query,
            call: arrived.call,
        };
        self.tell(now, event);
    }

    fn send(&mut self, now: TimePoint, order: SendOrder, more: &mut Vec<EngineAction>) {
        // A request that runs only once goes on without its caller.
        let parent = match self.calls.get(&order.query) {
            Some(call) => call.trace,
            None => TraceContext::new_trace(&mut self.rng, false),
        };
        let attempt = RunningAttempt {
            vm: order.vm.clone(),
            group: order.group.clone(),
            ordered: now,
            trace: parent.child(&mut self.rng),
            parent,
            task: None,
        };
        if order.extra {
            self.metrics.extra_attempts.inc();
        }
        self.attempts.insert(order.attempt, attempt);
        let vm = order.vm.clone();
        self.pool.push(order);
        self.pump_into(now, &vm, more);
    }

    /// Starts what the connections to an upstream allow.
    pub(crate) fn pump(&mut self, now: TimePoint, vm: &VmName) {
        let mut actions = Vec::new();
        self.pump_into(now, vm, &mut actions);
        self.execute(now, actions);
    }

    fn pump_into(&mut self, now: TimePoint, vm: &VmName, more: &mut Vec<EngineAction>) {
        while let Some(step) = self.pool.next_step(now, vm) {
            match step {
                PoolStep::Open(address) => {
                    self.metrics.connections.inc();
                    spawn_local(open_link(vm.clone(), address, self.events.clone()));
                }
                PoolStep::Start(order, link) => self.start(now, &order, link, more),
            }
        }
    }

    /// Starts an exchange. Its task first runs after the engine has been told that it is sent.
    fn start(
        &mut self,
        now: TimePoint,
        order: &SendOrder,
        link: UpstreamLink,
        more: &mut Vec<EngineAction>,
    ) {
        let attempt = order.attempt;
        let Some(running) = self.attempts.get_mut(&attempt) else {
            self.pool.put_idle(&order.vm, link, now);
            return;
        };
        let Some(call) = self.writer.write(now, order, &link.host, &running.trace) else {
            self.attempts.remove(&attempt);
            self.pool.put_idle(&order.vm, link, now);
            self.fail(now, attempt, AttemptFailure::BrokeBefore, more);
            return;
        };
        let vm = order.vm.clone();
        let events = self.events.clone();
        let task = spawn_local(async move {
            let outcome = Box::new(run_exchange(link, call).await);
            let _ = events.send(LoopEvent::ExchangeEnded {
                attempt,
                vm,
                outcome,
            });
        });
        running.task = Some(task.abort_handle());
        self.engine
            .on_event(now, EngineEvent::AttemptSent { attempt }, more);
    }

    fn fail(
        &mut self,
        now: TimePoint,
        attempt: AttemptId,
        failure: AttemptFailure,
        more: &mut Vec<EngineAction>,
    ) {
        let event = EngineEvent::AttemptFailed {
            attempt,
            failure,
            load: None,
        };
        self.engine.on_event(now, event, more);
    }

    fn cancel(&mut self, now: TimePoint, attempt: AttemptId) {
        let Some(running) = self.attempts.remove(&attempt) else {
            return;
        };
        self.close_attempt(now, &running, "cancelled");
        match running.task {
            // The task owns the connection, which closes with it.
            Some(task) => {
                task.abort();
                self.pool.exchange_cancelled(&running.vm);
            }
            None => {
                self.pool.remove_waiting(&running.vm, attempt);
            }
        }
    }

    pub(crate) fn take_refusal(&mut self, now: TimePoint, vm: &VmName) {
        self.metrics.connections.dec();
        if let Some(attempt) = self.pool.connect_failed(vm) {
            if let Some(running) = self.attempts.remove(&attempt) {
                self.close_attempt(now, &running, "connect_failed");
            }
            let mut actions = Vec::new();
            self.fail(now, attempt, AttemptFailure::ConnectFailed, &mut actions);
            self.execute(now, actions);
        }
        self.pump(now, vm);
    }

    pub(crate) fn end_exchange(
        &mut self,
        now: TimePoint,
        attempt: AttemptId,
        vm: &VmName,
        outcome: ExchangeOutcome,
    ) {
        if let Some(link) = outcome.link {
            self.pool.put_idle(vm, link, now);
        }
        if let Some(running) = self.attempts.remove(&attempt) {
            let event = match outcome.result {
                Ok(reply) => {
                    self.pool.reply_received(vm);
                    self.close_attempt(now, &running, "replied");
                    EngineEvent::AttemptReplied { attempt, reply }
                }
                Err(failed) => {
                    self.close_attempt(now, &running, failure_label(failed.failure));
                    if failed.failure == AttemptFailure::BadReply {
                        log_event!(self.log, events::REPLY_BAD, "vm" => %vm);
                    }
                    EngineEvent::AttemptFailed {
                        attempt,
                        failure: failed.failure,
                        load: failed.load,
                    }
                }
            };
            self.tell(now, event);
        }
        self.pump(now, vm);
    }

    fn close_attempt(&mut self, now: TimePoint, running: &RunningAttempt, result: &'static str) {
        if self.spans.should_export(&running.trace) {
            self.spans.push(EndedSpan {
                name: "attempt",
                server: false,
                trace: running.trace,
                parent: Some(running.parent),
                start: running.ordered,
                end: now,
                attributes: vec![
                    ("group", running.group.to_string()),
                    ("vm", running.vm.to_string()),
                    ("result", result.into()),
                ],
            });
        }
        self.metrics.count_attempt(&running.group, result);
    }

    /// Gives an answer to its caller.
    pub(crate) fn hand_over(
        &mut self,
        now: TimePoint,
        query: QueryId,
        answer: QueryAnswer,
        charge: &'static str,
    ) {
        let Some(call) = self.calls.remove(&query) else {
            return;
        };
        self.metrics.in_flight.set(self.calls.len() as i64);
        let latency = now.since(call.arrived);
        self.metrics.latency.observe(latency.as_secs_f64());
        let result = outcome_label(&answer);
        if self.spans.should_export(&call.trace) {
            self.spans.push(EndedSpan {
                name: "query",
                server: true,
                trace: call.trace,
                parent: call.parent,
                start: call.arrived,
                end: now,
                attributes: vec![
                    ("group", call.group.to_string()),
                    ("result", result.into()),
                    ("sent", answer.sent.to_string()),
                    ("extra", answer.extra.to_string()),
                ],
            });
        }
        let labels = ResultLabels {
            group: call.group.to_string(),
            result,
        };
        self.metrics.requests.get_or_create(&labels).inc();
        let handed = CallerAnswer { answer, charge };
        // A caller that has left needs no answer.
        let _ = call.answer.send(handed);
    }
}

fn outcome_label(answer: &QueryAnswer) -> &'static str {
    use policy::engine::AnswerOutcome::*;
    match answer.outcome {
        Complete => "complete",
        Partial => "partial",
        NotRun => "not_run",
        RanFailed => "ran_failed",
        Unknown => "unknown",
    }
}

fn failure_label(failure: AttemptFailure) -> &'static str {
    match failure {
        AttemptFailure::ConnectFailed => "connect_failed",
        AttemptFailure::BrokeBefore => "broke_before",
        AttemptFailure::BrokeAfter => "broke_after",
        AttemptFailure::BadReply => "bad_reply",
        AttemptFailure::Shed => "shed",
        AttemptFailure::Draining => "draining",
        AttemptFailure::SnapshotGone => "snapshot_gone",
        AttemptFailure::RangeGone => "range_gone",
        AttemptFailure::Late => "late",
        AttemptFailure::RanFailed => "ran_failed",
    }
}
