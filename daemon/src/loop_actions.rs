//! Execution of the query engine's actions: sends, cancellations and answers.

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
    /// Executes actions of the engine, and the actions that result from them, in order.
    pub(crate) fn execute(&mut self, now: TimePoint, actions: Vec<EngineAction>) {
        let mut queue = VecDeque::from(actions);
        while let Some(action) = queue.pop_front() {
            let mut follow_ups = Vec::new();
            self.execute_one(now, action, &mut follow_ups);
            queue.extend(follow_ups);
        }
    }

    fn execute_one(
        &mut self,
        now: TimePoint,
        action: EngineAction,
        follow_ups: &mut Vec<EngineAction>,
    ) {
        match action {
            EngineAction::Send(order) => self.queue_attempt(now, order, follow_ups),
            EngineAction::Cancel { attempt } => self.cancel_attempt(now, attempt),
            EngineAction::CloseIdle { vm } => self.pool.close_idle(&vm),
            EngineAction::AcquireClaim {
                query,
                group,
                user,
                key,
            } => {
                let event = ClaimEvent::Take {
                    query,
                    group,
                    user,
                    key,
                };
                self.step_claims(now, event);
            }
            EngineAction::ReleaseClaim { query } => {
                self.step_claims(now, ClaimEvent::Release { query });
            }
            EngineAction::RecordClaim { query, answer } => {
                self.step_claims(now, ClaimEvent::Record { query, answer });
            }
            EngineAction::BroadcastDrain { vm, until } => {
                self.step_peers(now, PeerEvent::DrainObserved { vm, until });
            }
            EngineAction::BroadcastQuarantine {
                print,
                deaths,
                until,
            } => {
                let event = PeerEvent::QuarantineObserved {
                    print,
                    deaths,
                    until,
                };
                self.step_peers(now, event);
            }
            EngineAction::Answer { query, answer } => self.charge_answer(now, query, answer),
            EngineAction::Note(note) => self.log_engine_note(&note),
        }
    }

    pub(crate) fn start_call(&mut self, now: TimePoint, arrived: ArrivedCall) {
        let Some(arrived) = self.refuse_if_full(arrived) else {
            return;
        };
        let trace = match arrived.trace {
            Some(parent) => parent.child(&mut self.rng),
            None => {
                let sample_ratio = f64::from(self.config.trace.sample_pct) / 100.0;
                let sampled = self.rng.random_bool(sample_ratio.min(1.0));
                TraceContext::new_trace(&mut self.rng, sampled)
            }
        };
        let call = RunningCall {
            group: arrived.call.group.clone(),
            user: arrived.call.user.clone(),
            token: Self::charge_token(&arrived),
            pending_answer: None,
            arrived_at: now,
            trace,
            parent: arrived.trace,
            answer_sender: arrived.answer,
        };
        self.insert_call(arrived.query, call);
        let event = EngineEvent::QueryArrived {
            query: arrived.query,
            call: arrived.call,
        };
        self.step_engine(now, event);
    }

    fn queue_attempt(
        &mut self,
        now: TimePoint,
        order: SendOrder,
        follow_ups: &mut Vec<EngineAction>,
    ) {
        // A request that may run only once is sent even if its caller has left.
        let parent = match self.calls.get(&order.query) {
            Some(call) => call.trace,
            None => TraceContext::new_trace(&mut self.rng, false),
        };
        let attempt = RunningAttempt {
            vm: order.vm.clone(),
            group: order.group.clone(),
            ordered_at: now,
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
        self.start_ready_attempts_into(now, &vm, follow_ups);
    }

    /// Starts the queued attempts that the connections to an upstream allow, and opens connections
    /// for the rest.
    pub(crate) fn start_ready_attempts(&mut self, now: TimePoint, vm: &VmName) {
        let mut actions = Vec::new();
        self.start_ready_attempts_into(now, vm, &mut actions);
        self.execute(now, actions);
    }

    fn start_ready_attempts_into(
        &mut self,
        now: TimePoint,
        vm: &VmName,
        follow_ups: &mut Vec<EngineAction>,
    ) {
        while let Some(step) = self.pool.next_step(now, vm) {
            match step {
                PoolStep::Open(address) => {
                    self.metrics.connections.inc();
                    spawn_local(open_link(vm.clone(), address, self.events.clone()));
                }
                PoolStep::Start(order, link) => self.start_exchange(now, &order, link, follow_ups),
            }
        }
    }

    /// Starts an exchange. Its task cannot run before the engine has handled `AttemptSent`, because
    /// both run on the same thread.
    fn start_exchange(
        &mut self,
        now: TimePoint,
        order: &SendOrder,
        link: UpstreamLink,
        follow_ups: &mut Vec<EngineAction>,
    ) {
        let attempt = order.attempt;
        let Some(running) = self.attempts.get_mut(&attempt) else {
            self.pool.put_idle(&order.vm, link, now);
            return;
        };
        let Some(call) = self.writer.write(now, order, &link.host, &running.trace) else {
            self.attempts.remove(&attempt);
            self.pool.put_idle(&order.vm, link, now);
            self.report_failure(now, attempt, AttemptFailure::BrokeBefore, follow_ups);
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
            .on_event(now, EngineEvent::AttemptSent { attempt }, follow_ups);
    }

    fn report_failure(
        &mut self,
        now: TimePoint,
        attempt: AttemptId,
        failure: AttemptFailure,
        follow_ups: &mut Vec<EngineAction>,
    ) {
        let event = EngineEvent::AttemptFailed {
            attempt,
            failure,
            load: None,
        };
        self.engine.on_event(now, event, follow_ups);
    }

    fn cancel_attempt(&mut self, now: TimePoint, attempt: AttemptId) {
        let Some(running) = self.attempts.remove(&attempt) else {
            return;
        };
        self.record_attempt_end(now, &running, "cancelled");
        match running.task {
            // The task owns the connection, so aborting the task closes the connection.
            Some(task) => {
                task.abort();
                self.pool.exchange_cancelled(&running.vm);
            }
            None => {
                self.pool.remove_waiting(&running.vm, attempt);
            }
        }
    }

    pub(crate) fn handle_link_failure(&mut self, now: TimePoint, vm: &VmName) {
        self.metrics.connections.dec();
        if let Some(attempt) = self.pool.connect_failed(vm) {
            if let Some(running) = self.attempts.remove(&attempt) {
                self.record_attempt_end(now, &running, "connect_failed");
            }
            let mut actions = Vec::new();
            self.report_failure(now, attempt, AttemptFailure::ConnectFailed, &mut actions);
            self.execute(now, actions);
        }
        self.start_ready_attempts(now, vm);
    }

    pub(crate) fn finish_exchange(
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
                    self.record_attempt_end(now, &running, "replied");
                    EngineEvent::AttemptReplied { attempt, reply }
                }
                Err(error) => {
                    self.record_attempt_end(now, &running, failure_label(error.failure));
                    if error.failure == AttemptFailure::BadReply {
                        log_event!(self.log, events::BAD_REPLY, "vm" => %vm);
                    }
                    EngineEvent::AttemptFailed {
                        attempt,
                        failure: error.failure,
                        load: error.load,
                    }
                }
            };
            self.step_engine(now, event);
        }
        self.start_ready_attempts(now, vm);
    }

    fn record_attempt_end(
        &mut self,
        now: TimePoint,
        running: &RunningAttempt,
        result: &'static str,
    ) {
        if self.spans.should_export(&running.trace) {
            self.spans.push(EndedSpan {
                name: "attempt",
                server: false,
                trace: running.trace,
                parent: Some(running.parent),
                start: running.ordered_at,
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

    /// Sends an answer to the caller and records its latency, span and outcome.
    pub(crate) fn send_answer(
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
        let latency = now.since(call.arrived_at);
        self.metrics.latency.observe(latency.as_secs_f64());
        let result = outcome_label(&answer);
        if self.spans.should_export(&call.trace) {
            self.spans.push(EndedSpan {
                name: "query",
                server: true,
                trace: call.trace,
                parent: call.parent,
                start: call.arrived_at,
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
        let caller_answer = CallerAnswer { answer, charge };
        // Sending fails only where the caller has left.
        let _ = call.answer_sender.send(caller_answer);
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
