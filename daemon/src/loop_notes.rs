//! Log lines for the decisions that the query engine reports.

use policy::engine::EngineNote;

use crate::{
    daemon_core::DaemonCore,
    events,
    log_event, //
};

impl DaemonCore {
    /// Logs a decision of the query engine.
    pub(crate) fn log_engine_note(&self, note: &EngineNote) {
        let log = &self.log;
        match note {
            EngineNote::BundleApplied { version } => {
                log_event!(log, events::BUNDLE_APPLIED, "version" => version.0);
            }
            EngineNote::ReplicaEjected { vm } => {
                log_event!(log, events::REPLICA_EJECTED, "vm" => %vm);
            }
            EngineNote::ReplicaRestored { vm } => {
                log_event!(log, events::REPLICA_RESTORED, "vm" => %vm);
            }
            EngineNote::ReplicaDraining { vm } => {
                log_event!(log, events::REPLICA_DRAINING, "vm" => %vm);
            }
            EngineNote::QueryQuarantined { print } => {
                log_event!(log, events::QUERY_QUARANTINED, "print" => %print);
            }
            EngineNote::ConnectionSilent { vm } => {
                log_event!(log, events::CONNECTION_SILENT, "vm" => %vm);
            }
            EngineNote::GroupOverloaded { group } => {
                log_event!(log, events::GROUP_OVERLOADED, "group" => %group);
            }
        }
    }
}
