//! The runtime that executes the stand-ins' tasks.

use std::{
    future::Future,
    io,
    sync::Arc,
    thread, //
};

use tokio::{
    runtime::{
        Builder,
        Handle, //
    },
    sync::oneshot, //
};

/// A handle to the runtime that stand-ins run on. Clones refer to the same runtime.
#[derive(Clone, Debug)]
pub struct TaskHost {
    handle: Handle,
    _thread: Option<Arc<HostThread>>,
}

impl TaskHost {
    /// Returns the runtime that the caller runs on.
    ///
    /// # Errors
    ///
    /// Returns an error outside a Tokio runtime.
    pub fn current() -> io::Result<Self> {
        let handle = Handle::try_current().map_err(io::Error::other)?;
        Ok(Self {
            handle,
            _thread: None,
        })
    }

    /// Starts a thread with a current-thread runtime; both end when the last clone is dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread or the runtime cannot be created.
    pub fn spawn() -> io::Result<Self> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let handle = runtime.handle().clone();
        let (stop, stopped) = oneshot::channel::<()>();
        let join = thread::Builder::new()
            .name("standin".into())
            .spawn(move || {
                let _ = runtime.block_on(stopped);
            })?;
        let thread = HostThread {
            stop: Some(stop),
            join: Some(join),
        };
        Ok(Self {
            handle,
            _thread: Some(Arc::new(thread)),
        })
    }

    /// Spawns `task` on the runtime.
    pub(crate) fn run(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.handle.spawn(task);
    }
}

#[derive(Debug)]
struct HostThread {
    stop: Option<oneshot::Sender<()>>,
    join: Option<thread::JoinHandle<()>>,
}

impl Drop for HostThread {
    fn drop(&mut self) {
        drop(self.stop.take());
        let Some(join) = self.join.take() else {
            return;
        };
        if join.thread().id() != thread::current().id() {
            let _ = join.join();
        }
    }
}
