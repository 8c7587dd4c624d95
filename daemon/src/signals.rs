//! Stop and reload requests from Unix signals.

use tokio::signal::unix::{
    signal,
    Signal,
    SignalKind, //
};

use crate::daemon_error::DaemonError;

/// The request that a signal stands for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SignalRequest {
    /// SIGTERM or SIGINT: stop gracefully; a second one ends the stop at once.
    Stop,
    /// SIGHUP: the settings file has changed.
    Reload,
}

/// Listeners for the signals that a daemon handles.
#[derive(Debug)]
pub(crate) struct SignalSet {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl SignalSet {
    /// Installs the handlers. From then on SIGHUP no longer ends the process.
    ///
    /// # Errors
    ///
    /// [`DaemonError::RuntimeFailed`] where a handler can't be installed.
    pub(crate) fn open() -> Result<Self, DaemonError> {
        let listen = |kind| signal(kind).map_err(DaemonError::RuntimeFailed);
        Ok(Self {
            terminate: listen(SignalKind::terminate())?,
            interrupt: listen(SignalKind::interrupt())?,
            hangup: listen(SignalKind::hangup())?,
        })
    }

    /// Calls `handle` for each signal until it returns false.
    pub(crate) async fn dispatch(mut self, mut handle: impl FnMut(SignalRequest) -> bool) {
        loop {
            let request = tokio::select! {
                Some(()) = self.terminate.recv() => SignalRequest::Stop,
                Some(()) = self.interrupt.recv() => SignalRequest::Stop,
                Some(()) = self.hangup.recv() => SignalRequest::Reload,
                else => return,
            };
            if !handle(request) {
                return;
            }
        }
    }
}
