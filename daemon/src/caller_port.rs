//! Accepts callers' connections and closes them gracefully.

use std::{
    future::Future,
    net::{
        IpAddr,
        SocketAddr, //
    },
    pin::Pin,
    sync::{
        atomic::{
            AtomicBool,
            Ordering, //
        },
        Arc,
    },
    time::Duration, //
};

use axum::Router;
use hyper::{
    body::Incoming,
    server::conn::http1,
    service::Service, //
};
use hyper_util::{
    rt::{
        TokioIo,
        TokioTimer, //
    },
    service::TowerToHyperService, //
};
use socket2::SockRef;
use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::watch,
    task::JoinSet,
    time::{
        sleep,
        timeout, //
    },
};

use crate::{
    counted_stream::CountedStream,
    intake::{
        IntakeGate,
        IntakeSlot, //
    },
    lifecycle::LifePhase,
    serving_view::ServingView, //
};

/// Once the daemon drains, a connection that has not carried a request is closed after this time.
const UNUSED_CLOSE_DELAY: Duration = Duration::from_secs(1);
/// Delay before the next accept after one failed, so that a lack of file descriptors does not cause
/// a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Time to write a refusal to a caller that has made no progress.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(500);
/// Unread bytes that the system keeps for a connection. With the system's default, which grows to
/// several megabytes, a hundred callers could use up the memory of the smallest VM.
const RECEIVE_BUFFER_BYTES: usize = 64 * 1024;
/// Smallest buffer that the HTTP library accepts.
const BUFFER_MIN_BYTES: usize = 8192;

/// IP address from which a request came; an extension of every request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallerAddress(pub(crate) IpAddr);

/// A listening socket that serves HTTP requests.
#[derive(Debug)]
pub(crate) struct CallerPort {
    pub(crate) listener: TcpListener,
    pub(crate) routes: Router,
    /// Largest header block, in bytes. The HTTP library's buffer, which is the hard limit, is at
    /// least twice that.
    pub(crate) header_max_bytes: usize,
    /// Limits on open connections and on the bytes of their requests. While all connections are being
    /// served, further ones wait in the listener's backlog.
    pub(crate) intake: IntakeGate,
    /// Longest time a caller may take to send its headers, and longest time a connection may be
    /// idle.
    pub(crate) idle_timeout: Duration,
    /// Phase of the daemon, which tells when to drain.
    pub(crate) view: watch::Receiver<ServingView>,
}

impl CallerPort {
    /// Serves until the daemon drains and every connection has finished. Connections that are
    /// already in the listener's backlog at that time are still accepted.
    pub(crate) async fn serve(mut self) {
        // Unread bytes of a connection take memory too. A failure leaves the system's default.
        let _ = SockRef::from(&self.listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
        let mut connections = JoinSet::new();
        loop {
            let has_room = self.intake.can_open();
            tokio::select! {
                () = wait_for_drain(&mut self.view) => break,
                Some(_) = connections.join_next() => {}
                () = self.intake.wait_for_connections(), if !has_room => {}
                accepted = self.listener.accept(), if has_room => self.start_connection(accepted, &mut connections).await,
            }
        }
        while let Ok(accepted) = timeout(Duration::ZERO, self.listener.accept()).await {
            self.start_connection(accepted, &mut connections).await;
        }
        drop(self.listener);
        while connections.join_next().await.is_some() {}
    }

    async fn start_connection(
        &self,
        accepted: std::io::Result<(TcpStream, SocketAddr)>,
        connections: &mut JoinSet<()>,
    ) {
        let Ok((stream, address)) = accepted else {
            sleep(ACCEPT_RETRY_DELAY).await;
            return;
        };
        let Some(slot) = self.intake.open(address.ip()) else {
            return;
        };
        let _ = stream.set_nodelay(true);
        let buffer_bytes = (2 * self.header_max_bytes).max(BUFFER_MIN_BYTES);
        let routes = self.routes.clone();
        let idle = self.idle_timeout;
        connections.spawn_local(serve_connection(
            CountedStream {
                stream,
                counter: slot,
            },
            CallerAddress(address.ip()),
            routes,
            buffer_bytes,
            idle,
            self.view.clone(),
        ));
    }
}

async fn serve_connection(
    stream: CountedStream<IntakeSlot>,
    address: CallerAddress,
    routes: Router,
    buffer_bytes: usize,
    idle_timeout: Duration,
    mut view: watch::Receiver<ServingView>,
) {
    let used = Arc::new(AtomicBool::new(false));
    let slot = stream.counter.clone();
    let service = RequestMarker {
        inner: TowerToHyperService::new(routes),
        used: used.clone(),
        address,
        slot: slot.clone(),
    };
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout)
        .max_buf_size(buffer_bytes)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    // An error of the connection is ignored: it concerns only its caller, and the guard of the
    // request reports it.
    tokio::select! {
        _ = connection.as_mut() => return,
        () = slot.dropped() => {
            // The handler that reads the body answers; without one there is nothing to answer.
            if slot.is_reading_body() {
                connection.as_mut().graceful_shutdown();
                let _ = timeout(REFUSAL_TIMEOUT, connection).await;
            }
            return;
        }
        () = wait_for_drain(&mut view) => connection.as_mut().graceful_shutdown(),
    }
    tokio::select! {
        _ = connection.as_mut() => return,
        () = sleep(UNUSED_CLOSE_DELAY) => {}
    }
    if used.load(Ordering::Relaxed) {
        let _ = connection.await;
    }
}

async fn wait_for_drain(view: &mut watch::Receiver<ServingView>) {
    // An error means that the main loop has ended, which also starts the drain.
    let _ = view
        .wait_for(|view| view.phase >= LifePhase::Draining)
        .await;
}

/// Records that a connection has carried a request, and adds the caller's address to it.
struct RequestMarker {
    inner: TowerToHyperService<Router>,
    used: Arc<AtomicBool>,
    address: CallerAddress,
    slot: IntakeSlot,
}

/// Frees what a request holds in the budget when its reply is ready or the connection has ended.
struct RequestGuard(IntakeSlot);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.end_request();
    }
}

impl Service<http::Request<Incoming>> for RequestMarker {
    type Response = <TowerToHyperService<Router> as Service<http::Request<Incoming>>>::Response;
    type Error = <TowerToHyperService<Router> as Service<http::Request<Incoming>>>::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>>>>;

    fn call(&self, mut request: http::Request<Incoming>) -> Self::Future {
        self.used.store(true, Ordering::Relaxed);
        request.extensions_mut().insert(self.address);
        request.extensions_mut().insert(self.slot.clone());
        self.slot.start_request();
        let guard = RequestGuard(self.slot.clone());
        let reply = self.inner.call(request);
        Box::pin(async move {
            let _guard = guard;
            reply.await
        })
    }
}
