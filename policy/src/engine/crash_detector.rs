//! Detection of replica crashes, as distinct from the loss of a single connection.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use schema::{
    QueryPrint,
    TimePoint,
    VmName, //
};

/// Broken connections within this time of the first one are counted together.
const BURST_PERIOD: Duration = Duration::from_millis(50);
/// A connection refused within this time of the first break shows that the replica has crashed.
const CRASH_PERIOD: Duration = Duration::from_secs(2);
/// Broken connections within [`BURST_PERIOD`] that show a crash of the replica.
const BREAKS_CRASH: u32 = 2;

#[derive(Clone, Debug)]
struct BreakRecord {
    first_break: TimePoint,
    breaks: u32,
    crashed: bool,
    fingerprints: Vec<QueryPrint>,
}

/// Records broken connections by replica and decides which of them were crashes.
#[derive(Clone, Debug, Default)]
pub(super) struct CrashDetector {
    records: BTreeMap<VmName, BreakRecord>,
}

impl CrashDetector {
    /// Records that a connection to `vm` broke while it ran the query `fingerprint`. Returns the
    /// queries to which a crash of `vm` is newly attributed.
    pub(super) fn record_break(
        &mut self,
        now: TimePoint,
        vm: &VmName,
        fingerprint: QueryPrint,
    ) -> Vec<QueryPrint> {
        self.records
            .retain(|_, record| now.since(record.first_break) < CRASH_PERIOD);
        let record = self.records.entry(vm.clone()).or_insert(BreakRecord {
            first_break: now,
            breaks: 0,
            crashed: false,
            fingerprints: Vec::new(),
        });
        record.breaks += 1;
        if !record.fingerprints.contains(&fingerprint) {
            record.fingerprints.push(fingerprint);
        }
        if record.crashed {
            return vec![fingerprint];
        }
        let burst = now.since(record.first_break) < BURST_PERIOD && record.breaks >= BREAKS_CRASH;
        if !burst {
            return Vec::new();
        }
        record.crashed = true;
        record.fingerprints.clone()
    }

    /// Records that `vm` refused a connection. Returns the queries to which a crash of `vm` is
    /// newly attributed.
    pub(super) fn record_refusal(&mut self, now: TimePoint, vm: &VmName) -> Vec<QueryPrint> {
        let Some(record) = self.records.get_mut(vm) else {
            return Vec::new();
        };
        if record.crashed || now.since(record.first_break) >= CRASH_PERIOD {
            return Vec::new();
        }
        record.crashed = true;
        record.fingerprints.clone()
    }
}
