//! Takes over what replicas say of themselves in their replies.
//!
//! A statement counts whatever the reply is, and holds for the start of the replica that made it. A
//! reply of another replica at the address says nothing about the one that was meant. That a replica
//! leaves is never taken back.

use schema::TimePoint;

use super::{
    forward_engine::AttemptContext,
    ForwardAction,
    ForwardEngine,
    ForwardReply,
    LoggedEvent,
    ReplicaKey, //
};

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
        if statements.leaving {
            self.record_leaving(now, context.replica, actions);
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
