//! Reads and writes HTTP/1.1 messages on blocking connections.

use std::{
    io::{BufRead, ErrorKind, Read, Result, Write},
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpStream},
    os::fd::FromRawFd,
    time::Duration,
};

/// The first line and the headers of a message, names in lower case.
#[derive(Clone, Debug, Default)]
pub struct MessageHead {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
}

impl MessageHead {
    /// The value of a header; empty if it is missing.
    pub fn header(&self, name: &str) -> &str {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value)
    }

    /// The second word of the first line: the target of a request, or the status of an answer.
    pub fn second_word(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads a head; `None` if the connection ends before it is complete.
pub fn read_head(reader: &mut impl BufRead) -> Result<Option<MessageHead>> {
    let mut head = MessageHead::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 || !line.ends_with('\n') {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() && !head.first_line.is_empty() {
            return Ok(Some(head));
        }
        match line.split_once(':') {
            _ if head.first_line.is_empty() => head.first_line = line.to_string(),
            Some((name, value)) => {
                let name = name.trim().to_ascii_lowercase();
                head.headers.push((name, value.trim().to_string()));
            }
            None => {}
        }
    }
}

/// Reads the body that belongs to `head`, which has a length or is sent in chunks.
pub fn read_body(head: &MessageHead, reader: &mut impl BufRead) -> Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let size = line.trim().split(';').next().unwrap_or("");
            let size = usize::from_str_radix(size, 16).unwrap_or(0);
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
    let length = head.header("content-length").parse().unwrap_or(0);
    body.resize(length, 0);
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// An IPv4 address and port, as the system calls take them.
#[repr(C)]
struct SocketName {
    family: u16,
    port: u16,
    address: u32,
    zero: [u8; 8],
}

impl SocketName {
    fn new(address: SocketAddrV4) -> Self {
        Self {
            family: 2,
            port: address.port().to_be(),
            address: u32::from(*address.ip()).to_be(),
            zero: [0; 8],
        }
    }
}

extern "C" {
    fn socket(family: i32, kind: i32, protocol: i32) -> i32;
    fn bind(socket: i32, name: *const SocketName, length: u32) -> i32;
    fn connect(socket: i32, name: *const SocketName, length: u32) -> i32;
}

/// Opens a connection from the address `source`. The standard library can't choose the source.
pub fn connect_from(source: Ipv4Addr, to: SocketAddrV4) -> Result<TcpStream> {
    let length = std::mem::size_of::<SocketName>() as u32;
    let (from, to) = (SocketName::new(SocketAddrV4::new(source, 0)), SocketName::new(to));
    // SAFETY: the names outlive the calls, and the descriptor is owned by the stream from its creation on.
    unsafe {
        let descriptor = socket(2, 1, 0);
        if descriptor < 0 {
            return Err(std::io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(descriptor);
        if bind(descriptor, &from, length) < 0 || connect(descriptor, &to, length) < 0 {
            return Err(std::io::Error::last_os_error());
        }
        Ok(stream)
    }
}

/// Sends a request on a new connection; returns the status of the answer, or why there is none.
pub fn call_once(address: SocketAddr, request: &str, deadline_ms: u64) -> std::result::Result<String, ErrorKind> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1));
    call_on(stream.map_err(|error| error.kind())?, request, deadline_ms)
}

/// Sends a request on a connection; returns the status of the answer, or why there is none.
pub fn call_on(mut stream: TcpStream, request: &str, deadline_ms: u64) -> std::result::Result<String, ErrorKind> {
    let wait = Duration::from_millis(deadline_ms);
    stream.set_read_timeout(Some(wait)).map_err(|error| error.kind())?;
    stream.write_all(request.as_bytes()).map_err(|error| error.kind())?;
    let mut start = [0; 12];
    stream.read_exact(&mut start).map_err(|error| error.kind())?;
    Ok(String::from_utf8_lossy(&start[9..]).into_owned())
}
