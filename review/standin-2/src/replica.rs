//! Replicas. The path between a process and a replica can be cut, and a replica can crash.

use std::{
    collections::BTreeSet,
    fs,
    io::{BufReader, Write},
    net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    os::fd::AsRawFd,
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread::{self, sleep},
    time::{Duration, SystemTime},
};

use crate::{
    http::{read_request, response_bytes, Request},
    store::Store,
};

/// The connection on which a request came.
#[derive(Clone)]
pub struct Caller {
    stream: Arc<Mutex<TcpStream>>,
}

impl Caller {
    /// Writes bytes; returns whether the connection took them.
    pub fn write(&self, bytes: &[u8]) -> bool {
        self.stream.lock().unwrap().write_all(bytes).is_ok()
    }

    /// Closes the connection.
    pub fn close(&self) {
        let _ = self.stream.lock().unwrap().shutdown(Shutdown::Both);
    }
}

/// What a replica does with a request; returns false to end the connection.
pub type Handler = dyn Fn(&Replica, &Request, &Caller) -> bool + Send + Sync;

/// An open connection.
struct Link {
    stream: TcpStream,
    /// Port at the other end.
    port: u16,
    /// Whether nothing that is sent on it arrives any more.
    cut: Arc<AtomicBool>,
}

/// A replica.
pub struct Replica {
    pub name: String,
    pub service: String,
    pub zone: String,
    address: SocketAddr,
    handler: Box<Handler>,
    links: Mutex<Vec<Link>>,
    /// The process that is cut off from it.
    cut_process: Mutex<Option<u32>>,
    down: AtomicBool,
    listens: AtomicBool,
    /// Whether its address gives no answer while it is down, in place of refusing connections.
    pub dark: AtomicBool,
    /// Registrations since its start, and the Unix millisecond of that.
    seq: AtomicU64,
    born: AtomicU64,
    last_stamp: AtomicU64,
}

extern "C" {
    fn listen(socket: i32, backlog: i32) -> i32;
}

/// Connections that fill a listener's queue.
const FILLING: usize = 4;
/// Pause between two looks for a connection.
const ACCEPT_PAUSE: Duration = Duration::from_micros(200);

/// Gives a listener a queue of the smallest length, and fills it: the opening packets of further connections
/// are dropped, as those to a machine without power.
fn fill(listener: Option<&TcpListener>, address: SocketAddr) -> Vec<TcpStream> {
    if let Some(listener) = listener {
        // SAFETY: the descriptor is that of an open listener.
        unsafe { listen(listener.as_raw_fd(), 0) };
    }
    let patience = Duration::from_millis(50);
    (0..FILLING)
        .filter_map(|_| TcpStream::connect_timeout(&address, patience).ok())
        .collect()
}

impl Replica {
    /// Starts a replica at a free port of `host`.
    pub fn start(
        service: &str,
        name: &str,
        zone: &str,
        host: Ipv4Addr,
        handler: Box<Handler>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind((host, 0)).unwrap();
        let replica = Arc::new(Self {
            name: name.into(),
            service: service.into(),
            zone: zone.into(),
            address: listener.local_addr().unwrap(),
            handler,
            links: Mutex::default(),
            cut_process: Mutex::default(),
            down: AtomicBool::new(false),
            listens: AtomicBool::new(true),
            dark: AtomicBool::new(false),
            seq: AtomicU64::new(0),
            born: AtomicU64::new(unix_ms()),
            last_stamp: AtomicU64::new(0),
        });
        let accepting = Arc::clone(&replica);
        thread::spawn(move || accepting.accept(listener));
        replica
    }

    /// Cuts the path to a process: what it sends gets no answer, on open connections and on new ones.
    pub fn cut(&self, process: u32) {
        *self.cut_process.lock().unwrap() = Some(process);
        let owned = ports_of(process, self.address.port());
        for link in self.links.lock().unwrap().iter() {
            link.cut.store(owned.contains(&link.port), Ordering::SeqCst);
        }
    }

    /// Whether it is down.
    pub fn is_down(&self) -> bool {
        self.down.load(Ordering::SeqCst)
    }

    /// Ends the replica as a crash does, or starts it again at its address.
    pub fn set_down(&self, down: bool) {
        if !down {
            self.seq.store(0, Ordering::SeqCst);
            self.born.store(unix_ms(), Ordering::SeqCst);
        }
        self.down.store(down, Ordering::SeqCst);
        // The end of a process closes its listener and its connections at once; here the listener is first, so
        // that no connection is accepted after the others have been closed.
        while self.listens.load(Ordering::SeqCst) == down {
            sleep(Duration::from_micros(100));
        }
        if down {
            for link in self.links.lock().unwrap().drain(..) {
                let _ = link.stream.shutdown(Shutdown::Both);
            }
        }
    }

