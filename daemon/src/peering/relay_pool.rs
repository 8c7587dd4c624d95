//! Connections to peers for calls that may take long and run side by side.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::BTreeMap,
    net::{
        IpAddr,
        SocketAddr, //
    },
    time::Duration, //
};

use schema::peer::{
    stream_body::Body,
    StreamBody, //
};
use tokio::{
    net::{
        TcpSocket,
        TcpStream, //
    },
    time::{
        timeout,
        Instant, //
    },
};

use super::{
    stream_pool::exchange_frames,
    PeerError, //
};

/// Time for which an idle connection is kept; less than the time after which peers close it.
const IDLE_LIMIT: Duration = Duration::from_secs(5);
/// Idle connections that are kept for each peer.
const IDLE_MAX: usize = 16;

/// Why a relayed call has no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RelayFailure {
    /// No connection could be opened, so that nothing was sent.
    Unsent,
    /// The connection broke after the call was sent. The peer may have executed it.
    Broken,
}

/// Calls peers on connections that carry one call at a time. A call that is cancelled closes its
/// connection, by which the peer learns of it.
#[derive(Debug)]
pub(super) struct RelayPool {
    key: [u8; 32],
    template: StreamBody,
    /// Address from which connections are opened; peers compare it with the known one of the caller.
    source: Option<IpAddr>,
    idle: RefCell<BTreeMap<SocketAddr, Vec<(TcpStream, Instant)>>>,
    last_call: Cell<u64>,
}

impl RelayPool {
    /// Creates a pool whose frames are authenticated with `key` and are copies of `template`, which
    /// names the sender.
    pub(super) fn new(key: [u8; 32], template: StreamBody, source: IpAddr) -> Self {
        Self {
            key,
            template,
            source: Some(source).filter(|source| !source.is_unspecified()),
            idle: RefCell::default(),
            last_call: Cell::default(),
        }
    }

    /// Calls a peer and waits for the answer, which the caller may bound by dropping the future. `may_hold` is
    /// asked for the memory of the answer.
    pub(super) async fn call(
        &self,
        to: SocketAddr,
        body: Body,
        connect_timeout: Duration,
        may_hold: impl FnMut(usize) -> bool,
    ) -> Result<Body, RelayFailure> {
        let stream = match self.take_idle(to) {
            Some(stream) => stream,
            None => {
                let connected = timeout(connect_timeout, self.connect(to)).await;
                let connected = connected.map_err(|_| RelayFailure::Unsent)?;
                connected.map_err(|_| RelayFailure::Unsent)?
            }
        };
        self.last_call.set(self.last_call.get() + 1);
        let frame = StreamBody {
            call: self.last_call.get(),
            body: Some(body),
            ..self.template.clone()
        };
        let exchange = exchange_frames(stream, &self.key, &frame, may_hold).await;
        let (stream, body) = exchange.map_err(|_| RelayFailure::Broken)?;
        self.keep_idle(to, stream);
        Ok(body)
    }

    async fn connect(&self, to: SocketAddr) -> Result<TcpStream, PeerError> {
        let socket = match to {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        if let Some(source) = self.source {
            socket.bind(SocketAddr::new(source, 0))?;
        }
        let stream = socket.connect(to).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    /// Takes the connection that was used last, without those that the peer has closed.
    fn take_idle(&self, to: SocketAddr) -> Option<TcpStream> {
        let mut idle = self.idle.borrow_mut();
        let streams = idle.get_mut(&to)?;
        while let Some((stream, since)) = streams.pop() {
            // An idle connection has nothing to read unless it has ended.
            let is_open = stream
                .try_read(&mut [0])
                .is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock);
            if is_open && since.elapsed() < IDLE_LIMIT {
                return Some(stream);
            }
        }
        None
    }

    fn keep_idle(&self, to: SocketAddr, stream: TcpStream) {
        let mut idle = self.idle.borrow_mut();
        for streams in idle.values_mut() {
            streams.retain(|(_, since)| since.elapsed() < IDLE_LIMIT);
        }
        idle.retain(|_, streams| !streams.is_empty());
        let streams = idle.entry(to).or_default();
        if streams.len() < IDLE_MAX {
            streams.push((stream, Instant::now()));
        }
    }
}
