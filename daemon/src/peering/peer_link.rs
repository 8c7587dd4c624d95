//! Port for peers: UDP datagrams and TCP calls on the same port number.

use std::{
    cell::Cell,
    io,
    net::{
        IpAddr,
        SocketAddr, //
    },
    rc::Rc,
    time::Duration, //
};

use policy::intake::IntakeSettings;
use schema::{
    peer::{
        stream_body::Body,
        StreamBody, //
    },
    DaemonName,
    Incarnation,
    ZoneName, //
};
use socket2::SockRef;
use tokio::{
    net::{
        TcpListener,
        TcpStream,
        UdpSocket, //
    },
    sync::{
        mpsc::{
            channel,
            Receiver,
            Sender, //
        },
        oneshot, //
    },
    task::JoinSet,
    time::{
        sleep,
        timeout, //
    },
};

use super::{
    relay_pool::{
        RelayFailure,
        RelayPool, //
    },
    stream_frame::{
        read_call,
        write_frame, //
    },
    stream_pool::StreamPool,
    PeerError,
    PeerInput, //
};
use crate::intake::{
    IntakeGate,
    IntakeSlot, //
};

/// Largest number of messages that wait for the main loop; further datagrams are dropped.
const INPUT_QUEUE_MAX: usize = 1_024;
/// Largest number of open connections from peers, unless set otherwise.
const CONNECTIONS_MAX: usize = 512;
/// Largest number of bytes of peers' frames that are held, unless set otherwise: three of the largest,
/// each of which is decoded into a copy.
const FRAME_BYTES_MAX: usize = 120 * 1024 * 1024;
/// Unread bytes that the system keeps for a connection.
const RECEIVE_BUFFER_BYTES: usize = 128 * 1024;
/// Delay before the next accept after one failed, so that a lack of file descriptors does not cause
/// a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Largest datagram, in bytes. Longer ones are truncated, so their authentication fails.
const DATAGRAM_MAX_BYTES: usize = 2_048;
/// Attempts to find a port number that is free for both UDP and TCP.
const BIND_ATTEMPTS_MAX: u32 = 20;
/// A connection from a peer is closed after it was idle for this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Longest wait for the main loop's answer to a peer's call.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// The same for a request that a peer relays; its deadline ends the wait earlier.
const RELAY_TIMEOUT: Duration = Duration::from_secs(60);
/// Longest wait for a peer's answer to a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Bound sockets of the port for peers, which do not serve requests yet.
#[derive(Debug)]
pub struct PeerSocket {
    datagrams: UdpSocket,
    streams: TcpListener,
    address: SocketAddr,
    intake: IntakeGate,
}

impl PeerSocket {
    /// Binds the port for UDP and TCP. With port 0, a number that is free for both is chosen.
    ///
    /// # Errors
    ///
    /// [`PeerError::ListenFailed`].
    pub async fn bind(address: SocketAddr) -> Result<Self, PeerError> {
        let mut attempts = 0;
        loop {
            attempts += 1;
            match Self::try_bind(address).await {
                Ok(socket) => return Ok(socket),
                Err(_) if address.port() == 0 && attempts < BIND_ATTEMPTS_MAX => {}
                Err(source) => return Err(PeerError::ListenFailed { address, source }),
            }
        }
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    async fn try_bind(address: SocketAddr) -> io::Result<Self> {
        let streams = TcpListener::bind(address).await?;
        let address = streams.local_addr()?;
        let datagrams = UdpSocket::bind(address).await?;
        // `try_send_to` fails until the socket was seen to be writable.
        datagrams.writable().await?;
        Ok(Self {
            datagrams,
            streams,
            address,
            intake: IntakeGate::unreported(IntakeSettings {
                connections_max: CONNECTIONS_MAX,
                bytes_max: FRAME_BYTES_MAX,
                address_divisor: 1,
                ..IntakeSettings::default()
            }),
        })
    }

    /// Sets the limits on connections and on the bytes of frames.
    pub(crate) fn with_intake(self, intake: IntakeGate) -> Self {
        Self { intake, ..self }
    }
}

/// Sends messages to peers and receives theirs. Its tasks run on the current thread and end when it
/// is dropped.
#[derive(Debug)]
pub struct PeerLink {
    socket: Rc<UdpSocket>,
    pool: Rc<StreamPool>,
    relay_pool: Rc<RelayPool>,
    dropped: Rc<Cell<u64>>,
    _tasks: JoinSet<()>,
}

impl PeerLink {
    /// Starts to serve the port for `daemon`. Must be called within a `LocalSet`.
    pub fn serve(
        socket: PeerSocket,
        key: [u8; 32],
        daemon: &DaemonName,
        zone: &ZoneName,
        incarnation: Incarnation,
    ) -> (Self, Receiver<PeerInput>) {
        let (inputs, receiver) = channel(INPUT_QUEUE_MAX);
        let template = StreamBody {
            from: daemon.to_string(),
            zone: zone.to_string(),
            incarnation: incarnation.0,
            ..StreamBody::default()
        };
        let datagrams = Rc::new(socket.datagrams);
        let dropped = Rc::new(Cell::new(0));
        let mut tasks = JoinSet::new();
        tasks.spawn_local(read_datagrams(
            datagrams.clone(),
            inputs.clone(),
            dropped.clone(),
        ));
        tasks.spawn_local(accept_connections(
            (socket.streams, socket.intake),
            key,
            template.clone(),
            inputs,
        ));
        let link = Self {
            socket: datagrams,
            pool: Rc::new(StreamPool::new(key, template.clone(), CALL_TIMEOUT)),
            relay_pool: Rc::new(RelayPool::new(key, template, socket.address.ip())),
            dropped,
            _tasks: tasks,
        };
        (link, receiver)
    }

