//! Controls of a running daemon: the daemon reads them from a `RunControl`, and whoever runs it
//! holds the matching `RunHandle`.

use std::sync::Arc;

use schema::DeploymentSpec;
use tokio::sync::{
    mpsc::{
        unbounded_channel,
        UnboundedReceiver,
        UnboundedSender, //
    },
    oneshot, //
};

use crate::bound_addresses::BoundAddresses;

/// Controls that are passed to the daemon at its start.
#[derive(Debug)]
pub struct RunControl {
    /// Sends the addresses once they are bound.
    pub(crate) started: oneshot::Sender<BoundAddresses>,
    /// Stop requests: the first stops the daemon gracefully, the second at once.
    pub(crate) stop_requests: UnboundedReceiver<()>,
    /// Unsigned bundle to start with, for tests and measurements.
    pub bundle: Option<Arc<DeploymentSpec>>,
    /// Whether SIGTERM and SIGINT also stop the daemon.
    pub signals: bool,
}

/// Controls that whoever runs the daemon keeps. The daemon goes on if it is dropped.
#[derive(Debug)]
pub struct RunHandle {
    /// Receives the addresses once they are bound, or an error if the daemon could not start.
    pub started: oneshot::Receiver<BoundAddresses>,
    stop_requests: UnboundedSender<()>,
}

impl RunControl {
    /// Creates the connected pair for one daemon.
    pub fn new() -> (Self, RunHandle) {
        let (started, started_receiver) = oneshot::channel();
        let (stop_sender, stop_requests) = unbounded_channel();
        let control = Self {
            started,
            stop_requests,
            bundle: None,
            signals: false,
        };
        let handle = RunHandle {
            started: started_receiver,
            stop_requests: stop_sender,
        };
        (control, handle)
    }
}

impl RunHandle {
    /// Requests a graceful stop; a second call ends the stop at once.
    pub fn stop(&self) {
        // Sending fails only where the daemon has ended already.
        let _ = self.stop_requests.send(());
    }
}
