//! Minimal HTTP/1.1 messages over TCP.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// A request as it was received.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// A response as it was received.
#[derive(Clone, Debug, Default)]
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> &'a str {
    let found = headers
        .iter()
        .find(|(known, _)| known.eq_ignore_ascii_case(name));
    found.map_or("", |(_, value)| value.as_str())
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name)
    }

    /// The value of a query parameter, with percent escapes decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(known, _)| *known == name)
            .map(|(_, value)| decode(value))
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }
}

impl Response {
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name)
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        let hex = text.get(index + 1..index + 3);
        match (
            bytes[index],
            hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()),
        ) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                index += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_owned())
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
}

fn read_chunks(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let line = read_line(reader)?;
        let size = line.split(';').next().unwrap_or("").trim();
        let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let mut chunk = vec![0; size];
        reader.read_exact(&mut chunk)?;
        body.extend(chunk);
        if size == 0 {
            read_headers(reader)?;
            return Ok(body);
        }
        read_line(reader)?;
    }
}

/// Reads a request with its whole body.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Request> {
    let line = read_line(reader)?;
    let mut words = line.split(' ');
    let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
    let mut request = Request {
        method: method.into(),
        target: target.into(),
        headers: read_headers(reader)?,
        body: Vec::new(),
    };
    if request
        .header("transfer-encoding")
        .eq_ignore_ascii_case("chunked")
    {
        request.body = read_chunks(reader)?;
    } else if let Ok(length) = request.header("content-length").parse::<usize>() {
        request.body = vec![0; length];
        reader.read_exact(&mut request.body)?;
    }
    Ok(request)
}

/// Reads a response with its whole body, to the end of the connection if it names no length.
pub fn read_response(reader: &mut BufReader<TcpStream>) -> io::Result<Response> {
    let line = read_line(reader)?;
    let status = line.split(' ').nth(1).and_then(|word| word.parse().ok());
    let mut response = Response {
        status: status.ok_or(io::ErrorKind::InvalidData)?,
        headers: read_headers(reader)?,
        body: Vec::new(),
    };
    if response
        .header("transfer-encoding")
        .eq_ignore_ascii_case("chunked")
    {
        response.body = read_chunks(reader)?;
    } else if let Ok(length) = response.header("content-length").parse::<usize>() {
        response.body = vec![0; length];
        reader.read_exact(&mut response.body)?;
    } else {
        reader.read_to_end(&mut response.body)?;
    }
    Ok(response)
}

/// Bytes of a response with a length.
pub fn response_bytes(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

/// A kept connection of a client.
pub struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(to: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Self {
            reader: BufReader::new(stream),
        })
    }

    /// Sends a request and waits for the response for at most `patience`.
    pub fn send(&mut self, bytes: &[u8], patience: Duration) -> io::Result<Response> {
        let deadline = Instant::now() + patience;
        let stream = self.reader.get_mut();
        stream.write_all(bytes)?;
        let left = deadline.saturating_duration_since(Instant::now());
        stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
        read_response(&mut self.reader)
    }
}

/// Bytes of a client's request.
pub fn request_bytes(line: &str, host: &str, id: &str, deadline: Duration, body: &[u8]) -> Vec<u8> {
    let length = match body.is_empty() {
        true => String::new(),
        false => format!("Content-Length: {}\r\n", body.len()),
    };
    let ms = deadline.as_millis();
    let head = format!(
        "{line} HTTP/1.1\r\nHost: {host}\r\nRequest-Id: {id}\r\nDeadline-Remaining: {ms}\r\n{length}\r\n"
    );
    [head.as_bytes(), body].concat()
}

/// One request on a connection of its own; the status is 0 if the connection gave no complete response.
pub fn call(to: SocketAddr, bytes: &[u8], patience: Duration) -> Response {
    let response = Connection::open(to).and_then(|mut connection| connection.send(bytes, patience));
    response.unwrap_or_default()
}
