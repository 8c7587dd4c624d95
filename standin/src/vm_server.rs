//! Stand-in for the platform's list of VMs.

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    convert::Infallible,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use http::{
    Request,
    Response,
    StatusCode, //
};
use hyper::{
    body::Incoming,
    server::conn::http1,
    service::service_fn, //
};
use hyper_util::rt::TokioIo;
use schema::platform::{
    VmEntry,
    VmList, //
};

use crate::{
    lock,
    reply_body::ReplyBody,
    server_port::ServerPort,
    StandinError,
    TaskHost, //
};

/// Settings of a [`VmServer`].
#[derive(Clone, Debug, Default)]
pub struct VmSettings {
    /// Delay until readers see a change of the list.
    pub lag: Duration,
}

/// A VM list whose changes readers see with a delay.
#[derive(Debug)]
pub struct VmServer {
    port: ServerPort,
    state: Arc<Mutex<ListState>>,
    _host: TaskHost,
}

#[derive(Debug, Default)]
struct ListState {
    revision: u64,
    vms: BTreeMap<String, VmEntry>,
    // Versions of the list, each with the time from which readers see it, oldest first.
    published: VecDeque<(Instant, VmList)>,
    lag: Duration,
}

impl ListState {
    fn publish(&mut self, now: Instant) {
        self.revision += 1;
        let list = VmList {
            revision: self.revision,
            vms: self.vms.values().cloned().collect(),
        };
        self.published.push_back((now + self.lag, list));
    }

    fn visible_list(&mut self, now: Instant) -> VmList {
        let newest = self
            .published
            .iter()
            .rposition(|(visible_from, _)| *visible_from <= now);
        let Some(newest) = newest else {
            return VmList::default();
        };
        self.published.drain(..newest);
        self.published[0].1.clone()
    }
}

impl VmServer {
    /// Starts a server with an empty list on `host`.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is available.
    pub fn start(host: &TaskHost, settings: VmSettings) -> Result<Self, StandinError> {
        let state = ListState {
            lag: settings.lag,
            ..Default::default()
        };
        let state = Arc::new(Mutex::new(state));
        let (port, listener) = ServerPort::bind()?;
        let shared_state = Arc::clone(&state);
        port.listen(host, listener, move |stream| {
            let shared_state = Arc::clone(&shared_state);
            let service = service_fn(move |request| answer(Arc::clone(&shared_state), request));
            async move {
                let _ = http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            }
        });
        Ok(Self {
            port,
            state,
            _host: host.clone(),
        })
    }

    /// Starts a server with an empty list on a new thread.
    ///
    /// # Errors
    ///
    /// Returns an error if no port or thread is available.
    pub fn spawn(settings: VmSettings) -> Result<Self, StandinError> {
        Self::start(&TaskHost::spawn()?, settings)
    }

    /// Loopback address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.port.address()
    }

    /// URL of the list.
    pub fn url(&self) -> String {
        format!("http://{}/v1/vms", self.address())
    }

    /// Adds VMs; an entry of the same name is replaced.
    pub fn put(&self, vms: impl IntoIterator<Item = VmEntry>) {
        let state = &mut *lock(&self.state);
        for vm in vms {
            state.vms.insert(vm.name.clone(), vm);
        }
        state.publish(Instant::now());
    }

    /// Removes a VM from the list.
    pub fn remove(&self, name: &str) {
        let state = &mut *lock(&self.state);
        state.vms.remove(name);
        state.publish(Instant::now());
    }

    /// Sets the state of a VM, `live` or `leaving`.
    pub fn set_state(&self, name: &str, vm_state: &str) {
        let state = &mut *lock(&self.state);
        if let Some(vm) = state.vms.get_mut(name) {
            vm.state = vm_state.into();
        }
        state.publish(Instant::now());
    }

    /// Sets the delay until readers see a change, for changes from now on.
    pub fn set_lag(&self, lag: Duration) {
        lock(&self.state).lag = lag;
    }

    /// Closes the port to all connections if `down`, or reopens it.
    pub fn set_down(&self, down: bool) {
        if down {
            self.port.close();
        } else {
            self.port.open();
        }
    }
}

async fn answer(
    state: Arc<Mutex<ListState>>,
    request: Request<Incoming>,
) -> Result<Response<ReplyBody>, Infallible> {
    if request.uri().path() != "/v1/vms" {
        return Ok(ReplyBody::empty(StatusCode::NOT_FOUND));
    }
    let list = lock(&state).visible_list(Instant::now());
    let query = request.uri().query().unwrap_or_default();
    let known_revision = query
        .strip_prefix("after=")
        .and_then(|text| text.parse().ok());
    if known_revision == Some(list.revision) && list.revision > 0 {
        return Ok(ReplyBody::empty(StatusCode::NOT_MODIFIED));
    }
    Ok(ReplyBody::json(StatusCode::OK, &list))
}
