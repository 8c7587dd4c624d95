//! Attributes crashes of replicas to the requests that ran on them.

use schema::TimePoint;

use super::{
    forward_engine::AttemptContext,
    ForwardAction,
    ForwardEngine,
    LoggedEvent,
    ProbeOutcome,
    ReplicaKey, //
};

impl ForwardEngine {
    /// Handles a connection that broke while a replica ran an attempt: asks for a probe of the
    /// replica. A replica that is draining or no longer listed ends without a crash.
    pub(super) fn watch_broken_attempt(
        &mut self,
        now: TimePoint,
        context: &AttemptContext,
        actions: &mut Vec<ForwardAction>,
    ) {
        let Some(record) = self.registry.records.get(&context.replica) else {
            return;
        };
        if !record.listed || record.entry.draining {
            return;
        }
        if self.probes.add(now, context.replica) {
            actions.push(ForwardAction::Probe {
                replica: context.replica,
                address: record.entry.address,
            });
        }
    }

    /// Handles the outcome of a probe.
    pub(super) fn on_probed(
        &mut self,
        now: TimePoint,
        key: ReplicaKey,
        outcome: ProbeOutcome,
        actions: &mut Vec<ForwardAction>,
    ) {
        let accepted = outcome == ProbeOutcome::Accepted;
        let requests = self.probes.finish(now, key, accepted);
        let record = self.registry.records.get(&key);
        let Some(record) = record.filter(|_| outcome == ProbeOutcome::Refused) else {
            return;
        };
        actions.push(ForwardAction::Log(LoggedEvent::ReplicaCrashed {
            replica: record.entry.name.clone(),
            service: record.entry.service.clone(),
            requests,
        }));
    }
}
