//! Keeps the record of the fleet in the platform's store, and reports what the rates depend on.

use platform::put_fleet;
use policy::forward::ForwardEvent;
use schema::{
    FleetRecord,
    TimePoint, //
};
use tokio::task::spawn_local;

use super::{
    forward_loop::ForwardLoop,
    inbox_event::InboxEvent,
    store_reader::{
        ReadError,
        StoreReader, //
    },
};
use crate::{
    events,
    log_event, //
};

impl ForwardLoop {
    /// Writes the record of the fleet in a task of its own, if the item still has the revision `expected`.
    pub(super) fn write_fleet(&self, record: FleetRecord, expected: u64) {
        let (store, events) = (self.reader.clone(), self.events.clone());
        spawn_local(async move {
            let result = write(&store, &record, expected).await;
            // The channel is closed only when the process ends.
            let _ = events.send(InboxEvent::FleetWritten(result));
        });
    }

    /// Logs a write that failed. The engine tries again; what was written comes back with the directory.
    pub(super) fn end_fleet_write(&mut self, now: TimePoint, result: &Result<bool, ReadError>) {
        let outcome = match result {
            Ok(true) => "written",
            Ok(false) => "outdated",
            Err(_) => "failed",
        };
        let label = [("outcome", outcome)];
        self.metrics.fleet_writes.get_or_create(&label).inc();
        if !matches!(result, Ok(true)) && self.log.take_permit(now, true) {
            let problem = result.as_ref().err().map(ToString::to_string);
            log_event!(
                self.log.logger, events::FLEET_NOT_WRITTEN,
                "outcome" => outcome, "problem" => problem,
            );
        }
    }

    /// Tells the engine how old the directory is.
    pub(super) fn confirm_fleet(&mut self, now: TimePoint) {
        if self.engine.rates().limit_count() == 0 {
            return;
        }
        if let Some(age) = self.feed.age(now) {
            let at = now - age;
            self.dispatch(now, ForwardEvent::DirectoryKnown { at });
        }
    }

    /// Tells the engine if the machine was suspended since the last call.
    pub(super) fn check_suspension(&mut self) {
        if let Some(period) = self.suspension_watch.check() {
            let now = self.clock.now();
            self.dispatch(now, ForwardEvent::Suspended { period });
        }
    }
}

async fn write(
    store: &StoreReader,
    record: &FleetRecord,
    expected: u64,
) -> Result<bool, ReadError> {
    store.change(put_fleet(record, expected)?).await
}
