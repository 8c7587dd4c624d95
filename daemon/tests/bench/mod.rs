//! Test bench: a daemon on its own thread, simulated upstreams, and a simple HTTP client.

#![allow(dead_code, unreachable_pub, clippy::unwrap_used)]

pub(crate) mod store_fixture;

use std::{
    io::{
        BufRead,
        BufReader,
        Read,
        Write, //
    },
    net::{
        Ipv4Addr,
        SocketAddr,
        TcpStream, //
    },
    process::ChildStderr,
    sync::Arc,
    thread,
    time::Duration, //
};

use daemon::{
    config::{
        ListenConfig,
        PlatformConfig,
        StopConfig, //
    },
    discard_logger,
    run_blocking,
    BoundAddresses,
    DaemonConfig,
    DaemonError,
    RunControl,
    RunHandle,
    StatusBody,
    StopReport, //
};
use schema::{
    bundle::{
        BundleBody,
        GroupSpec,
        PolicySpec,
        SignerSpec,
        ZoneSpec, //
    },
    caller::AnswerBody,
    DeploymentSpec,
    ZoneName, //
};
use standin::{
    FleetServer,
    FleetSettings, //
};

/// A running daemon and the simulated services that it uses. Dropping it stops the daemon.
pub(crate) struct TestBench {
    pub(crate) fleet: Arc<FleetServer>,
    pub(crate) bound: BoundAddresses,
    pub(crate) handle: RunHandle,
    thread: Option<thread::JoinHandle<Result<StopReport, DaemonError>>>,
}

/// An HTTP reply; `head` holds the status line and headers in lower case.
pub(crate) struct PlainReply {
    pub(crate) status: u16,
    pub(crate) head: String,
    pub(crate) body: String,
}

impl PlainReply {
    pub(crate) fn answer(&self) -> AnswerBody {
        serde_json::from_str(&self.body).unwrap()
    }

    pub(crate) fn code(&self) -> String {
        let body: serde_json::Value = serde_json::from_str(&self.body).unwrap();
        body["code"].as_str().unwrap_or("").into()
    }
}

/// The bundle body of the tests: a scatter group `planks` of four shards with two replicas.
pub(crate) fn body() -> BundleBody {
    let planks = GroupSpec {
        name: "planks".into(),
        mode: "scatter".into(),
        shard_count: 4,
        replicas: 2,
        slots: 2,
        connections: 8,
        policy: Some(PolicySpec {
            deadline_ms: 2_000,
            deadline_max_ms: 5_000,
            body_max: 4_096,
            ..PolicySpec::default()
        }),
        ..GroupSpec::default()
    };
    BundleBody {
        deployment: "deployment".into(),
        version: 1,
        signers: vec![SignerSpec {
            name: "signer".into(),
            key: "11".repeat(32),
        }],
        signers_required: 1,
        daemons: 1,
        zones: vec![ZoneSpec {
            name: "zone".into(),
            region: "region".into(),
        }],
        groups: vec![planks],
        ..BundleBody::default()
    }
}

pub(crate) fn spec(body: &BundleBody) -> Arc<DeploymentSpec> {
    Arc::new(DeploymentSpec::from_body(body).unwrap())
}

/// Settings of a daemon that uses `fleet`; the operating system assigns its ports.
pub(crate) fn config(fleet: &FleetServer) -> DaemonConfig {
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    DaemonConfig {
        zone: ZoneName::from_static("zone"),
        listen: ListenConfig {
            caller: any_port,
            admin: any_port,
            peer: any_port,
        },
        platform: PlatformConfig {
            vms: Some(fleet.vms().url().parse().unwrap()),
            vms_interval: Duration::from_millis(20),
            ..PlatformConfig::default()
        },
        stop: StopConfig {
            quiet: Duration::from_millis(50),
            bound: Duration::from_secs(20),
        },
        ..DaemonConfig::default()
    }
}

impl TestBench {
    pub(crate) fn start() -> Self {
        Self::with(&body(), |_| {})
    }

