//! Lifecycle of the daemon: readiness, the graceful stop, and what it publishes and logs of them.

use policy::{
    charges::ChargeEvent,
    peers::PeerEvent, //
};
use schema::TimePoint;

use crate::{
    daemon_core::DaemonCore,
    events,
    lifecycle::{
        LifeEvent,
        LifePhase, //
    },
    log_event,
    serving_view::ServingView, //
};

impl DaemonCore {
    /// Ends the drain once no charge depends on this daemon. Called when all requests are answered.
    pub(crate) fn finish_charges(&mut self, now: TimePoint) {
        if !self.ledger_stopping {
            self.ledger_stopping = true;
            self.step_ledger(now, ChargeEvent::StopRequested);
        }
        if self.charges_drained() {
            self.advance_lifecycle(LifeEvent::WorkDrained);
        }
    }

    /// Whether a draining daemon has no request, claim or caller connection left.
    pub(crate) fn all_answered(&self) -> bool {
        let answered = self.calls.is_empty() && self.engine.in_flight() == 0;
        self.caller_port_closed && answered && self.claims.open_count() == 0
    }

    /// Starts the graceful stop; a second call ends it at once.
    pub(crate) fn request_stop(&mut self, now: TimePoint) {
        self.quiet_until = self.quiet_until.min(now + self.config.stop.quiet);
        self.stop_deadline = self.stop_deadline.min(now + self.config.stop.bound);
        self.advance_lifecycle(LifeEvent::StopRequested);
        self.step_peers(now, PeerEvent::LeaveRequested);
    }

    /// Passes an event to the lifecycle; publishes and logs a change of phase.
    pub(crate) fn advance_lifecycle(&mut self, event: LifeEvent) {
        let before = self.phase();
        self.lifecycle.handle(&event);
        let phase = self.phase();
        if phase == before {
            return;
        }
        if self.lifecycle.inner().was_cut() {
            self.requests_cut = self.calls.len();
            self.metrics.requests_cut.inc_by(self.requests_cut as u64);
            self.log_lost_charges();
        }
        self.publish_view();
        self.log_phase(phase);
    }

    /// Publishes bundle and phase to the callers' and the operators' ports.
    pub(crate) fn publish_view(&self) {
        self.view.send_replace(ServingView {
            spec: self.spec.clone(),
            phase: self.phase(),
            ..ServingView::default()
        });
    }

    fn log_phase(&self, phase: LifePhase) {
        match phase {
            LifePhase::Starting => {}
            LifePhase::Ready => log_event!(self.log, events::READY),
            LifePhase::Quiet => log_event!(self.log, events::STOP_REQUESTED),
            LifePhase::Draining => log_event!(
                self.log, events::DRAINING,
                "requests" => self.calls.len(),
            ),
            LifePhase::Stopped if self.requests_cut > 0 => {
                log_event!(self.log, events::STOP_CUT, "requests" => self.requests_cut);
            }
            LifePhase::Stopped => log_event!(self.log, events::STOPPED),
        }
    }
}
