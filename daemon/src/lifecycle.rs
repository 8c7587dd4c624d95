//! State machine of a daemon's lifecycle, from its start to the end of the stop.

use std::fmt;

use serde::Serialize;
use statig::prelude::*;

/// Phase of a daemon's lifecycle.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LifePhase {
    /// Not ready: the configuration or the upstreams are not known yet.
    #[default]
    Starting,
    /// Serving requests and reporting ready.
    Ready,
    /// Stopping: reports not ready but still accepts requests, until load balancers have noticed.
    Quiet,
    /// Stopping: accepts no new connections and finishes the requests in flight.
    Draining,
    /// The stop is complete or was cut short.
    Stopped,
}

impl fmt::Display for LifePhase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Starting => "starting",
            Self::Ready => "ready",
            Self::Quiet => "quiet",
            Self::Draining => "draining",
            Self::Stopped => "stopped",
        })
    }
}

/// An event that moves a daemon from one phase to another.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LifeEvent {
    /// The configuration is in force and the upstreams are known.
    PrerequisitesMet,
    /// A stop was requested by signal or by whoever runs the daemon.
    StopRequested,
    /// The quiet period, `stop.quiet_ms`, has ended.
    QuietEnded,
    /// No request is in flight and no charge depends on this daemon.
    WorkDrained,
    /// The stop has taken longer than `stop.bound_ms`.
    StopTimedOut,
}

/// Data of the state machine: the current phase and whether the stop was cut short.
#[derive(Debug, Default)]
pub struct DaemonLife {
    phase: LifePhase,
    was_cut: bool,
}

impl DaemonLife {
    /// A new state machine in [`LifePhase::Starting`].
    pub fn machine() -> StateMachine<Self> {
        Self::default().state_machine()
    }

    /// The current phase.
    pub fn phase(&self) -> LifePhase {
        self.phase
    }

    /// Whether the stop ended at its time limit or at a second request, and may have cut requests.
    pub fn was_cut(&self) -> bool {
        self.was_cut
    }
}

#[state_machine(initial = "State::starting()", state(derive(Debug)))]
impl DaemonLife {
    #[state(entry_action = "enter_starting")]
    fn starting(event: &LifeEvent) -> Outcome<State> {
        match event {
            LifeEvent::PrerequisitesMet => Transition(State::ready()),
            LifeEvent::StopRequested => Transition(State::draining()),
            _ => Handled,
        }
    }

    #[action]
    fn enter_starting(&mut self) {
        self.phase = LifePhase::Starting;
    }

    #[state(entry_action = "enter_ready")]
    fn ready(event: &LifeEvent) -> Outcome<State> {
        match event {
            LifeEvent::StopRequested => Transition(State::quiet()),
            _ => Handled,
        }
    }

    #[action]
    fn enter_ready(&mut self) {
        self.phase = LifePhase::Ready;
    }

    #[state(entry_action = "enter_quiet", superstate = "stopping")]
    fn quiet(event: &LifeEvent) -> Outcome<State> {
        match event {
            LifeEvent::QuietEnded => Transition(State::draining()),
            _ => Super,
        }
    }

    #[action]
    fn enter_quiet(&mut self) {
        self.phase = LifePhase::Quiet;
    }

    #[state(entry_action = "enter_draining", superstate = "stopping")]
    fn draining(event: &LifeEvent) -> Outcome<State> {
        match event {
            LifeEvent::WorkDrained => Transition(State::stopped()),
            _ => Super,
        }
    }

    #[action]
    fn enter_draining(&mut self) {
        self.phase = LifePhase::Draining;
    }

    /// A second stop request, or the time limit, ends the stop at once.
    #[superstate]
    fn stopping(&mut self, event: &LifeEvent) -> Outcome<State> {
        match event {
            LifeEvent::StopRequested | LifeEvent::StopTimedOut => {
                self.was_cut = true;
                Transition(State::stopped())
            }
            _ => Handled,
        }
    }

    #[state(entry_action = "enter_stopped")]
    fn stopped() -> Outcome<State> {
        Handled
    }

    #[action]
    fn enter_stopped(&mut self) {
        self.phase = LifePhase::Stopped;
    }
}
