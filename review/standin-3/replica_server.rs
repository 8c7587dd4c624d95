//! A sound replica: answers each request after a moment with a signed body. It can crash and start again.

use std::{
    io::{BufReader, ErrorKind, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http_text::{read_body, read_head},
    store_server::StoreServer,
};

/// Body of each answer.
const ANSWER_BODY: &str = "0123456789abcdef";
/// Interval at which a replica writes its registration (`beatMs`), and the silence after which it lapses.
const BEAT_INTERVAL: Duration = Duration::from_millis(1_200);
const LAPSE_TIME: Duration = Duration::from_millis(3_600);
/// A replica that begins to run a request whose target contains this text crashes.
pub const DEADLY_TEXT: &str = "deadly";
/// Time after which such a replica is back.
const DEADLY_DOWN_TIME: Duration = Duration::from_secs(3);
/// Pause between two looks for new connections.
const ACCEPT_PAUSE: Duration = Duration::from_millis(2);

/// A replica. Clones share it.
#[derive(Clone)]
pub struct ReplicaServer {
    store: StoreServer,
    service: String,
    name: String,
    zone: String,
    address: SocketAddr,
    work_time: Duration,
    state: Arc<ReplicaState>,
}

#[derive(Default)]
struct ReplicaState {
    running: AtomicBool,
    /// Number of starts. What belongs to an earlier one ends.
    start: AtomicU64,
    runs: AtomicU64,
    /// The requests a second that it names as its limit; 0 if it names none.
    limit: AtomicU64,
    /// Time and id of each request that crashed the replica.
    deadly_runs: Mutex<Vec<(Instant, String)>>,
    /// When requests arrived while it named a limit.
    limited_arrivals: Mutex<Vec<Instant>>,
    connections: Mutex<Vec<TcpStream>>,
}

impl ReplicaServer {
    /// Starts a replica of `service` on a free port of `ip` and registers it as ready.
    pub fn start(
        store: &StoreServer,
        service: &str,
        name: &str,
        zone: &str,
        ip: &str,
        work_time: Duration,
    ) -> Result<Self, String> {
        let listener = TcpListener::bind((ip, 0)).map_err(|error| error.to_string())?;
        let replica = Self {
            store: store.clone(),
            service: service.to_string(),
            name: name.to_string(),
            zone: zone.to_string(),
            address: listener.local_addr().map_err(|error| error.to_string())?,
            work_time,
            state: Arc::default(),
        };
        replica.run(listener)?;
        Ok(replica)
    }

    /// Number of requests that have run.
    pub fn runs(&self) -> u64 {
        self.state.runs.load(Ordering::Relaxed)
    }

    /// Time and id of each request that crashed the replica.
    pub fn deadly_runs(&self) -> Vec<(Instant, String)> {
        self.state.deadly_runs.lock().unwrap().clone()
    }

    /// Names a limit (`Server-Limit`) in all answers from now on.
    pub fn name_limit(&self, per_second: u64) {
        self.state.limit.store(per_second, Ordering::SeqCst);
    }

    /// When the requests arrived that came while it named a limit, in order.
    pub fn limited_arrivals(&self) -> Vec<Instant> {
        let mut arrivals = self.state.limited_arrivals.lock().unwrap().clone();
        arrivals.sort();
        arrivals
    }

    /// Ends replicas at the same moment as a crash does: their ports are closed, then their connections. Their
    /// registrations lapse.
    pub fn crash_all(replicas: &[Self]) {
        for replica in replicas {
            replica.state.running.store(false, Ordering::SeqCst);
        }
        // The listeners are closed within a pause.
        thread::sleep(ACCEPT_PAUSE * 3);
        for replica in replicas {
            for connection in replica.state.connections.lock().unwrap().drain(..) {
                let _ = connection.shutdown(Shutdown::Both);
            }
        }
        for replica in replicas {
            let (replica, start) = (replica.clone(), replica.state.start.load(Ordering::SeqCst));
            thread::spawn(move || {
                thread::sleep(LAPSE_TIME);
                if replica.state.start.load(Ordering::SeqCst) == start {
                    replica.store.remove(&format!("servers/{}", replica.name));
                }
            });
        }
    }

    /// Starts the replica again after a crash, under its id and at its address.
    pub fn start_again(&self) -> Result<(), String> {
        let listener = TcpListener::bind(self.address).map_err(|error| error.to_string())?;
        self.run(listener)
    }

    fn run(&self, listener: TcpListener) -> Result<(), String> {
        listener.set_nonblocking(true).map_err(|error| error.to_string())?;
        let start = self.state.start.fetch_add(1, Ordering::SeqCst) + 1;
        self.state.running.store(true, Ordering::SeqCst);
        let replica = self.clone();
        thread::spawn(move || {
            while replica.state.running.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => replica.accept(stream),
                    Err(error) if error.kind() == ErrorKind::WouldBlock => thread::sleep(ACCEPT_PAUSE),
                    Err(_) => return,
                }
            }
        });
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        self.register(born, 1);
        let replica = self.clone();
        thread::spawn(move || {
            for seq in 2.. {
                thread::sleep(BEAT_INTERVAL);
                let is_current = replica.state.start.load(Ordering::SeqCst) == start;
                if !is_current || !replica.state.running.load(Ordering::SeqCst) {
                    return;
                }
                replica.register(born, seq);
            }
        });
        Ok(())
    }

    fn register(&self, born: u128, seq: u64) {
        let Self { service, address, zone, .. } = self;
        let entry = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":4,"state":"ready","coldLeftMs":0,"seq":{seq},"born":{born}}}"#
        );
        self.store.put(&format!("servers/{}", self.name), &entry);
    }

    fn accept(&self, stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        let Ok(connection) = stream.try_clone() else {
            return;
        };
        self.state.connections.lock().unwrap().push(connection);
        let replica = self.clone();
        thread::spawn(move || replica.serve(stream));
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = read_head(&mut reader) {
            if read_body(&head, &mut reader).is_err() {
                return;
            }
            let id = head.header("request-id");
            let limit = match self.state.limit.load(Ordering::SeqCst) {
                0 => String::new(),
                per_second => format!("Server-Limit: {per_second}\r\n"),
            };
            let answer = match head.second_word() {
                "/health" => format!("HTTP/1.1 200 OK\r\nInstance-Id: {}\r\n{limit}Content-Length: 0\r\n\r\n", self.name),
                _ if head.header("expect-instance") != self.name => format!(
                    "HTTP/1.1 421 Misdirected\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\n{limit}Content-Length: 0\r\n\r\n"
                ),
                target if target.contains(DEADLY_TEXT) => {
                    let run = (Instant::now(), id.to_string());
                    self.state.deadly_runs.lock().unwrap().push(run);
                    Self::crash_all(std::slice::from_ref(self));
                    thread::sleep(DEADLY_DOWN_TIME);
                    let _ = self.start_again();
                    return;
                }
                _ => {
                    if !limit.is_empty() {
                        self.state.limited_arrivals.lock().unwrap().push(Instant::now());
                    }
                    let run = self.state.runs.fetch_add(1, Ordering::Relaxed);
                    thread::sleep(self.work_time);
                    format!(
                        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: {}.{run}\r\n{limit}Content-Length: {}\r\n\r\n{ANSWER_BODY}",
                        self.name,
                        ANSWER_BODY.len(),
                    )
                }
            };
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }
}
