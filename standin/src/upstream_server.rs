//! Stand-in for an upstream.

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::{
        atomic::{
            AtomicU64,
            Ordering, //
        },
        Arc, //
    },
    time::Instant,
};

use bytes::Bytes;
use http::{
    Method,
    Request,
    Response,
    StatusCode, //
};
use http_body_util::{
    BodyExt,
    Limited, //
};
use hyper::{
    body::Incoming,
    server::conn::http1,
    service::service_fn, //
};
use hyper_util::rt::TokioIo;
use schema::{
    platform::VmEntry,
    upstream::{
        RunCall,
        RunReply, //
    },
};
use tokio::{
    net::TcpStream,
    time::sleep, //
};

use crate::{
    blackhole_stream::BlackholeStream,
    lock,
    reply_body::ReplyBody,
    server_port::ServerPort,
    upstream_work::{
        ReplyFault,
        UpstreamWork,
        DRAINING,
        SHED, //
    },
    DrainMode,
    RunLog,
    StandinError,
    TaskHost,
    UpstreamCounts,
    UpstreamSettings, //
};

/// Largest accepted request body, in bytes.
const MAX_CALL_BYTES: usize = 4 << 20;

/// An upstream that serves one replica of a shard on its own port.
#[derive(Debug)]
pub struct UpstreamServer {
    port: ServerPort,
    work: UpstreamWork,
    blackhole_generation: Arc<AtomicU64>,
    _host: TaskHost,
}

impl UpstreamServer {
    /// Starts an upstream that runs on `host` and counts its runs in `log`.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is available.
    pub fn start(
        host: &TaskHost,
        settings: UpstreamSettings,
        log: &RunLog,
    ) -> Result<Self, StandinError> {
        let (port, listener) = ServerPort::bind()?;
        let work = UpstreamWork::new(settings, log.clone(), port.downgrade());
        let blackhole_generation = Arc::new(AtomicU64::new(0));
        let connection_work = work.clone();
        let generation = Arc::clone(&blackhole_generation);
        port.listen(host, listener, move |stream| {
            serve(connection_work.clone(), stream, Arc::clone(&generation))
        });
        Ok(Self {
            port,
            work,
            blackhole_generation,
            _host: host.clone(),
        })
    }

    /// Starts an upstream on a new thread.
    ///
    /// # Errors
    ///
    /// Returns an error if no port or thread is available.
    pub fn spawn(settings: UpstreamSettings, log: &RunLog) -> Result<Self, StandinError> {
        Self::start(&TaskHost::spawn()?, settings, log)
    }

    /// Loopback address that the upstream listens on.
    pub fn address(&self) -> SocketAddr {
        self.port.address()
    }

    /// The entry of the upstream in the VM list, in state `live`.
    pub fn vm_entry(&self) -> VmEntry {
        let settings = self.settings();
        VmEntry {
            name: settings.vm,
            address: self.address().to_string(),
            peer: String::new(),
            zone: settings.zone,
            role: "upstream".into(),
            group: settings.group,
            shard: settings.shard,
            state: "live".into(),
        }
    }

    /// A copy of the current settings.
    pub fn settings(&self) -> UpstreamSettings {
        lock(&self.work.state).settings.clone()
    }

    /// Changes the settings while the upstream runs.
    pub fn adjust(&self, change: impl FnOnce(&mut UpstreamSettings)) {
        let state = &mut *lock(&self.work.state);
        change(&mut state.settings);
        if state.settings.drain == DrainMode::Off {
            state.drain_started = None;
        } else if state.drain_started.is_none() {
            state.drain_started = Some(Instant::now());
        }
    }

    /// The counters as they are now.
    pub fn counts(&self) -> UpstreamCounts {
        lock(&self.work.state).counts
    }

    /// Closes the port and every connection, as if the process had died.
    pub fn kill(&self) {
        self.port.close();
    }

    /// Reopens the port and begins a new warm-up period.
    pub fn restart(&self) {
        lock(&self.work.state).started = Instant::now();
        self.port.open();
    }

    /// Whether the upstream accepts connections.
    pub fn is_up(&self) -> bool {
        self.port.is_open()
    }

    /// Closes every connection; the port stays open.
    pub fn close_connections(&self) {
        self.port.close_connections();
    }

    /// Turns the connections that are open now into black holes: they stay open and carry no more
    /// data in either direction. New connections work.
    pub fn blackhole_connections(&self) {
        self.blackhole_generation.fetch_add(1, Ordering::Relaxed);
    }
}

async fn serve(work: UpstreamWork, stream: TcpStream, generation: Arc<AtomicU64>) {
    let Some(_connection) = ConnectionGuard::admit(&work) else {
        return;
    };
    let connect_delay = lock(&work.state).settings.connect_delay;
    sleep(connect_delay).await;
    let stream = BlackholeStream::new(stream, generation);
    let service = service_fn(move |request| answer(work.clone(), request));
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn answer(
    work: UpstreamWork,
    request: Request<Incoming>,
) -> Result<Response<ReplyBody>, Infallible> {
    if request.method() != Method::POST || request.uri().path() != "/v1/run" {
        return Ok(ReplyBody::empty(StatusCode::NOT_FOUND));
    }
    let body = Limited::new(request.into_body(), MAX_CALL_BYTES)
        .collect()
        .await;
    let Ok(body) = body else {
        return Ok(ReplyBody::empty(StatusCode::BAD_REQUEST));
    };
    let Ok(call) = serde_json::from_slice::<RunCall>(&body.to_bytes()) else {
        return Ok(ReplyBody::empty(StatusCode::BAD_REQUEST));
    };
    delay_message(&work, &call.zone).await;
    let reply = work.run(&call).await;
    delay_message(&work, &call.zone).await;
    Ok(build_response(reply, work.sample_fault()))
}

// Waits for the time that a message takes between the two data centres, or forever if they are
// partitioned.
async fn delay_message(work: &UpstreamWork, zone: &str) {
    match work.sample_link_delay(zone) {
        Some(delay) if delay.is_zero() => {}
        Some(delay) => sleep(delay).await,
        None => std::future::pending().await,
    }
}

fn build_response(mut reply: RunReply, fault: ReplyFault) -> Response<ReplyBody> {
    let is_rejection = |refusal: &str| refusal == SHED || refusal == DRAINING;
    let status = if reply
        .replies
        .iter()
        .all(|task_reply| is_rejection(&task_reply.refusal))
    {
        StatusCode::SERVICE_UNAVAILABLE
    } else {
        StatusCode::OK
    };
    if fault == ReplyFault::WrongEcho {
        for task_reply in &mut reply.replies {
            task_reply.attempt.push('0');
        }
    }
    if fault == ReplyFault::Malformed {
        return ReplyBody::raw(status, Bytes::from_static(b"{\"replies\":[{]"));
    }
    if fault == ReplyFault::Truncated {
        let bytes = serde_json::to_vec(&reply).unwrap_or_default();
        return ReplyBody::truncated(status, &bytes.into());
    }
    ReplyBody::json(status, &reply)
}

/// Counts a connection as open until it is dropped.
struct ConnectionGuard(UpstreamWork);

impl ConnectionGuard {
    fn admit(work: &UpstreamWork) -> Option<Self> {
        let state = &mut *lock(&work.state);
        let counts = &mut state.counts;
        if counts.connections >= state.settings.connections {
            counts.refused += 1;
            return None;
        }
        counts.accepted += 1;
        counts.connections += 1;
        counts.connections_max = counts.connections_max.max(counts.connections);
        Some(Self(work.clone()))
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        lock(&self.0.state).counts.connections -= 1;
    }
}
