//! A minimal blocking HTTP client, which reports truncated replies and closed connections.

use std::{
    io::{
        Read,
        Write, //
    },
    net::{
        SocketAddr,
        TcpStream, //
    },
    time::Duration,
};

/// Sends a request on a new connection; `None` if no complete reply arrived.
pub(crate) fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect(address).ok()?;
    send(&mut stream, method, path, body)
}

/// Sends a request on `stream`; `None` if no complete reply arrived.
pub(crate) fn send(
    stream: &mut TcpStream,
    method: &str,
    path: &str,
    body: &str,
) -> Option<(u16, String)> {
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: standin\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).ok()?;
    stream.write_all(body.as_bytes()).ok()?;
    receive(stream)
}

fn receive(stream: &mut TcpStream) -> Option<(u16, String)> {
    let mut received = Vec::new();
    let mut chunk = [0; 16 * 1024];
    loop {
        if let Some(reply) = parse_complete(&received) {
            return Some(reply);
        }
        let count = stream.read(&mut chunk).ok()?;
        if count == 0 {
            return None;
        }
        received.extend_from_slice(&chunk[..count]);
    }
}

fn parse_complete(received: &[u8]) -> Option<(u16, String)> {
    let text = String::from_utf8_lossy(received);
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status: u16 = head.split(' ').nth(1)?.parse().ok()?;
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "))
        .map_or(0, |value| value.parse().unwrap_or(0));
    let no_body = status == 304 || status == 204;
    (no_body || body.len() >= length).then(|| (status, body.to_owned()))
}

/// Sets the timeout of reads from `stream`.
#[allow(dead_code)]
pub(crate) fn set_read_timeout(stream: &TcpStream, timeout: Duration) {
    stream.set_read_timeout(Some(timeout)).unwrap();
}
