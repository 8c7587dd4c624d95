//! Reads and writes HTTP/1.1 messages on blocking connections.

use std::io::{BufRead, Result};

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
