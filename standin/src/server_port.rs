//! A listening port that can be closed and reopened, and whose connections can be closed.

use std::{
    future::Future,
    io,
    net::{
        Ipv4Addr,
        Shutdown,
        SocketAddr,
        TcpListener as StdListener,
        TcpStream as StdStream, //
    },
    os::fd::OwnedFd,
    sync::{
        Arc,
        Mutex,
        Weak, //
    },
    time::Duration, //
};

use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    select,
    sync::watch,
    time::sleep, //
};

use crate::{
    lock,
    TaskHost, //
};

/// Interval between attempts to bind a port that is still in use.
const REBIND_INTERVAL: Duration = Duration::from_millis(5);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct PortState {
    open: bool,
    // Incremented to close all connections: each belongs to the epoch in which it was accepted.
    epoch: u64,
}

/// The listening port of a stand-in. Dropping the last clone closes it and its connections.
#[derive(Clone, Debug)]
pub(crate) struct ServerPort {
    address: SocketAddr,
    shared: Arc<PortShared>,
}

/// A handle for the tasks that serve the port; it does not keep the port open.
#[derive(Clone, Debug)]
pub(crate) struct WeakPort {
    address: SocketAddr,
    shared: Weak<PortShared>,
}

#[derive(Debug)]
struct PortShared {
    state: watch::Sender<PortState>,
    // A duplicate descriptor of the listening socket, so that `close` can shut the socket down
    // without waiting for the accepting task.
    listening_socket: Mutex<Option<StdListener>>,
    // A socket that `open` has bound and that the accepting task has not taken over yet.
    reopened_socket: Mutex<Option<StdListener>>,
}

impl PortShared {
    fn new() -> Self {
        let (state, _) = watch::channel(PortState {
            open: true,
            epoch: 0,
        });
        Self {
            state,
            listening_socket: Mutex::default(),
            reopened_socket: Mutex::default(),
        }
    }

    // Binds the port and keeps a second descriptor, by which connections are refused as soon as
    // `close` returns.
    fn bind(&self, address: SocketAddr) -> io::Result<StdListener> {
        let listener = StdListener::bind(address)?;
        listener.set_nonblocking(true)?;
        *lock(&self.listening_socket) = Some(listener.try_clone()?);
        Ok(listener)
    }

    fn close(&self) {
        self.state.send_modify(|state| {
            state.open = false;
            state.epoch += 1;
        });
        drop(lock(&self.reopened_socket).take());
        if let Some(listener) = lock(&self.listening_socket).take() {
            let socket = StdStream::from(OwnedFd::from(listener));
            let _ = socket.shutdown(Shutdown::Both);
        }
    }

    // Listens at once if the port can be bound; otherwise the accepting task retries.
    fn open(&self, address: SocketAddr) {
        if self.state.borrow().open {
            return;
        }
        *lock(&self.reopened_socket) = self.bind(address).ok();
        self.state.send_modify(|state| state.open = true);
    }
}

impl ServerPort {
    /// Binds a port assigned by the kernel. Connections are served only after a call of `listen`.
    pub(crate) fn bind() -> io::Result<(Self, StdListener)> {
        let shared = PortShared::new();
        let listener = shared.bind((Ipv4Addr::LOCALHOST, 0).into())?;
        let port = Self {
            address: listener.local_addr()?,
            shared: Arc::new(shared),
        };
        Ok((port, listener))
    }

    /// Accepts connections on `host` and runs `serve` on each.
    pub(crate) fn listen<F, S>(&self, host: &TaskHost, listener: StdListener, serve: F)
    where
        F: Fn(TcpStream) -> S + Send + Sync + 'static,
        S: Future<Output = ()> + Send + 'static,
    {
        let state = self.shared.state.subscribe();
        let port = self.downgrade();
        host.run(accept_all(listener, state, port, serve));
    }

    /// Loopback address that the port listens on; it stays the same when the port is reopened.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the port and every connection.
    pub(crate) fn close(&self) {
        self.shared.close();
    }

    /// Reopens the port.
    pub(crate) fn open(&self) {
        self.shared.open(self.address);
    }

    /// Closes every connection; the port stays open.
    pub(crate) fn close_connections(&self) {
        self.shared.state.send_modify(|state| state.epoch += 1);
    }

    /// Whether the port accepts connections.
    pub(crate) fn is_open(&self) -> bool {
        self.shared.state.borrow().open
    }

    /// Returns a handle that does not keep the port open.
    pub(crate) fn downgrade(&self) -> WeakPort {
        WeakPort {
            address: self.address,
            shared: Arc::downgrade(&self.shared),
        }
    }
}

impl WeakPort {
    /// Closes the port and every connection, the caller's own included.
    pub(crate) fn close(&self) {
        if let Some(shared) = self.shared.upgrade() {
            shared.close();
        }
    }

    /// Reopens the port.
    pub(crate) fn open(&self) {
        if let Some(shared) = self.shared.upgrade() {
            shared.open(self.address);
        }
    }

    fn has_reopened_socket(&self) -> bool {
        let shared = self.shared.upgrade();
        shared.is_some_and(|shared| lock(&shared.reopened_socket).is_some())
    }

    fn take_listener(&self) -> Option<TcpListener> {
        let shared = self.shared.upgrade()?;
        let reopened = lock(&shared.reopened_socket).take();
        let listener = reopened.or_else(|| shared.bind(self.address).ok())?;
        TcpListener::from_std(listener).ok()
    }
}

async fn accept_all<F, S>(
    listener: StdListener,
    mut state: watch::Receiver<PortState>,
    port: WeakPort,
    serve: F,
) where
    F: Fn(TcpStream) -> S + Send + Sync + 'static,
    S: Future<Output = ()> + Send + 'static,
{
    let mut listener = TcpListener::from_std(listener).ok();
    loop {
        let current = *state.borrow_and_update();
        if !current.open {
            listener = None;
            if state.changed().await.is_err() {
                return;
            }
            continue;
        }
        // The port may have been closed and reopened since this task last read the state.
        if port.has_reopened_socket() {
            listener = None;
        }
        let Some(bound) = &listener else {
            listener = port.take_listener();
            if listener.is_none() {
                sleep(REBIND_INTERVAL).await;
            }
            if state.has_changed().is_err() {
                return;
            }
            continue;
        };
        select! {
            biased;
            changed = state.changed() => {
                if changed.is_err() {
                    return;
                }
            }
            accepted = bound.accept() => {
                let Ok((stream, _)) = accepted else {
                    continue;
                };
                let _ = stream.set_nodelay(true);
                tokio::spawn(serve_until_closed(serve(stream), current.epoch, state.clone()));
            }
        }
    }
}

async fn serve_until_closed(
    connection: impl Future<Output = ()>,
    epoch: u64,
    mut state: watch::Receiver<PortState>,
) {
    select! {
        biased;
        _ = state.wait_for(|state| state.epoch != epoch) => {}
        () = connection => {}
    }
}
