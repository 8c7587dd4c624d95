//! Measures the requests per second of one daemon thread, and its CPU time per sub-query.
//!
//! `cargo run --release -p pollentally-daemon --example throughput -- [SECONDS] [CALLERS] [SHARDS]`
//!
//! With 0 callers it measures the CPU time of an idle daemon.

use std::{
    fs,
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    sync::Arc,
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use bytes::Bytes;
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
    RunControl, //
};
use eyre::{
    eyre,
    Result, //
};
use hdrhistogram::Histogram;
use http::Request;
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use schema::{
    bundle::{
        BundleBody,
        GroupSpec,
        PolicySpec,
        SignerSpec,
        ZoneSpec, //
    },
    DeploymentSpec,
    ZoneName, //
};
use standin::{
    FleetServer,
    FleetSettings,
    ServiceTime,
    TaskHost, //
};
use tokio::{
    net::TcpStream,
    task::{
        JoinSet,
        LocalSet, //
    },
};

/// Threads that the stand-in upstreams run on.
const UPSTREAM_THREADS: usize = 3;

/// Answers and latencies of one run.
struct RunStats {
    answers: u64,
    complete: u64,
    latency: Histogram<u64>,
}

fn main() -> Result<()> {
    let mut arguments = std::env::args().skip(1).map(|text| text.parse::<u64>());
    let mut next_or = |default| arguments.next().unwrap_or(Ok(default));
    let (seconds, callers, shards) = (next_or(5)?, next_or(32)?, next_or(10)?);
    let spec = Arc::new(DeploymentSpec::from_body(&body(shards as u32))?);
    let mut hosts = Vec::new();
    for _ in 0..UPSTREAM_THREADS {
        hosts.push(TaskHost::spawn()?);
    }
    let mut settings = FleetSettings {
        hosts,
        service: ServiceTime::constant(Duration::ZERO),
        queue_per_slot: 64,
        ..FleetSettings::default()
    };
    settings.base.log_bodies = false;
    let fleet = FleetServer::start(&spec, settings)?;
    let (mut control, mut handle) = RunControl::new();
    control.bundle = Some(spec);
    let config = config(&fleet)?;
    let (tid_sender, tid) = std::sync::mpsc::channel();
    let daemon = thread::spawn(move || {
        let _ = tid_sender.send(fs::read_link("/proc/thread-self"));
        run_blocking(config, discard_logger(), control)
    });
    let task = tid.recv()??;
    let bound = wait_for_start(&mut handle.started)?;
    let run = |seconds| run_callers(bound, callers, Duration::from_secs(seconds));
    run(1)?;
    let cpu_before = thread_cpu_ns(&task)?;
    let started = Instant::now();
    let stats = run(seconds)?;
    let elapsed = started.elapsed().as_secs_f64();
    let cpu = thread_cpu_ns(&task)? - cpu_before;
    handle.stop();
    handle.stop();
    let _ = daemon.join();
    let answers = stats.answers as f64;
    println!("answers              {answers}");
    println!("answers/s            {:.0}", answers / elapsed);
    println!(
        "sub-queries/s        {:.0}",
        answers * shards as f64 / elapsed
    );
    println!(
        "complete answers     {:.2} %",
        100.0 * stats.complete as f64 / answers
    );
    println!("daemon thread busy   {:.1} %", cpu as f64 / elapsed / 1e7);
    println!("CPU per answer       {:.1} us", cpu as f64 / answers / 1e3);
    println!(
        "CPU per sub-query    {:.2} us",
        cpu as f64 / answers / shards as f64 / 1e3
    );
    for quantile in [0.5, 0.99, 0.999] {
        let micros = stats.latency.value_at_quantile(quantile);
        println!(
            "latency p{:<11} {:.2} ms",
            quantile * 100.0,
            micros as f64 / 1e3
        );
    }
    Ok(())
}

fn body(shards: u32) -> BundleBody {
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
        groups: vec![GroupSpec {
            name: "planks".into(),
            mode: "scatter".into(),
            shard_count: shards,
            replicas: 2,
            slots: 64,
            connections: 256,
            policy: Some(PolicySpec {
                deadline_ms: 5_000,
                ..PolicySpec::default()
            }),
            ..GroupSpec::default()
        }],
        ..BundleBody::default()
    }
}

fn config(fleet: &FleetServer) -> Result<DaemonConfig> {
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    Ok(DaemonConfig {
        zone: ZoneName::from_static("zone"),
        listen: ListenConfig {
            caller: any_port,
            admin: any_port,
            peer: any_port,
        },
        platform: PlatformConfig {
            vms: Some(fleet.vms().url().parse()?),
            ..PlatformConfig::default()
        },
        stop: StopConfig {
            quiet: Duration::from_millis(1),
            bound: Duration::from_secs(2),
        },
        ..DaemonConfig::default()
    })
}

fn wait_for_start(
    started: &mut tokio::sync::oneshot::Receiver<BoundAddresses>,
) -> Result<BoundAddresses> {
    loop {
        match started.try_recv() {
            Ok(bound) => {
                thread::sleep(Duration::from_millis(300));
                return Ok(bound);
            }
            Err(tokio::sync::oneshot::error::TryRecvError::Empty) => {
                thread::sleep(Duration::from_millis(1));
            }
            Err(error) => return Err(error.into()),
        }
    }
}

/// Returns the CPU time of a thread, in nanoseconds.
fn thread_cpu_ns(task: &std::path::Path) -> Result<u64> {
    let text = fs::read_to_string(format!("/proc/{}/schedstat", task.display()))?;
    let first = text
        .split(' ')
        .next()
        .ok_or_else(|| eyre!("no schedstat"))?;
    Ok(first.parse()?)
}

fn run_callers(bound: BoundAddresses, callers: u64, time: Duration) -> Result<RunStats> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, async move {
        let mut tasks = JoinSet::new();
        let end = Instant::now() + time;
        if callers == 0 {
            tokio::time::sleep(time).await;
        }
        for caller in 0..callers {
            tasks.spawn_local(run_caller(bound.caller, caller, end));
        }
        let mut total = RunStats {
            answers: 0,
            complete: 0,
            latency: Histogram::new(3)?,
        };
        while let Some(done) = tasks.join_next().await {
            let caller_stats = done??;
            total.answers += caller_stats.answers;
            total.complete += caller_stats.complete;
            total.latency.add(caller_stats.latency)?;
        }
        Ok(total)
    })
}

async fn run_caller(address: SocketAddr, caller: u64, end: Instant) -> Result<RunStats> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::task::spawn_local(connection);
    let mut stats = RunStats {
        answers: 0,
        complete: 0,
        latency: Histogram::new(3)?,
    };
    while Instant::now() < end {
        let request = Request::post("/v1/query/planks")
            .header("host", "a")
            .header("x-request-id", format!("{caller}-{}", stats.answers))
            .header("x-end-user", format!("user-{caller}"))
            .body(Full::new(Bytes::from_static(
                b"find the plank of a sponsor",
            )))?;
        let started = Instant::now();
        sender.ready().await?;
        let response = sender.send_request(request).await?;
        let body = response.into_body().collect().await?.to_bytes();
        let micros = started.elapsed().as_micros() as u64;
        stats.latency.record(micros)?;
        stats.answers += 1;
        let complete = b"\"outcome\":\"complete\"";
        let found = body
            .windows(complete.len())
            .any(|window| window == complete);
        stats.complete += u64::from(found);
    }
    Ok(stats)
}
