//! Polling of the platform's VM list.

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

/// Reads the list again and again and reports each change.
pub(crate) async fn poll_vms(
    client: VmClient,
    interval: Duration,
    log: Logger,
    events: UnboundedSender<LoopEvent>,
) {
    let mut last = VmList::default();
    let mut failing = false;
    loop {
        let read = client.read(last.revision).await;
        if read.is_err() {
            let _ = events.send(LoopEvent::VmListFailed);
        }
        if read.is_err() != failing {
            failing = !failing;
            note_change(&log, failing);
        }
        // A list that came back from an old copy counts from a lower revision.
        if let Ok(Some(list)) = read {
            if list != last {
                let _ = events.send(LoopEvent::VmListRead(Box::new(list.clone())));
            }
            last = list;
        }
        sleep(interval).await;
    }
}

fn note_change(log: &Logger, failing: bool) {
    if failing {
        log_event!(log, events::VM_LIST_FAILED);
    } else {
        log_event!(log, events::VM_LIST_RECOVERED);
    }
}

/// The upstreams of a list; entries that can't be used are left out.
pub fn replicas_of(list: &VmList) -> Vec<PlacedReplica> {
    let upstreams = list.vms.iter().filter(|vm| vm.role == "upstream");
    upstreams.filter_map(|vm| replica_of(vm).ok()).collect()
}

fn replica_of(entry: &VmEntry) -> Result<PlacedReplica, SchemaError> {
    let expected = "an IP number and a port";
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
