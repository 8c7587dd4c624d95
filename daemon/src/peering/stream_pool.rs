//! Pool of connections to peers, one for each peer.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use schema::peer::{
    stream_body::Body,
    StreamBody, //
};
use tokio::{
    net::TcpStream,
    sync::Mutex,
    time::timeout, //
};

use super::{
    stream_frame::{
        read_answer,
        write_frame, //
    },
    PeerError, //
};

/// Largest number of peers before unused connections are closed.
const PEERS_MAX: usize = 256;

type PeerSlot = Rc<Mutex<Option<TcpStream>>>;

/// Calls peers over TCP. Calls to the same peer run one after the other.
#[derive(Debug)]
pub(super) struct StreamPool {
    key: [u8; 32],
    template: StreamBody,
    call_timeout: Duration,
    slots: RefCell<BTreeMap<SocketAddr, PeerSlot>>,
    last_call: RefCell<u64>,
}

impl StreamPool {
    /// Creates a pool whose calls are authenticated with `key`. Each frame is a copy of `template`,
    /// which names the sender, with the number and the body of the call.
    pub(super) fn new(key: [u8; 32], template: StreamBody, call_timeout: Duration) -> Self {
        Self {
            key,
            template,
            call_timeout,
            slots: RefCell::default(),
            last_call: RefCell::default(),
        }
    }

    /// Calls a peer and waits for the answer. Where a pooled connection fails, the call is sent
    /// again on a new one, once; this is safe because all calls between daemons are idempotent.
    pub(super) async fn call(&self, to: SocketAddr, body: Body) -> Result<Body, PeerError> {
        let slot = self.slot(to);
        let mut pooled = slot.lock().await;
        let exchange = self.exchange(to, &mut pooled, body);
        let answer = timeout(self.call_timeout, exchange).await;
        answer.unwrap_or(Err(PeerError::Timeout))
    }

    async fn exchange(
        &self,
        to: SocketAddr,
        pooled: &mut Option<TcpStream>,
        body: Body,
    ) -> Result<Body, PeerError> {
        let frame = self.frame(body);
        // The connection is taken out, so that a cancelled call does not leave a partly read
        // connection in the pool.
        if let Some(stream) = pooled.take() {
            let exchange = exchange_frames(stream, &self.key, &frame, |_| true);
            if let Ok((stream, body)) = exchange.await {
                *pooled = Some(stream);
                return Ok(body);
            }
        }
        let stream = TcpStream::connect(to).await?;
        stream.set_nodelay(true)?;
        let (stream, body) = exchange_frames(stream, &self.key, &frame, |_| true).await?;
        *pooled = Some(stream);
        Ok(body)
    }

    fn frame(&self, body: Body) -> StreamBody {
        let mut last_call = self.last_call.borrow_mut();
        *last_call += 1;
        StreamBody {
            call: *last_call,
            body: Some(body),
            ..self.template.clone()
        }
    }

    fn slot(&self, to: SocketAddr) -> PeerSlot {
        let mut slots = self.slots.borrow_mut();
        if slots.len() >= PEERS_MAX && !slots.contains_key(&to) {
            slots.retain(|_, slot| Rc::strong_count(slot) > 1);
        }
        slots.entry(to).or_default().clone()
    }
}

/// Sends a call and reads its answer; returns the connection, which can carry another call. `may_hold` is asked
/// for the memory of the answer.
///
/// # Errors
///
/// [`PeerError`]; the peer may have executed the call.
pub(super) async fn exchange_frames(
    mut stream: TcpStream,
    key: &[u8; 32],
    frame: &StreamBody,
    may_hold: impl FnMut(usize) -> bool,
) -> Result<(TcpStream, Body), PeerError> {
    write_frame(&mut stream, key, frame).await?;
    let answer = read_answer(&mut stream, key, may_hold).await?;
    match answer.body {
        Some(body) if answer.call == frame.call => Ok((stream, body)),
        _ => Err(PeerError::CallMismatch),
    }
}
