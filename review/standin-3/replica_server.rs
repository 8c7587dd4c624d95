//! A sound replica: answers each request after a moment with a signed body.

use std::{
    io::{BufReader, Write},
    net::{TcpListener, TcpStream},
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc,
    },
    thread,
    time::Duration,
};

use crate::{
    http_text::{read_body, read_head},
    store_server::StoreServer,
};

/// Time for which a request runs.
const WORK_TIME: Duration = Duration::from_millis(20);
/// Body of each answer.
const ANSWER_BODY: &str = "0123456789abcdef";

/// A running replica. Clones share it.
#[derive(Clone)]
pub struct ReplicaServer {
    name: String,
    runs: Arc<AtomicU64>,
}

impl ReplicaServer {
    /// Starts a replica of `service` on a free port of `ip` and registers it as ready.
    pub fn start(store: &StoreServer, service: &str, name: &str, ip: &str) -> Result<Self, String> {
        let listener = TcpListener::bind((ip, 0)).map_err(|error| error.to_string())?;
        let address = listener.local_addr().map_err(|error| error.to_string())?;
        let replica = Self {
            name: name.to_string(),
            runs: Arc::default(),
        };
        let entry = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"z1","version":"v1","slots":4,"state":"ready","coldLeftMs":0,"seq":1,"born":1700000000000}}"#
        );
        store.put(&format!("servers/{name}"), &entry);
        let server = replica.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        Ok(replica)
    }

    /// Number of requests that have run.
    pub fn runs(&self) -> u64 {
        self.runs.load(Ordering::Relaxed)
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
            let answer = match head.second_word() {
                "/health" => format!("HTTP/1.1 200 OK\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n", self.name),
                _ if head.header("expect-instance") != self.name => format!(
                    "HTTP/1.1 421 Misdirected\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                ),
                _ => {
                    let run = self.runs.fetch_add(1, Ordering::Relaxed);
                    thread::sleep(WORK_TIME);
                    format!(
                        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: {}.{run}\r\nContent-Length: {}\r\n\r\n{ANSWER_BODY}",
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
