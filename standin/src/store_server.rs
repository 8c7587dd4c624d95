//! Stand-in for the platform's key-value store.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        Mutex, //
    },
    time::Instant, //
};

use base64::{
    engine::general_purpose::STANDARD,
    Engine, //
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::sync::watch;

use crate::{
    lock,
    server_port::ServerPort,
    store_handler::{
        HandlerState,
        StoreHandler,
        StoreShared, //
    },
    CallCounts,
    StandinError,
    StoreCopy,
    StoreFault,
    StoreSettings,
    TaskHost, //
};

/// A store on its own port. Several servers can share their contents while each has its own faults,
/// which models one store as different data centres reach it.
#[derive(Debug)]
pub struct StoreServer {
    port: ServerPort,
    shared: Arc<StoreShared>,
    state: Arc<Mutex<HandlerState>>,
    settings: StoreSettings,
    _host: TaskHost,
}

impl StoreServer {
    /// Starts an empty store that runs on `host`.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is available.
    pub fn start(host: &TaskHost, settings: StoreSettings) -> Result<Self, StandinError> {
        let (changed, _) = watch::channel(0);
        let shared = StoreShared {
            data: Mutex::default(),
            changed,
        };
        Self::open_port(host, settings, Arc::new(shared))
    }

    /// Starts an empty store on a new thread.
    ///
    /// # Errors
    ///
    /// Returns an error if no port or thread is available.
    pub fn spawn(settings: StoreSettings) -> Result<Self, StandinError> {
        Self::start(&TaskHost::spawn()?, settings)
    }

    /// Opens another port to the same contents, with its own faults and counters.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is available.
    pub fn second_port(&self, host: &TaskHost) -> Result<Self, StandinError> {
        Self::open_port(host, self.settings.clone(), Arc::clone(&self.shared))
    }

    fn open_port(
        host: &TaskHost,
        settings: StoreSettings,
        shared: Arc<StoreShared>,
    ) -> Result<Self, StandinError> {
        let state = HandlerState {
            fault: StoreFault::None,
            replies_to_lose: 0,
            random: Pcg64Mcg::seed_from_u64(settings.seed),
            counts: CallCounts::default(),
        };
        let state = Arc::new(Mutex::new(state));
        let (port, listener) = ServerPort::bind()?;
        let handler = StoreHandler {
            shared: Arc::clone(&shared),
            state: Arc::clone(&state),
            settings: settings.clone(),
        };
        port.listen(host, listener, move |stream| handler.clone().serve(stream));
        Ok(Self {
            port,
            shared,
            state,
            settings,
            _host: host.clone(),
        })
    }

    /// Loopback address that the store listens on.
    pub fn address(&self) -> SocketAddr {
        self.port.address()
    }

    /// Base URL of the store.
    pub fn url(&self) -> String {
        format!("http://{}", self.address())
    }

    /// Sets the fault of this port, in place of the one before.
    pub fn set_fault(&self, fault: StoreFault) {
        lock(&self.state).fault = fault;
        if fault == StoreFault::Down {
            self.port.close();
        } else {
            self.port.open();
        }
    }

    /// Drops the replies to the next `count` writes that take effect.
    pub fn lose_replies(&self, count: u32) {
        lock(&self.state).replies_to_lose = count;
    }

    /// Calls received at this port.
    pub fn counts(&self) -> CallCounts {
        lock(&self.state).counts
    }

    /// All keys in the store, in order.
    pub fn keys(&self) -> Vec<String> {
        lock(&self.shared.data).keys(Instant::now())
    }

    /// The decoded value at `key` with its revision.
    pub fn value(&self, key: &str) -> Option<(Vec<u8>, u64)> {
        let entry = lock(&self.shared.data).get(Instant::now(), key)?;
        let value = STANDARD.decode(entry.value).ok()?;
        Some((value, entry.revision))
    }

    /// Copies the contents, to be given to [`StoreServer::restore`] later.
    pub fn copy(&self) -> StoreCopy {
        lock(&self.shared.data).copy()
    }

    /// Replaces the contents with an earlier copy: later writes are lost and all leases end.
    pub fn restore(&self, copy: StoreCopy) {
        lock(&self.shared.data).restore(copy);
        self.shared.changed.send_modify(|count| *count += 1);
    }
}
