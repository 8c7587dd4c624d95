//! The loop's stop, and the phases before it.

use std::time::Duration;

use policy::peers::PeerEvent;
use schema::TimePoint;

use super::forward_loop::ForwardLoop;
use crate::{
    events,
    lifecycle::{
        LifeEvent,
        LifePhase, //
    },
    log_event, //
};

/// Time in which the balancer takes a VM out that is not ready: two checks a second apart, and the
/// connections on their way by then.
const QUIET_PERIOD: Duration = Duration::from_millis(2_600);
/// Time kept free before the end of the stop, for the last bytes to leave.
const STOP_MARGIN: Duration = Duration::from_millis(300);

impl ForwardLoop {
    /// Begins a graceful stop, or ends it at once.
    pub(super) fn stop(&mut self, now: TimePoint) {
        if self.phase() < LifePhase::Quiet {
            self.quiet_until = now + QUIET_PERIOD;
            self.stop_by = now + self.stop_bound.saturating_sub(STOP_MARGIN);
            self.tell_peers(now, PeerEvent::LeaveAsked);
        }
        self.turn_life(&LifeEvent::StopRequested);
    }

    /// Moves from phase to phase.
    pub(super) fn turn_life(&mut self, event: &LifeEvent) {
        let before = self.phase();
        self.life.handle(event);
        let phase = self.phase();
        if phase == before {
            return;
        }
        self.view.send_modify(|view| view.phase = phase);
        let requests = self.calls.len();
        let log = &self.notes.log;
        match phase {
            LifePhase::Starting => {}
            LifePhase::Ready => log_event!(log, events::READY),
            LifePhase::Quiet => log_event!(log, events::STOP_REQUESTED, "requests" => requests),
            LifePhase::Draining => log_event!(log, events::DRAINING, "requests" => requests),
            LifePhase::Stopped if requests > 0 => {
                log_event!(log, events::STOP_CUT, "requests" => requests);
            }
            LifePhase::Stopped => log_event!(log, events::STOPPED),
        }
    }
}