    /// Sends a datagram. It is dropped and counted where the system does not accept it at once.
    pub fn send(&self, to: SocketAddr, bytes: &[u8]) {
        if self.socket.try_send_to(bytes, to).is_err() {
            self.dropped.set(self.dropped.get() + 1);
        }
    }

    /// Returns the number of datagrams dropped because a queue was full, sent or received.
    pub fn dropped(&self) -> u64 {
        self.dropped.get()
    }

    /// Calls a peer over TCP. The future does not borrow the link.
    ///
    /// # Errors
    ///
    /// [`PeerError`] where there is no answer; the peer may still have executed the call.
    pub fn call(
        &self,
        to: SocketAddr,
        body: Body,
    ) -> impl std::future::Future<Output = Result<Body, PeerError>> + 'static {
        let pool = self.pool.clone();
        async move { pool.call(to, body).await }
    }
}

impl PeerLink {
    /// Calls a peer on a connection of the call's own, without a limit on the time. Dropping the future
    /// cancels the call. The future does not borrow the link.
    ///
    /// # Errors
    ///
    /// [`RelayFailure`] where there is no answer.
    pub fn relay(
        &self,
        to: SocketAddr,
        body: Body,
        connect_timeout: Duration,
        may_hold: impl FnMut(usize) -> bool + 'static,
    ) -> impl std::future::Future<Output = Result<Body, RelayFailure>> + 'static {
        let pool = self.relay_pool.clone();
        async move { pool.call(to, body, connect_timeout, may_hold).await }
    }
}

async fn read_datagrams(socket: Rc<UdpSocket>, inputs: Sender<PeerInput>, dropped: Rc<Cell<u64>>) {
    let mut buffer = vec![0; DATAGRAM_MAX_BYTES];
    loop {
        // An earlier datagram to a peer that is gone is reported here as an error.
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        let bytes = buffer[..length].to_vec();
        if inputs.try_send(PeerInput::Datagram { bytes }).is_err() {
            if inputs.is_closed() {
                return;
            }
            dropped.set(dropped.get() + 1);
        }
    }
}

async fn accept_connections(
    (listener, intake): (TcpListener, IntakeGate),
    key: [u8; 32],
    template: StreamBody,
    inputs: Sender<PeerInput>,
) {
    // A failure leaves the system's default.
    let _ = SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    let mut connections = JoinSet::new();
    while !inputs.is_closed() {
        let Ok((stream, address)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        while connections.try_join_next().is_some() {}
        let Some(slot) = intake.open(address.ip()) else {
            continue;
        };
        let (template, inputs) = (template.clone(), inputs.clone());
        connections.spawn_local(async move {
            let address = address.ip();
            tokio::select! {
                _ = answer_calls(stream, &slot, address, key, template, inputs) => {}
                () = slot.dropped() => {}
            }
        });
    }
}

/// Waits until the peer closes the connection. It sends nothing before it has the answer.
async fn wait_for_end(stream: &TcpStream) {
    loop {
        if stream.readable().await.is_err() {
            return;
        }
        match stream.try_read(&mut [0]) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            _ => return,
        }
    }
}

/// Answers the calls of one connection, one after the other.
async fn answer_calls(
    mut stream: TcpStream,
    slot: &IntakeSlot,
    address: IpAddr,
    key: [u8; 32],
    template: StreamBody,
    inputs: Sender<PeerInput>,
) -> Result<(), PeerError> {
    stream.set_nodelay(true)?;
    loop {
        let frame = timeout(IDLE_TIMEOUT, read_call(&mut stream, slot, &key)).await;
        let frame = frame.unwrap_or(Err(PeerError::Timeout))?;
        let Some(body) = frame.body else {
            return Ok(());
        };
        let answer_timeout = match body {
            Body::RelayCall(_) | Body::BranchCall(_) => RELAY_TIMEOUT,
            _ => ANSWER_TIMEOUT,
        };
        let (reply, answer) = oneshot::channel();
        let input = PeerInput::Called {
            from: frame.from,
            address,
            body,
            reply,
        };
        if inputs.send(input).await.is_err() {
            return Ok(());
        }
        let body = tokio::select! {
            answer = timeout(answer_timeout, answer) => match answer {
                Ok(Ok(body)) => body,
                _ => return Err(PeerError::Timeout),
            },
            () = wait_for_end(&stream) => return Err(PeerError::CallCancelled),
        };
        let frame = StreamBody {
            call: frame.call,
            body: Some(body),
            ..template.clone()
        };
        write_frame(&mut stream, &key, &frame).await?;
        slot.end_request();
    }
}
