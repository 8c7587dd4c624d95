//! Signals of the process.

use tokio::signal::unix::{
    signal,
    Signal,
    SignalKind, //
};

use crate::daemon_error::DaemonError;

/// What a signal asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SignalRequest {
    /// Stop; a second time, at once.
    Stop,
    /// The settings file has changed.
    Reload,
}

/// The signals that a daemon listens to.
#[derive(Debug)]
pub(crate) struct SignalSet {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl SignalSet {
    /// Starts to listen; a hang-up no longer ends the process from here on.
    ///
    /// # Errors
    ///
    /// [`DaemonError::RuntimeFailed`] where the system refuses.
    pub(crate) fn open() -> Result<Self, DaemonError> {
        let open = |kind| signal(kind).map_err(DaemonError::RuntimeFailed);
        Ok(Self {
            terminate: open(SignalKind::terminate())?,
            interrupt: open(SignalKind::interrupt())?,
            hangup: open(SignalKind::hangup())?,
        })
    }

    /// Hands each signal to `pass` until that returns false.
    pub(crate) async fn pass(mut self, mut pass: impl FnMut(SignalRequest) -> bool) {
        loop {
            let request = tokio::select! {
                Some(()) = self.terminate.recv() => SignalRequest::Stop,
                Some(()) = self.interrupt.recv() => SignalRequest::Stop,
                Some(()) = self.hangup.recv() => SignalRequest::Reload,
                else => return,
            };
            if !pass(request) {
                return;
            }
        }
    }
}
