//! Phases of the daemon, from its start to a graceful stop.

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

/// Time that the load balancer needs to stop using a VM that is not ready: two checks one second
/// apart, and the connections on their way until then.
const QUIET_PERIOD: Duration = Duration::from_millis(2_600);
/// Time kept free at the end of the allowed stop time, in which the last replies are written.
const STOP_MARGIN: Duration = Duration::from_millis(300);

impl ForwardLoop {
    /// Begins a graceful stop; if one is under way, ends it at once.
    pub(super) fn stop(&mut self, now: TimePoint) {
        if self.phase() < LifePhase::Quiet {
            self.quiet_until = now + QUIET_PERIOD;
            self.stop_deadline = now + self.stop_bound.saturating_sub(STOP_MARGIN);
            self.update_peers(now, PeerEvent::LeaveRequested);
        }
        self.advance_lifecycle(&LifeEvent::StopRequested);
    }

    /// Passes an event to the state machine; publishes and logs a change of phase.
    pub(super) fn advance_lifecycle(&mut self, event: &LifeEvent) {
        let old_phase = self.phase();
        self.lifecycle.handle(event);
        let phase = self.phase();
        if phase == old_phase {
            return;
        }
        self.view.send_modify(|view| view.phase = phase);
        let requests = self.requests.len();
        let logger = &self.log.logger;
        match phase {
            LifePhase::Starting => {}
            LifePhase::Ready => log_event!(logger, events::READY),
            LifePhase::Quiet => log_event!(logger, events::STOP_REQUESTED, "requests" => requests),
            LifePhase::Draining => log_event!(logger, events::DRAINING, "requests" => requests),
            LifePhase::Stopped if requests > 0 => {
                log_event!(logger, events::STOP_CUT, "requests" => requests);
            }
            LifePhase::Stopped => log_event!(logger, events::STOPPED),
        }
    }
}
