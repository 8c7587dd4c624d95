//! Starts and ends what the forwarding loop asks of the store about requests that crash their replicas.

use policy::forward::ForwardEvent;
use schema::{
    CrashNotice,
    QueryId,
    QueryPrint,
    TimePoint, //
};
use tokio::task::spawn_local;

use super::{
    crash_store::{
        claim,
        KeepOrder, //
    },
    forward_loop::ForwardLoop,
    inbox_event::InboxEvent,
    store_reader::ReadError, //
};
use crate::{
    events,
    log_event, //
};

impl ForwardLoop {
    /// Has the store keep or forget the crashes under a request.
    pub(super) fn keep_crashes(&self, order: KeepOrder) {
        // The keeper ends only with the process.
        let _ = self.keep_orders.send(order);
    }

    /// Claims a trial of a refused request in a task of its own, which reports the outcome to the loop.
    pub(super) fn claim_trial(&self, now: TimePoint, query: QueryId, notice: CrashNotice) {
        let (store, events) = (self.reader.clone(), self.events.clone());
        let print = notice.print;
        spawn_local(async move {
            let outcome = claim(store, now, notice).await;
            // The channel is closed only when the process ends.
            let _ = events.send(InboxEvent::TrialClaimed(query, print, outcome));
        });
    }

    /// Logs a notice that the store could not be told of, and reports the result to the engine.
    pub(super) fn end_keep(
        &mut self,
        now: TimePoint,
        print: QueryPrint,
        result: &Result<bool, ReadError>,
    ) {
        if let Err(error) = result {
            if self.log.take_permit(now, true) {
                log_event!(
                    self.log.logger, events::CRASHES_NOT_KEPT,
                    "print" => %print, "problem" => error.to_string(),
                );
            }
        }
        let kept = matches!(result, Ok(true));
        self.dispatch(now, ForwardEvent::CrashesKept { print, kept });
    }
}
