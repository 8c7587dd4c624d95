//! The daemons of a run, or as many naive frontends, each on its own thread.

use std::{
    net::SocketAddr,
    sync::Arc,
    thread::JoinHandle,
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
    RunControl,
    RunHandle, //
};
use schema::DeploymentSpec;
use standin::FleetServer;

use crate::{
    naive_frontend::NaiveFrontend,
    MeasureError, //
};

/// Key by which the daemons of a run authenticate to each other.
const PEER_KEY: [u8; 32] = [7; 32];
/// Time limit of a graceful stop at the end of a run.
const STOP_BOUND: Duration = Duration::from_millis(400);

/// What a [`DaemonSet`] is started with.
pub(crate) struct ClusterPlan<'a> {
    pub(crate) spec: Arc<DeploymentSpec>,
    pub(crate) fleet: &'a FleetServer,
    pub(crate) store: String,
    pub(crate) seed: u64,
}

struct RunningDaemon {
    config: DaemonConfig,
    handle: RunHandle,
    thread: JoinHandle<()>,
}

/// The running daemons or naive frontends, with the addresses that callers use.
#[derive(Default)]
pub(crate) struct DaemonSet {
    daemons: Vec<RunningDaemon>,
    stops: Vec<tokio::sync::oneshot::Sender<()>>,
    threads: Vec<JoinHandle<()>>,
    pub(crate) addresses: Vec<SocketAddr>,
}

impl DaemonSet {
    /// Starts the number of daemons that the bundle states, distributed over its data centres.
    pub(crate) fn start(plan: &ClusterPlan<'_>) -> Result<Self, MeasureError> {
        let mut set = Self::default();
        for index in 0..plan.spec.daemons {
            let config = daemon_config(plan, index)?;
            let (daemon, bound) = launch(config, plan.spec.clone())?;
            let name = daemon.config.name.to_string();
            plan.fleet
                .list_daemon(&name, bound.caller, bound.peer, daemon.config.zone.as_str());
            set.addresses.push(bound.caller);
            set.daemons.push(daemon);
        }
        Ok(set)
    }

    /// Starts the same number of naive frontends instead of daemons.
    pub(crate) fn start_naive(plan: &ClusterPlan<'_>) -> Result<Self, MeasureError> {
        let mut set = Self::default();
        let vms: Vec<_> = plan
            .fleet
            .upstreams()
            .map(|(_, server)| server.vm_entry())
            .collect();
        for index in 0..plan.spec.daemons {
            let (zone, _) = &plan.spec.zones[index as usize % plan.spec.zones.len()];
            let frontend = NaiveFrontend {
                spec: plan.spec.clone(),
                vms: vms.clone(),
                zone: zone.to_string(),
                seed: plan.seed.wrapping_add(u64::from(index)),
            };
            let (address_sender, address_receiver) = std::sync::mpsc::channel();
            let (stop, stopped) = tokio::sync::oneshot::channel();
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()?;
            set.threads.push(std::thread::spawn(move || {
                runtime.block_on(async move {
                    let _ = address_sender.send(frontend.serve().await);
                    let _ = stopped.await;
                });
            }));
            set.stops.push(stop);
            set.addresses.push(
                address_receiver
                    .recv()
                    .map_err(|_| MeasureError::NotStarted)??,
            );
        }
        Ok(set)
    }

    /// Stops all daemons at once without draining, as when their VMs are lost, and restarts them at
    /// the same addresses. The second `stop` call ends the graceful stop.
    pub(crate) fn restart_all(&mut self, spec: &Arc<DeploymentSpec>) -> Result<(), MeasureError> {
        for daemon in &self.daemons {
            daemon.handle.stop();
            daemon.handle.stop();
        }
        let stopped: Vec<RunningDaemon> = self.daemons.drain(..).collect();
        for daemon in stopped {
            let _ = daemon.thread.join();
            let (daemon, _) = launch(daemon.config, spec.clone())?;
            self.daemons.push(daemon);
        }
        Ok(())
    }

    /// Stops all daemons and frontends and waits for their threads.
    pub(crate) fn stop(self) {
        drop(self.stops);
        for daemon in &self.daemons {
            daemon.handle.stop();
            daemon.handle.stop();
        }
        for daemon in self.daemons {
            let _ = daemon.thread.join();
        }
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

fn daemon_config(plan: &ClusterPlan<'_>, place: u32) -> Result<DaemonConfig, MeasureError> {
    let (zone, region) = &plan.spec.zones[place as usize % plan.spec.zones.len()];
    let local = SocketAddr::from(([127, 0, 0, 1], 0));
    let url = |text: String| text.parse().map_err(|_| MeasureError::BadUrl);
    Ok(DaemonConfig {
        name: format!("entry-{place}").parse()?,
        deployment: plan.spec.deployment.clone(),
        zone: zone.clone(),
        region: region.clone(),
        listen: ListenConfig {
            caller: local,
            admin: local,
            peer: local,
        },
        peer_key: PEER_KEY,
        platform: PlatformConfig {
            store: Some(url(plan.store.clone())?),
            vms: Some(url(plan.fleet.vms().url())?),
            ..PlatformConfig::default()
        },
        stop: StopConfig {
            quiet: Duration::from_millis(1),
            bound: STOP_BOUND,
        },
        ..DaemonConfig::default()
    })
}

fn launch(
    config: DaemonConfig,
    spec: Arc<DeploymentSpec>,
) -> Result<(RunningDaemon, BoundAddresses), MeasureError> {
    let (mut control, mut handle) = RunControl::new();
    control.bundle = Some(spec);
    let (error_sender, error_receiver) = std::sync::mpsc::channel();
    let thread = std::thread::spawn({
        let config = config.clone();
        move || {
            if let Err(error) = run_blocking(config, discard_logger(), control) {
                let _ = error_sender.send(error);
            }
        }
    });
    let runtime = tokio::runtime::Builder::new_current_thread().build()?;
    let Ok(bound) = runtime.block_on(&mut handle.started) else {
        let error = error_receiver
            .recv()
            .map_err(|_| MeasureError::NotStarted)?;
        return Err(MeasureError::Daemon(error));
    };
    // A restart uses the same ports, as a replaced VM keeps its address behind the load balancer.
    let config = DaemonConfig {
        listen: ListenConfig {
            caller: bound.caller,
            admin: bound.admin,
            peer: bound.peer,
        },
        ..config
    };
    let daemon = RunningDaemon {
        config,
        handle,
        thread,
    };
    Ok((daemon, bound))
}