    /// Starts a daemon that serves `body`, with settings modified by `change`; waits until it is
    /// ready.
    pub(crate) fn with(body: &BundleBody, change: impl FnOnce(&mut DaemonConfig)) -> Self {
        let spec = spec(body);
        let fleet = FleetServer::start(&spec, FleetSettings::default()).unwrap();
        let mut config = config(&fleet);
        change(&mut config);
        let (mut control, handle) = RunControl::new();
        control.bundle = Some(spec);
        let bench = Self::launch(fleet, config, control, handle);
        bench.wait_ready();
        bench
    }

    /// Starts a daemon with `config` and waits until its ports are bound.
    pub(crate) fn launch(
        fleet: impl Into<Arc<FleetServer>>,
        config: DaemonConfig,
        control: RunControl,
        mut handle: RunHandle,
    ) -> Self {
        let thread = thread::spawn(move || run_blocking(config, discard_logger(), control));
        let bound = loop {
            match handle.started.try_recv() {
                Ok(bound) => break bound,
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        };
        Self {
            fleet: fleet.into(),
            bound,
            handle,
            thread: Some(thread),
        }
    }

    /// Waits until the daemon is ready.
    pub(crate) fn wait_ready(&self) {
        while self.admin("/ready").status != 200 {
            thread::sleep(Duration::from_millis(5));
        }
    }

    pub(crate) fn status(&self) -> StatusBody {
        serde_json::from_str(&self.admin("/status").body).unwrap()
    }

    pub(crate) fn admin(&self, path: &str) -> PlainReply {
        let request = format!("GET {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
        exchange(self.bound.admin, request.as_bytes())
    }

    /// Sends a query for the end user `user`.
    pub(crate) fn ask(&self, group: &str, id: &str, text: &str) -> PlainReply {
        let head = format!("x-request-id: {id}\r\nx-end-user: user\r\n");
        self.send(group, &head, text.as_bytes())
    }

    /// Sends a query with the header lines `head` and the given body.
    pub(crate) fn send(&self, group: &str, head: &str, body: &[u8]) -> PlainReply {
        exchange(self.bound.caller, &request(group, head, body))
    }

    /// Waits until the daemon has ended.
    pub(crate) fn join(mut self) -> Result<StopReport, DaemonError> {
        self.thread.take().unwrap().join().unwrap()
    }
}

impl Drop for TestBench {
    fn drop(&mut self) {
        if let Some(thread) = self.thread.take() {
            self.handle.stop();
            self.handle.stop();
            let _ = thread.join();
        }
    }
}

/// The HTTP request of a query.
pub(crate) fn request(group: &str, head: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let mut bytes = format!(
        "POST /v1/query/{group} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
         content-length: {length}\r\n{head}\r\n"
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends `bytes` on a new connection and reads the reply.
pub(crate) fn exchange(address: SocketAddr, bytes: &[u8]) -> PlainReply {
    let mut stream = TcpStream::connect(address).unwrap();
    // The daemon may refuse the request and close the connection before all bytes are written.
    let _ = stream.write_all(bytes);
    read_reply(&mut stream)
}

/// Reads a reply up to the end of the connection.
pub(crate) fn read_reply(stream: &mut TcpStream) -> PlainReply {
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes);
    let text = String::from_utf8(bytes).unwrap();
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let status = head.split(' ').nth(1).and_then(|code| code.parse().ok());
    PlainReply {
        status: status.unwrap_or(0),
        head: head.to_lowercase(),
        body: body.into(),
    }
}

/// Reads the log up to the next line with the code `event` and returns that line.
pub fn wait_for_event(log: &mut BufReader<ChildStderr>, event: &str) -> serde_json::Value {
    loop {
        let mut line = String::new();
        let length = log.read_line(&mut line).unwrap();
        assert!(length > 0, "the log ended before {event}");
        let value: serde_json::Value = serde_json::from_str(&line).unwrap();
        if value["event"] == event {
            return value;
        }
    }
}
