//! HTTP interface of the store.

use std::{
    sync::{
        Arc,
        Mutex, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use base64::{
    engine::general_purpose::STANDARD,
    Engine, //
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
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use schema::platform::{
    LeaseEntry,
    WriteCall,
    WriteReply, //
};
use serde::de::DeserializeOwned;
use tokio::{
    net::TcpStream,
    sync::watch,
    time::{
        sleep,
        timeout, //
    },
};

use crate::{
    lock,
    reply_body::ReplyBody,
    store_data::StoreData,
    CallCounts,
    StoreFault,
    StoreSettings, //
};

/// Allowance for the JSON around a base64 value, in bytes.
const JSON_OVERHEAD_BYTES: usize = 4096;

/// State that all ports of a store share.
#[derive(Debug)]
pub(crate) struct StoreShared {
    pub(crate) data: Mutex<StoreData>,
    // Changed by every write and restore, to wake the pending watches.
    pub(crate) changed: watch::Sender<u64>,
}

/// Faults and counters of one port of the store.
#[derive(Debug)]
pub(crate) struct HandlerState {
    pub(crate) fault: StoreFault,
    pub(crate) replies_to_lose: u32,
    pub(crate) random: Pcg64Mcg,
    pub(crate) counts: CallCounts,
}

/// Closes the connection in place of a reply.
#[derive(Debug, thiserror::Error)]
#[error("the reply was dropped by fault injection")]
struct LostReply;

/// Handles the calls that arrive at one port.
#[derive(Clone)]
pub(crate) struct StoreHandler {
    pub(crate) shared: Arc<StoreShared>,
    pub(crate) state: Arc<Mutex<HandlerState>>,
    pub(crate) settings: StoreSettings,
}

impl StoreHandler {
    /// Serves the requests of a connection until it closes.
    pub(crate) async fn serve(self, stream: TcpStream) {
        let service = service_fn(move |request| self.clone().answer(request));
        let _ = http1::Builder::new()
            .serve_connection(TokioIo::new(stream), service)
            .await;
    }

    async fn answer(self, request: Request<Incoming>) -> Result<Response<ReplyBody>, LostReply> {
        let path = request.uri().path().to_owned();
        let query = request.uri().query().unwrap_or_default().to_owned();
        let method = request.method().clone();
        self.count_call(&method, &path);
        sleep(self.settings.latency).await;
        self.apply_fault().await;
        let resource = path.strip_prefix("/v1/").unwrap_or_default();
        let (resource, name) = resource.split_once('/').unwrap_or((resource, ""));
        match (method.as_str(), resource) {
            ("GET", "kv") => Ok(self.get(name)),
            ("GET", "watch") => Ok(self.watch(name, &query).await),
            ("PUT", "kv") => self.put(name, request).await,
            ("POST", "lease") => self.grant(request).await,
            ("PUT", "lease") => Ok(self.renew(name)),
            ("DELETE", "lease") => Ok(self.revoke(name)),
            _ => Ok(ReplyBody::empty(StatusCode::NOT_FOUND)),
        }
    }

    fn count_call(&self, method: &Method, path: &str) {
        let counts = &mut lock(&self.state).counts;
        if path.starts_with("/v1/watch/") {
            counts.watches += 1;
        } else if method == Method::GET {
            counts.reads += 1;
        } else {
            counts.writes += 1;
        }
    }

    async fn apply_fault(&self) {
        let fault = lock(&self.state).fault;
        match fault {
            StoreFault::None | StoreFault::Down => {}
            StoreFault::Hang => std::future::pending().await,
            StoreFault::Slow(delay) => sleep(delay).await,
        }
    }

    fn get(&self, key: &str) -> Response<ReplyBody> {
        match lock(&self.shared.data).get(Instant::now(), key) {
            Some(entry) => ReplyBody::json(StatusCode::OK, &entry),
            None => ReplyBody::empty(StatusCode::NOT_FOUND),
        }
    }

    async fn watch(&self, key: &str, query: &str) -> Response<ReplyBody> {
        let after = query_number(query, "after").unwrap_or(0);
        let wait = Duration::from_millis(query_number(query, "wait_ms").unwrap_or(0));
        let mut changed = self.shared.changed.subscribe();
        let newer_entry = async {
            loop {
                changed.borrow_and_update();
                let entry = lock(&self.shared.data).get(Instant::now(), key);
                if let Some(entry) = entry.filter(|entry| entry.revision > after) {
                    return entry;
                }
                if changed.changed().await.is_err() {
                    std::future::pending::<()>().await;
                }
            }
        };
        let found = timeout(wait, newer_entry).await;
        // A fault that was set while the watch waited also applies to its reply.
        self.apply_fault().await;
        match found {
            Ok(entry) => ReplyBody::json(StatusCode::OK, &entry),
            Err(_) => ReplyBody::empty(StatusCode::NOT_MODIFIED),
        }
    }

    async fn put(
        &self,
        key: &str,
        request: Request<Incoming>,
    ) -> Result<Response<ReplyBody>, LostReply> {
        let call: WriteCall = match self.read_body(request).await {
            Ok(call) => call,
            Err(status) => return Ok(ReplyBody::empty(status)),
        };
        let Ok(decoded) = STANDARD.decode(&call.value) else {
            return Ok(ReplyBody::empty(StatusCode::BAD_REQUEST));
        };
        if decoded.len() > self.settings.value_max {
            return Ok(ReplyBody::empty(StatusCode::PAYLOAD_TOO_LARGE));
        }
        let now = Instant::now();
        let written = lock(&self.shared.data).put(now, key, call.value, call.expect, call.lease);
        match written {
            Ok(revision) => {
                self.finish_write()?;
                Ok(ReplyBody::json(StatusCode::OK, &WriteReply { revision }))
            }
            Err(revision) => {
                let reply = WriteReply { revision };
                Ok(ReplyBody::json(StatusCode::CONFLICT, &reply))
            }
        }
    }

    async fn grant(&self, request: Request<Incoming>) -> Result<Response<ReplyBody>, LostReply> {
        let call: LeaseEntry = match self.read_body(request).await {
            Ok(call) => call,
            Err(status) => return Ok(ReplyBody::empty(status)),
        };
        let entry = lock(&self.shared.data).grant(Instant::now(), call.ttl_ms);
        self.finish_write()?;
        Ok(ReplyBody::json(StatusCode::OK, &entry))
    }

    fn renew(&self, lease: &str) -> Response<ReplyBody> {
        let lease = lease.parse().unwrap_or(0);
        match lock(&self.shared.data).renew(Instant::now(), lease) {
            Some(entry) => ReplyBody::json(StatusCode::OK, &entry),
            None => ReplyBody::empty(StatusCode::NOT_FOUND),
        }
    }

    fn revoke(&self, lease: &str) -> Response<ReplyBody> {
        let lease = lease.parse().unwrap_or(0);
        if lock(&self.shared.data).revoke(Instant::now(), lease) {
            return ReplyBody::empty(StatusCode::OK);
        }
        ReplyBody::empty(StatusCode::NOT_FOUND)
    }

    // Wakes the pending watches, then returns `LostReply` if this reply is to be dropped.
    fn finish_write(&self) -> Result<(), LostReply> {
        self.shared.changed.send_modify(|count| *count += 1);
        let state = &mut *lock(&self.state);
        if state.replies_to_lose > 0 {
            state.replies_to_lose -= 1;
            return Err(LostReply);
        }
        if state.random.random_range(0..1_000_000) < self.settings.lost_reply_ppm {
            return Err(LostReply);
        }
        Ok(())
    }

    async fn read_body<T: DeserializeOwned>(
        &self,
        request: Request<Incoming>,
    ) -> Result<T, StatusCode> {
        let limit = self.settings.value_max / 3 * 4 + JSON_OVERHEAD_BYTES;
        let body = Limited::new(request.into_body(), limit);
        let collected = body.collect().await;
        let bytes: Bytes = collected
            .map_err(|_| StatusCode::PAYLOAD_TOO_LARGE)?
            .to_bytes();
        serde_json::from_slice(&bytes).map_err(|_| StatusCode::BAD_REQUEST)
    }
}

fn query_number(query: &str, name: &str) -> Option<u64> {
    let pair = |part: &str| {
        let (key, value) = part.split_once('=')?;
        (key == name).then(|| value.parse().ok())?
    };
    query.split('&').find_map(pair)
}
