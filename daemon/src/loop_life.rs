//! Start and stop of the loop.

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
    log_event, //
    serving_view::ServingView,
};

impl DaemonCore {
    /// Sees the charges of a draining daemon off, once all is answered.
    pub(crate) fn finish_charges(&mut self, now: TimePoint) {
        if !self.charges_closed {
            self.charges_closed = true;
            self.tell_charges(now, ChargeEvent::StopRequested);
        }
        if self.charges_drained() {
            self.live(LifeEvent::Finished);
        }
    }

    /// Whether a draining daemon has answered all it was asked.
    pub(crate) fn is_answered(&self) -> bool {
        let answered = self.calls.is_empty() && self.engine.in_flight() == 0;
        self.front_closed && answered && self.claims.open_count() == 0
    }

    /// Starts the graceful stop; a second time, ends it.
    pub(crate) fn ask_stop(&mut self, now: TimePoint) {
        self.quiet_until = self.quiet_until.min(now + self.config.stop.quiet);
        self.stop_by = self.stop_by.min(now + self.config.stop.bound);
        self.live(LifeEvent::StopAsked);
        self.tell_peers(now, PeerEvent::LeaveRequested);
    }

    /// Moves the daemon's life on.
    pub(crate) fn live(&mut self, event: LifeEvent) {
        let before = self.phase();
        self.life.handle(&event);
        let phase = self.phase();
        if phase == before {
            return;
        }
        if self.life.inner().was_cut() {
            self.cut = self.calls.len();
            self.metrics.requests_cut.inc_by(self.cut as u64);
            self.note_lost();
        }
        self.publish();
        self.log_phase(phase);
    }

    /// Tells the ports what they need to know.
    pub(crate) fn publish(&self) {
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
            LifePhase::Quiet => log_event!(self.log, events::STOP_ASKED),
            LifePhase::Draining => log_event!(
                self.log, events::DRAINING,
                "requests" => self.calls.len(),
            ),
            LifePhase::Stopped if self.cut > 0 => {
                log_event!(self.log, events::STOP_CUT, "requests" => self.cut);
            }
            LifePhase::Stopped => log_event!(self.log, events::STOPPED),
        }
    }
}
