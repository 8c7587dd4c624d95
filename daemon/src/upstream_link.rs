//! Connections to upstreams.

use std::{
    io,
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use http::HeaderValue;
use http_body_util::Full;
use hyper::client::conn::http1::{
    self,
    SendRequest, //
};
use hyper_util::rt::TokioIo;
use policy::forward::ExchangeHistory;
use schema::{
    TimePoint,
    VmName, //
};
use tokio::{
    net::TcpStream,
    sync::mpsc::UnboundedSender,
    task::{
        spawn_local,
        AbortHandle, //
    },
    time::timeout, //
};

use crate::{
    counted_stream::CountedStream,
    loop_event::LoopEvent,
    read_allowance::ReadAllowance, //
};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Largest head of a reply, and largest part of a reply that is read ahead, in bytes.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Bytes that may be read for a reply before its head is complete. Some of its body may be among
/// them, and informational responses.
const HEAD_ALLOWANCE_BYTES: usize = 2 * READ_BUFFER_BYTES;

/// Why a connection to an upstream could not be opened.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ConnectFailure {
    /// The upstream's VM runs, but nothing listens at the address.
    Refused,
    /// The connection could not be opened in time, or for another reason.
    Failed,
}

impl From<io::Error> for ConnectFailure {
    fn from(error: io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::ConnectionRefused => Self::Refused,
            _ => Self::Failed,
        }
    }
}

/// An open connection that carries one exchange at a time. Dropping it closes the socket.
#[derive(Debug)]
pub(crate) struct UpstreamLink {
    /// Sends the request of the next exchange.
    pub(crate) sender: SendRequest<Full<Bytes>>,
    /// Address of the upstream, as the `host` header carries it.
    pub(crate) host: HeaderValue,
    /// Whether the connection has carried an exchange.
    pub(crate) used: bool,
    /// When the connection last became idle.
    pub(crate) idle_since: TimePoint,
    /// How long the connection may be idle, where the upstream announces a limit.
    pub(crate) idle_limit: Option<Duration>,
    /// Its exchanges for callers. Stays empty where each attempt has an id of its own.
    pub(crate) history: ExchangeHistory,
    allowance: ReadAllowance,
    connection_task: AbortHandle,
}

impl UpstreamLink {
    /// Marks the connection as used, and allows the bytes of the head of the next reply.
    pub(crate) fn start_exchange(&mut self) {
        self.used = true;
        self.allowance.set(HEAD_ALLOWANCE_BYTES);
    }

    /// Allows the bytes of a body of at most `max_bytes`, with as many bytes for its framing.
    pub(crate) fn allow_body(&self, max_bytes: usize) {
        self.allowance.set(HEAD_ALLOWANCE_BYTES + 2 * max_bytes);
    }

    /// Whether the reply was broken off because more bytes came than are allowed.
    pub(crate) fn is_overrun(&self) -> bool {
        self.allowance.is_used_up()
    }

    /// Returns whether an exchange may start on the connection.
    pub(crate) fn is_usable(&self) -> bool {
        !self.sender.is_closed() && self.sender.is_ready()
    }
}

impl Drop for UpstreamLink {
    fn drop(&mut self) {
        self.connection_task.abort();
    }
}

/// Calls `on_close` when it is dropped, which is after the socket was closed.
struct CloseGuard<F: FnOnce()> {
    on_close: Option<F>,
}

impl<F: FnOnce()> Drop for CloseGuard<F> {
    fn drop(&mut self) {
        if let Some(on_close) = self.on_close.take() {
            on_close();
        }
    }
}

impl UpstreamLink {
    /// Opens a connection within `connect_timeout`; `on_close` is called once its socket is closed.
    ///
    /// # Errors
    ///
    /// [`ConnectFailure`] if there is no connection by then.
    pub(crate) async fn connect(
        address: SocketAddr,
        connect_timeout: Duration,
        on_close: impl FnOnce() + 'static,
    ) -> Result<Self, ConnectFailure> {
        let connected = timeout(connect_timeout, TcpStream::connect(address)).await;
        let stream = connected.map_err(|_| ConnectFailure::Failed)??;
        stream.set_nodelay(true)?;
        let allowance = ReadAllowance::default();
        let stream = CountedStream {
            stream,
            counter: allowance.clone(),
        };
        let handshake = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await;
        let (sender, connection) = handshake.map_err(|_| ConnectFailure::Failed)?;
        let guard = CloseGuard {
            on_close: Some(on_close),
        };
        let connection_task = spawn_local(async move {
            // An error of the connection also ends its exchange, which reports it. The connection
            // is dropped before the guard, which is dropped with the task.
            let _guard = guard;
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            host: HeaderValue::try_from(address.to_string()).map_err(|_| ConnectFailure::Failed)?,
            used: false,
            idle_since: TimePoint::default(),
            idle_limit: None,
            history: ExchangeHistory::default(),
            allowance,
            connection_task: connection_task.abort_handle(),
        })
    }
}

/// Opens a connection and reports [`LoopEvent::LinkOpened`] or [`LoopEvent::LinkFailed`]. After
/// the first of the two, [`LoopEvent::LinkClosed`] follows once the socket is closed.
pub(crate) async fn open_link(vm: VmName, address: SocketAddr, events: UnboundedSender<LoopEvent>) {
    let (name, close_events) = (vm.clone(), events.clone());
    let on_close = move || {
        // Sending fails only when the process ends.
        let _ = close_events.send(LoopEvent::LinkClosed(name));
    };
    let event = match UpstreamLink::connect(address, CONNECT_TIMEOUT, on_close).await {
        Ok(link) => LoopEvent::LinkOpened(vm, link),
        Err(_) => LoopEvent::LinkFailed(vm),
    };
    let _ = events.send(event);
}
