//! Polls the platform's VM list.

use std::time::Duration;

use policy::engine::PlacedReplica;
use schema::{
    platform::{
        VmEntry,
        VmList, //
    },
    SchemaError, //
};
use slog::Logger;
use tokio::{
    sync::mpsc::UnboundedSender,
    time::sleep, //
};

use crate::{
    events,
    log_event,
    loop_event::LoopEvent,
    store::VmClient, //
};

/// Reads the list at the given interval and reports each change.
pub(crate) async fn poll_vms(
    client: VmClient,
    interval: Duration,
    log: Logger,
    events: UnboundedSender<LoopEvent>,
) {
    let mut last_list = VmList::default();
    let mut failing = false;
    loop {
        let result = client.read(last_list.revision).await;
        if result.is_err() {
            let _ = events.send(LoopEvent::VmListFailed);
        }
        if result.is_err() != failing {
            failing = !failing;
            log_change(&log, failing);
        }
        // After the platform went back to an old copy of the list, the next read asks for changes
        // after that copy's lower revision.
        if let Ok(Some(list)) = result {
            if list != last_list {
                let _ = events.send(LoopEvent::VmListRead(Box::new(list.clone())));
            }
            last_list = list;
        }
        sleep(interval).await;
    }
}

fn log_change(log: &Logger, failing: bool) {
    if failing {
        log_event!(log, events::VM_LIST_FAILED);
    } else {
        log_event!(log, events::VM_LIST_RECOVERED);
    }
}

/// Converts the upstreams of a list; invalid entries are left out.
pub fn parse_replicas(list: &VmList) -> Vec<PlacedReplica> {
    let upstreams = list.vms.iter().filter(|vm| vm.role == "upstream");
    upstreams.filter_map(|vm| parse_replica(vm).ok()).collect()
}

fn parse_replica(entry: &VmEntry) -> Result<PlacedReplica, SchemaError> {
    let expected = "an IP address and a port";
    Ok(PlacedReplica {
        vm: entry.name.parse()?,
        address: entry
            .address
            .parse()
            .map_err(|_| SchemaError::bad_field("address", &entry.address, expected))?,
        zone: entry.zone.parse()?,
        group: entry.group.parse()?,
        shard: entry.shard.parse()?,
        leaving: entry.state == "leaving",
    })
}
