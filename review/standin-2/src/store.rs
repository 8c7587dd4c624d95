//! The platform's store, as far as the daemons use it: items, pages, watches, conditional changes and leases.
//! It keeps all of its history and answers at once.

use std::{
    collections::BTreeMap,
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{read_request, response_bytes, Request},
    json::Json,
};

#[derive(Debug, Default)]
struct Data {
    revision: u64,
    items: BTreeMap<String, (u64, Vec<u8>)>,
    changes: Vec<(u64, String, Option<Vec<u8>>)>,
    last_lease: u64,
}

/// A running store.
#[derive(Clone, Debug, Default)]
pub struct Store {
    data: Arc<(Mutex<Data>, Condvar)>,
}

/// Items of a page.
const PAGE_ITEMS: usize = 500;

impl Store {
    pub fn new() -> Self {
        let store = Self::default();
        store.data.0.lock().unwrap().revision = 100;
        store
    }

    pub fn put(&self, key: &str, value: &str) {
        let mut data = self.data.0.lock().unwrap();
        data.put(key, value.as_bytes().to_vec());
        self.data.1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut data = self.data.0.lock().unwrap();
        data.remove(key);
        self.data.1.notify_all();
    }

    /// Starts to listen at a free port.
    pub fn serve(&self) -> SocketAddr {
        let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
        let address = listener.local_addr().unwrap();
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.answer_all(stream));
            }
        });
        address
    }

    fn answer_all(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(request) = read_request(&mut reader) {
            let (status, body) = self.answer(&request);
            let headers = "Content-Type: application/json\r\nStore-Era: 0\r\n";
            if writer
                .write_all(&response_bytes(status, headers, body.as_bytes()))
                .is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (&'static str, String) {
        match (request.method.as_str(), request.path()) {
            ("GET", "/api/kv-key") => self.key(request),
            ("GET", "/api/kv-range") => ("200 OK", self.range(request)),
            ("GET", "/api/kv-watch") => ("200 OK", self.watch(request)),
            ("POST", "/api/kv-txn") => self.change(request),
            ("POST", "/api/kv-lease") => {
                let mut data = self.data.0.lock().unwrap();
                data.last_lease += 1;
                (
                    "200 OK",
                    format!("{{\"lease\":{},\"ttlMs\":3000}}", data.last_lease),
                )
            }
            _ => ("404 Not Found", "{}".into()),
        }
    }

    fn key(&self, request: &Request) -> (&'static str, String) {
        let data = self.data.0.lock().unwrap();
        let key = request.query("key").unwrap_or_default();
        let Some((revision, value)) = data.items.get(&key) else {
            return ("404 Not Found", "{}".into());
        };
        let fields = item(&key, *revision, value);
        ("200 OK", format!("{{{fields},\"asOf\":{}}}", data.revision))
    }

    fn range(&self, request: &Request) -> String {
        let data = self.data.0.lock().unwrap();
        let prefix = request.query("prefix").unwrap_or_default();
        let after = request.query("after").unwrap_or_default();
        let mut items = Vec::new();
        let mut more = false;
        for (key, (revision, value)) in &data.items {
            if !key.starts_with(&prefix) || *key <= after {
                continue;
            }
            if items.len() == PAGE_ITEMS {
                more = true;
                break;
            }
            items.push(format!("{{{}}}", item(key, *revision, value)));
        }
        let revision = data.revision;
        format!(
            "{{\"items\":[{}],\"hasMore\":{more},\"asOf\":{revision}}}",
            items.join(",")
        )
    }

    fn watch(&self, request: &Request) -> String {
        let number = |name: &str| {
            request
                .query(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let after = number("after").unwrap_or_default();
        let prefix = request.query("prefix").unwrap_or_default();
        let end = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or_default());
        let mut data = self.data.0.lock().unwrap();
        loop {
            let newer = data
                .changes
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix));
            let events: Vec<String> = newer
                .map(|(revision, key, value)| match value {
                    Some(value) => format!("{{{}}}", item(key, *revision, value)),
                    None => format!("{{\"key\":\"{key}\",\"rev\":{revision},\"tombstone\":true}}"),
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return format!(
                    "{{\"events\":[{}],\"asOf\":{}}}",
                    events.join(","),
                    data.revision
                );
            }
            data = self.data.1.wait_timeout(data, left).unwrap().0;
        }
    }

    fn change(&self, request: &Request) -> (&'static str, String) {
        let text = String::from_utf8_lossy(&request.body);
        let Some(call) = Json::parse(&text) else {
            return ("400 Bad Request", "{}".into());
        };
        let mut data = self.data.0.lock().unwrap();
        for row in call.get("expect").list() {
            let known = data
                .items
                .get(row.get("key").text())
                .map_or(0, |(revision, _)| *revision);
            if known != row.get("rev").number() {
                return ("412 Precondition Failed", "{\"items\":[]}".into());
            }
        }
        for put in call.get("puts").list() {
            data.put(put.get("key").text(), from_base64(put.get("value").text()));
        }
        for key in call.get("deletes").list() {
            data.remove(key.text());
        }
        self.data.1.notify_all();
        ("200 OK", format!("{{\"rev\":{}}}", data.revision))
    }
}

impl Data {
    fn put(&mut self, key: &str, value: Vec<u8>) {
        self.revision += 1;
        self.items
            .insert(key.into(), (self.revision, value.clone()));
        self.changes.push((self.revision, key.into(), Some(value)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.changes.push((self.revision, key.into(), None));
        }
    }
}

fn item(key: &str, revision: u64, value: &[u8]) -> String {
    let value = to_base64(value);
    format!("\"key\":\"{key}\",\"value\":\"{value}\",\"rev\":{revision},\"created\":{revision},\"lease\":0")
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn to_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let number = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for index in 0..4 {
            let digit = (number >> (18 - 6 * index)) & 63;
            text.push(match index <= chunk.len() {
                true => ALPHABET[digit as usize] as char,
                false => '=',
            });
        }
    }
    text
}

fn from_base64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut number, mut bits) = (0u32, 0);
    for byte in text.bytes() {
        let Some(digit) = ALPHABET.iter().position(|known| *known == byte) else {
            continue;
        };
        number = (number << 6) | digit as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((number >> bits) as u8);
        }
    }
    bytes
}
