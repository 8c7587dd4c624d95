//! Connections to upstreams.

use std::{
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

use crate::loop_event::LoopEvent;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// An open connection that carries one exchange at a time. Dropping it closes the socket.
#[derive(Debug)]
pub(crate) struct UpstreamLink {
    /// Sends the request of the next exchange.
    pub(crate) sender: SendRequest<Full<Bytes>>,
    /// The upstream's address as the `host` header carries it.
    pub(crate) host: HeaderValue,
    /// Whether it has carried an exchange.
    pub(crate) used: bool,
    /// When it last became idle.
    pub(crate) idle_since: TimePoint,
    /// How long it may be idle, where the upstream says so.
    pub(crate) idle_limit: Option<Duration>,
    driver: AbortHandle,
}

impl UpstreamLink {
    /// Whether an exchange may start on it.
    pub(crate) fn is_usable(&self) -> bool {
        !self.sender.is_closed() && self.sender.is_ready()
    }
}

impl Drop for UpstreamLink {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Calls back once a connection's socket is closed.
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
    /// Opens a connection within `patience`; `on_close` is called once its socket is closed.
    pub(crate) async fn connect(
        address: SocketAddr,
        patience: Duration,
        on_close: impl FnOnce() + 'static,
    ) -> Option<Self> {
        let stream = timeout(patience, TcpStream::connect(address))
            .await
            .ok()?
            .ok()?;
        stream.set_nodelay(true).ok()?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        let guard = CloseGuard {
            on_close: Some(on_close),
        };
        let driver = spawn_local(async move {
            // An error of the connection also ends its exchange, which reports it. The connection
            // is dropped before the guard, which is dropped with the task.
            let _guard = guard;
            let _ = connection.await;
        });
        Some(Self {
            sender,
            host: HeaderValue::try_from(address.to_string()).ok()?,
            used: false,
            idle_since: TimePoint::default(),
            idle_limit: None,
            driver: driver.abort_handle(),
        })
    }
}

/// Opens a connection and reports [`LoopEvent::LinkOpened`] or [`LoopEvent::LinkFailed`]. After
/// the first of the two, [`LoopEvent::LinkClosed`] follows once the socket is closed.
pub(crate) async fn open_link(vm: VmName, address: SocketAddr, events: UnboundedSender<LoopEvent>) {
    let (name, closed) = (vm.clone(), events.clone());
    let on_close = move || {
        // The loop is gone only when the process ends.
        let _ = closed.send(LoopEvent::LinkClosed(name));
    };
    let event = match UpstreamLink::connect(address, CONNECT_TIMEOUT, on_close).await {
        Some(link) => LoopEvent::LinkOpened(vm, link),
        None => LoopEvent::LinkFailed(vm),
    };
    let _ = events.send(event);
}
