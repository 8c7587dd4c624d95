//! The platform's store: items, ranges, watches and conditional writes.

use std::{
    collections::BTreeMap,
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http_text::{read_body, read_head};

#[derive(Default)]
struct StoreData {
    revision: u64,
    items: BTreeMap<String, (u64, String)>,
    changes: Vec<(u64, String, Option<String>)>,
}

/// A running store. Clones share it. Values are kept as base64 text, as they are sent.
#[derive(Clone)]
pub struct StoreServer {
    pub address: SocketAddr,
    data: Arc<(Mutex<StoreData>, Condvar)>,
}

impl StoreServer {
    /// Starts an empty store on a free port of `ip`.
    pub fn start(ip: &str) -> Result<Self, String> {
        let listener = TcpListener::bind((ip, 0)).map_err(|error| error.to_string())?;
        let address = listener.local_addr().map_err(|error| error.to_string())?;
        let data = StoreData {
            revision: 100,
            ..StoreData::default()
        };
        let store = Self {
            address,
            data: Arc::new((Mutex::new(data), Condvar::new())),
        };
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes an item.
    pub fn put(&self, key: &str, value: &str) {
        self.change(key, Some(encode_base64(value.as_bytes())));
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) {
        self.change(key, None);
    }

    /// The values of the items whose keys begin with `prefix`.
    pub fn values(&self, prefix: &str) -> Vec<String> {
        let data = self.data.0.lock().unwrap();
        let items = data.items.iter().filter(|(key, _)| key.starts_with(prefix));
        items.map(|(_, (_, value))| decode_base64(value)).collect()
    }

    fn change(&self, key: &str, value: Option<String>) {
        let (data, changed) = &*self.data;
        let mut data = data.lock().unwrap();
        data.revision += 1;
        let revision = data.revision;
        match &value {
            Some(value) => data.items.insert(key.into(), (revision, value.clone())),
            None => data.items.remove(key),
        };
        data.changes.push((revision, key.into(), value));
        changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = read_head(&mut reader) {
            let Ok(body) = read_body(&head, &mut reader) else {
                return;
            };
            let (status, answer) = self.answer(head.second_word(), &String::from_utf8_lossy(&body));
            let length = answer.len();
            let answer = format!(
                "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{answer}"
            );
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, target: &str, body: &str) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let field = |name: &str| {
            let mut fields = query.split('&').filter_map(|field| field.split_once('='));
            let found = fields.find(|(known, _)| *known == name);
            found.map_or("", |(_, value)| value).replace("%3A", ":")
        };
        match path {
            "/api/kv-key" => self.read_item(&field("key")),
            "/api/kv-range" => self.read_range(&field("prefix"), &field("after")),
            "/api/kv-watch" => {
                let after = field("after").parse().unwrap_or(0);
                let wait = field("waitMs").parse().unwrap_or(0);
                self.watch(after, Duration::from_millis(wait))
            }
            "/api/kv-txn" => self.write(body),
            "/api/kv-lease" => (200, r#"{"lease":1,"ttlMs":60000}"#.into()),
            path if path.starts_with("/api/kv-keep/") => (200, "{}".into()),
            _ => (404, "{}".into()),
        }
    }

    fn read_item(&self, key: &str) -> (u16, String) {
        let data = self.data.0.lock().unwrap();
        let Some((revision, value)) = data.items.get(key) else {
            return (404, "{}".into());
        };
        let as_of = format!(r#","asOf":{}}}"#, data.revision);
        (200, item_text(key, *revision, value).replace('}', &as_of))
    }

    fn read_range(&self, prefix: &str, after: &str) -> (u16, String) {
        let data = self.data.0.lock().unwrap();
        let items = data.items.iter();
        let items = items.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let items = items.map(|(key, (revision, value))| item_text(key, *revision, value));
        let items: Vec<String> = items.collect();
        let (items, revision) = (items.join(","), data.revision);
        let answer = format!(r#"{{"items":[{items}],"hasMore":false,"asOf":{revision}}}"#);
        (200, answer)
    }

    fn watch(&self, after: u64, wait: Duration) -> (u16, String) {
        let end = Instant::now() + wait;
        let (data, changed) = &*self.data;
        let mut data = data.lock().unwrap();
        loop {
            let newer = data.changes.iter().filter(|(revision, _, _)| *revision > after);
            let events = newer.map(|(revision, key, value)| match value {
                Some(value) => item_text(key, *revision, value),
                None => format!(r#"{{"key":"{key}","rev":{revision},"tombstone":true}}"#),
            });
            let events: Vec<String> = events.collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), data.revision);
                return (200, format!(r#"{{"events":[{events}],"asOf":{revision}}}"#));
            }
            data = changed.wait_timeout(data, left).unwrap().0;
        }
    }

    /// Writes items under conditions. The daemons write one item at a time.
    fn write(&self, body: &str) -> (u16, String) {
        let section = |name: &str| {
            let start = body.find(&format!("\"{name}\":["));
            let rest = start.map_or("", |start| &body[start..]);
            rest.split(']').next().unwrap_or("").to_string()
        };
        let texts = |section: &str, name: &str| {
            let mark = format!("\"{name}\":\"");
            let parts = section.split(mark.as_str()).skip(1);
            let parts = parts.map(|part| part.split('"').next().unwrap_or("").to_string());
            parts.collect::<Vec<String>>()
        };
        let expected = section("expect");
        let revisions = expected.split("\"rev\":").skip(1).map(|part| {
            let digits = part.chars().take_while(char::is_ascii_digit);
            digits.collect::<String>().parse::<u64>().unwrap_or(0)
        });
        for (key, revision) in texts(&expected, "key").iter().zip(revisions) {
            let data = self.data.0.lock().unwrap();
            if data.items.get(key).map_or(0, |(known, _)| *known) != revision {
                return (412, r#"{"items":[]}"#.into());
            }
        }
        let puts = section("puts");
        for (key, value) in texts(&puts, "key").iter().zip(texts(&puts, "value")) {
            self.change(key, Some(value));
        }
        let deletes = section("deletes");
        for key in deletes.split('"').skip(3).step_by(2) {
            self.change(key, None);
        }
        let revision = self.data.0.lock().unwrap().revision;
        (200, format!(r#"{{"rev":{revision}}}"#))
    }
}

fn item_text(key: &str, revision: u64, value: &str) -> String {
    format!(
        r#"{{"key":"{key}","value":"{value}","rev":{revision},"created":{revision},"lease":0}}"#
    )
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn decode_base64(text: &str) -> String {
    let digits = text.bytes().filter_map(|byte| DIGITS.iter().position(|digit| *digit == byte));
    let (mut bytes, mut number, mut bits) = (Vec::new(), 0u32, 0);
    for digit in digits {
        number = (number << 6 | digit as u32) & 0xffff;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((number >> bits) as u8);
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn encode_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let number = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for position in 0..4 {
            match position <= chunk.len() {
                true => {
                    let digit = (number >> (18 - 6 * position)) & 63;
                    text.push(char::from(DIGITS[digit as usize]));
                }
                false => text.push('='),
            }
        }
    }
    text
}
