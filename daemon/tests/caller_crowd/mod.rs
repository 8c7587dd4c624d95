//! Crowds of connections that send parts of requests and stay open.

#![allow(clippy::unwrap_used, dead_code)]

use std::{
    io::{
        ErrorKind,
        Read,
        Write, //
    },
    net::{
        SocketAddr,
        TcpStream, //
    },
    thread::sleep,
    time::{
        Duration,
        Instant, //
    },
};

/// Longest time to send what a crowd sends. A daemon that has stopped reading takes the rest never.
const SEND_TIMEOUT: Duration = Duration::from_secs(15);
/// Time without any byte taken after which the crowd stops sending.
const SEND_PAUSE_MAX: Duration = Duration::from_secs(2);

/// What one connection sends.
struct CrowdMember {
    stream: TcpStream,
    bytes: Vec<u8>,
    sent: usize,
    ended: bool,
}

/// Connections to one address. Dropping the crowd closes them.
pub(crate) struct CallerCrowd {
    members: Vec<CrowdMember>,
}

impl CallerCrowd {
    /// Opens `count` connections, each of which is to send what `bytes_of` returns for its number.
    pub(crate) fn connect(
        address: SocketAddr,
        count: usize,
        bytes_of: impl Fn(usize) -> Vec<u8>,
    ) -> Self {
        let mut members = Vec::new();
        for number in 0..count {
            // Connections beyond the listener's backlog are not accepted at once.
            let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
                continue;
            };
            stream.set_nonblocking(true).unwrap();
            members.push(CrowdMember {
                stream,
                bytes: bytes_of(number),
                sent: 0,
                ended: false,
            });
        }
        Self { members }
    }

    /// Number of connections that were opened.
    pub(crate) fn count(&self) -> usize {
        self.members.len()
    }

    /// Sends all bytes in turns of at most `piece_bytes` for each connection. Stops early if nothing
    /// more is taken. `watch` is called between the turns.
    pub(crate) fn send(&mut self, piece_bytes: usize, mut watch: impl FnMut()) {
        let start = Instant::now();
        let mut last_taken = start;
        while start.elapsed() < SEND_TIMEOUT && last_taken.elapsed() < SEND_PAUSE_MAX {
            let mut left = 0;
            for member in &mut self.members {
                let rest = &member.bytes[member.sent..];
                if member.ended || rest.is_empty() {
                    continue;
                }
                left += 1;
                match member.stream.write(&rest[..rest.len().min(piece_bytes)]) {
                    Ok(taken) => {
                        member.sent += taken;
                        last_taken = Instant::now();
                    }
                    Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                    Err(_) => member.ended = true,
                }
            }
            watch();
            if left == 0 {
                return;
            }
            sleep(Duration::from_millis(1));
        }
    }
}

impl CallerCrowd {
    /// What has come on each connection; `None` if nothing has. Panics if a connection was reset or ended
    /// without an answer.
    pub(crate) fn answers(&mut self) -> Vec<Option<String>> {
        let answers = self.members.iter_mut().map(|member| {
            let mut bytes = Vec::new();
            match member.stream.read_to_end(&mut bytes) {
                Err(error) if error.kind() == ErrorKind::WouldBlock && bytes.is_empty() => None,
                Ok(_) | Err(_) if !bytes.is_empty() => Some(String::from_utf8(bytes).unwrap()),
                end => panic!("the connection ended without an answer: {end:?}"),
            }
        });
        answers.collect()
    }
}

/// The head of a POST request for `path`, without its end.
pub(crate) fn open_head(path: &str, id: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {id}\r\n")
}

/// A request with a body of `announced` bytes of which `sent` are sent.
pub(crate) fn counted_body(path: &str, id: &str, announced: usize, sent: usize) -> Vec<u8> {
    let head = open_head(path, id);
    let mut bytes = format!("{head}Content-Length: {announced}\r\n\r\n").into_bytes();
    bytes.resize(bytes.len() + sent, b'x');
    bytes
}

/// A request with a body of `count` chunks of `chunk_bytes` each and no end.
pub(crate) fn chunked_body(path: &str, id: &str, chunk_bytes: usize, count: usize) -> Vec<u8> {
    let head = open_head(path, id);
    let mut bytes = format!("{head}Transfer-Encoding: chunked\r\n\r\n").into_bytes();
    let mut chunk = format!("{chunk_bytes:x}\r\n").into_bytes();
    chunk.resize(chunk.len() + chunk_bytes, b'x');
    chunk.extend_from_slice(b"\r\n");
    for _ in 0..count {
        bytes.extend_from_slice(&chunk);
    }
    bytes
}