    /// Registers it in the store.
    pub fn register(&self, store: &Store, state: &str, slots: u32) {
        let seq = self.seq.fetch_add(1, Ordering::SeqCst) + 1;
        let born = self.born.load(Ordering::SeqCst);
        let address = self.address.to_string();
        let value = registration(&self.service, &address, &self.zone, state, slots);
        let value = value.replace("\"seq\":1}", &format!("\"seq\":{seq},\"born\":{born}}}"));
        store.put(&format!("servers/{}", self.name), &value);
    }

    /// A signature that no other run has.
    pub fn next_stamp(&self, id: &str) -> String {
        let number = self.last_stamp.fetch_add(1, Ordering::SeqCst) + 1;
        format!("{}.{number}.{id}", self.name)
    }

    fn accept(self: Arc<Self>, listener: TcpListener) {
        let mut listener = Some(listener);
        loop {
            if self.is_down() && self.dark.load(Ordering::SeqCst) {
                // What listened before is not closed, so that no opening packet is refused.
                let filling = fill(listener.as_ref(), self.address);
                self.listens.store(false, Ordering::SeqCst);
                while self.is_down() {
                    sleep(ACCEPT_PAUSE);
                }
                drop(filling);
                listener = None;
                continue;
            }
            if self.is_down() {
                listener = None;
                self.listens.store(false, Ordering::SeqCst);
                sleep(ACCEPT_PAUSE);
                continue;
            }
            if listener.is_none() {
                listener = TcpListener::bind(self.address).ok();
                self.listens.store(listener.is_some(), Ordering::SeqCst);
            }
            let accepted = listener.as_ref().and_then(|listener| {
                listener.set_nonblocking(true).ok()?;
                listener.accept().ok()
            });
            let Some((stream, peer)) = accepted else {
                sleep(ACCEPT_PAUSE);
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_nodelay(true);
            let cut = Arc::new(AtomicBool::new(false));
            if let Ok(copy) = stream.try_clone() {
                let link = Link {
                    stream: copy,
                    port: peer.port(),
                    cut: Arc::clone(&cut),
                };
                self.links.lock().unwrap().push(link);
            }
            let replica = Arc::clone(&self);
            thread::spawn(move || {
                let process = *replica.cut_process.lock().unwrap();
                if let Some(process) = process {
                    let owned = ports_of(process, replica.address.port());
                    cut.fetch_or(owned.contains(&peer.port()), Ordering::SeqCst);
                }
                replica.serve(stream, &cut);
                let mut links = replica.links.lock().unwrap();
                links.retain(|link| link.port != peer.port());
            });
        }
    }

    fn serve(&self, stream: TcpStream, cut: &AtomicBool) {
        let Ok(writer) = stream.try_clone() else {
            return;
        };
        let caller = Caller {
            stream: Arc::new(Mutex::new(writer)),
        };
        let mut reader = BufReader::new(stream);
        while let Ok(request) = read_request(&mut reader) {
            if cut.load(Ordering::SeqCst) {
                // The bytes are lost on the way. The connection stays open.
                continue;
            }
            if request.path() == "/health" {
                let headers = format!("Instance-Id: {}\r\n", self.name);
                if !caller.write(&response_bytes("200 OK", &headers, b"")) {
                    return;
                }
                continue;
            }
            let expected = request.header("expect-instance");
            if !expected.is_empty() && expected != self.name {
                let headers = format!("Not-Executed: 1\r\nInstance-Id: {}\r\n", self.name);
                if !caller.write(&response_bytes("421 Misdirected Request", &headers, b"")) {
                    return;
                }
                continue;
            }
            if !(self.handler)(self, &request, &caller) {
                caller.close();
                return;
            }
        }
    }
}

/// The ports of a process at its end of connections to the port `to`. All processes share the loopback
/// interface, so that only the kernel's tables tell them apart.
fn ports_of(process: u32, to: u16) -> BTreeSet<u16> {
    let entries = fs::read_dir(format!("/proc/{process}/fd"))
        .into_iter()
        .flatten()
        .flatten();
    let targets = entries.filter_map(|entry| fs::read_link(entry.path()).ok());
    let inodes: BTreeSet<String> = targets
        .filter_map(|target| {
            let text = target.to_str()?.strip_prefix("socket:[")?;
            Some(text.strip_suffix(']')?.to_owned())
        })
        .collect();
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let port = |address: &str| u16::from_str_radix(address.rsplit(':').next()?, 16).ok();
    let owned = table.lines().filter_map(|line| {
        let fields: Vec<&str> = line.split_ascii_whitespace().collect();
        let is_owned = inodes.contains(*fields.get(9)?) && port(fields[2])? == to;
        is_owned.then(|| port(fields[1])).flatten()
    });
    owned.collect()
}

/// The value of a registration.
pub fn registration(service: &str, address: &str, zone: &str, state: &str, slots: u32) -> String {
    format!(
        r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":{slots},"state":"{state}","coldLeftMs":0,"seq":1}}"#
    )
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
