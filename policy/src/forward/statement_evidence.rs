//! Takes over what replicas say of themselves in their replies.
//!
//! A statement counts whatever the reply is, and holds for the start of the replica that made it. A
//! reply of another replica at the address says nothing about the one that was meant. That a replica
//! leaves is never taken back; a rest ends by itself, and a reply to a request that was sent before it
//! does not end it. Limits, which all daemons share, have an end of their own (`LimitTable`).

use std::time::Duration;

use rand::Rng;
use schema::{
    RestPeriod,
    TimePoint, //
};

use super::{
    forward_engine::AttemptContext,
    ForwardAction,
    ForwardEngine,
    ForwardReply,
    LoggedEvent,
    ReplicaKey, //
};

/// Longest rest that a replica gets without asking again. One request after it shows whether it is still
/// wanted.
const REST_MAX: Duration = Duration::from_secs(300);
/// Largest share of a rest that is added to it, at random, so that daemons which were turned away at
/// once don't come back at once.
const REST_SPREAD: f64 = 0.1;
/// Bound of that addition.
const REST_SPREAD_MAX: Duration = Duration::from_secs(1);
/// Leaving replicas that are named to another daemon at most.
const NAMED_MAX: usize = 64;

impl ForwardEngine {
    /// Takes over the statements of a reply.
    pub(super) fn record_statements(
        &mut self,
        now: TimePoint,
        context: &AttemptContext,
        reply: &ForwardReply,
        actions: &mut Vec<ForwardAction>,
    ) {
        if reply.moved {
            return;
        }
        let statements = &reply.statements;
        self.record_limit(now, context, &statements.limit, actions);
        if let Some(load) = statements.load {
            self.registry.record_load(now, context.replica, load);
        }
        if statements.leaving {
            self.record_leaving(now, context.replica, actions);
        }
        if let Some(rest) = statements.rest {
            self.record_rest(now, context.replica, rest, actions);
        } else if !reply.not_run && reply.status < 500 {
            self.end_trial(context.replica);
        }
        for unreadable in &statements.unreadable {
            let Some(record) = self.registry.records.get(&context.replica) else {
                return;
            };
            actions.push(ForwardAction::Log(LoggedEvent::StatementUnreadable {
                replica: record.entry.name.clone(),
                service: record.entry.service.clone(),
                statement: unreadable.clone(),
            }));
        }
    }

    /// Takes over that replicas leave, as another daemon has told with the answer to a request that it
    /// forwarded. This daemon passes that answer on, so that it counts as told, too.
    pub(super) fn on_leaving_named(
        &mut self,
        now: TimePoint,
        instances: &[u64],
        actions: &mut Vec<ForwardAction>,
    ) {
        for instance in instances {
            if let Some(key) = self.registry.key_of(*instance) {
                self.record_leaving(now, key, actions);
            }
        }
    }

    /// The replicas that have said that they leave, by the numbers that identify them to other daemons.
    pub fn leaving_instances(&self) -> Vec<u64> {
        let records = self.registry.records.values();
        let leaving = records.filter(|record| record.statements.leaving_since.is_some());
        let instances = leaving.map(|record| record.entry.instance());
        instances.take(NAMED_MAX).collect()
    }

    /// Takes over that a replica wants a rest. Of several, the one that ends last counts. A rest of no
    /// time is none.
    fn record_rest(
        &mut self,
        now: TimePoint,
        key: ReplicaKey,
        rest: RestPeriod,
        actions: &mut Vec<ForwardAction>,
    ) {
        let rest = rest.duration().min(REST_MAX);
        if rest.is_zero() {
            return;
        }
        let spread = rest.mul_f64(REST_SPREAD).min(REST_SPREAD_MAX);
        let spread = spread.mul_f64(self.registry.random.random_range(0.0..1.0));
        let Some(record) = self.registry.records.get_mut(&key) else {
            return;
        };
        let statements = &mut record.statements;
        statements.rest_until = statements.rest_until.max(now + rest + spread);
        statements.on_trial = true;
        actions.push(ForwardAction::Log(LoggedEvent::ReplicaRests {
            replica: record.entry.name.clone(),
            service: record.entry.service.clone(),
            period: statements.rest_until.since(now),
        }));
    }

    /// Lets a replica that has served a request after its rest get as many as others.
    fn end_trial(&mut self, key: ReplicaKey) {
        if let Some(record) = self.registry.records.get_mut(&key) {
            record.statements.on_trial = false;
        }
    }

    fn record_leaving(
        &mut self,
        now: TimePoint,
        key: ReplicaKey,
        actions: &mut Vec<ForwardAction>,
    ) {
        let Some(record) = self.registry.records.get_mut(&key) else {
            return;
        };
        if record.statements.leaving_since.is_some() {
            return;
        }
        record.statements.leaving_since = Some(now);
        actions.push(ForwardAction::Log(LoggedEvent::ReplicaLeaving {
            replica: record.entry.name.clone(),
            service: record.entry.service.clone(),
            listed_as_draining: record.entry.draining,
        }));
    }
}
