//! Detection of idle connections to an upstream that no longer carry data.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use schema::{
    TimePoint,
    VmName, //
};

/// Time without a reply after which a device on the path may have dropped idle connections without
/// notice to either side. One attempt that lost the race with its hedge is then enough to report
/// the upstream.
const QUIET_PERIOD: Duration = Duration::from_secs(1);
/// Lost races without a reply in between that are enough to report the upstream within
/// [`QUIET_PERIOD`] of its last reply.
const LOST_RACES_SILENT: u32 = 2;
/// Shortest time between two reports about one upstream.
const REPORT_INTERVAL: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug, Default)]
struct ReplyHistory {
    last_reply: TimePoint,
    last_report: TimePoint,
    lost_races: u32,
}

/// Tracks the replies of each upstream.
#[derive(Clone, Debug, Default)]
pub(super) struct SilenceDetector {
    histories: BTreeMap<VmName, ReplyHistory>,
}

impl SilenceDetector {
    /// Records a reply.
    pub(super) fn record_reply(&mut self, vm: &VmName, now: TimePoint) {
        if let Some(history) = self.histories.get_mut(vm) {
            history.last_reply = now;
            history.lost_races = 0;
            return;
        }
        let history = ReplyHistory {
            last_reply: now,
            ..ReplyHistory::default()
        };
        self.histories.insert(vm.clone(), history);
    }

    /// Records that an attempt sent at `ordered_at` had no reply when its hedge was answered.
    /// Returns whether the idle connections to the upstream are to be closed.
    pub(super) fn record_lost_race(
        &mut self,
        vm: &VmName,
        now: TimePoint,
        ordered_at: TimePoint,
    ) -> bool {
        let history = self.histories.entry(vm.clone()).or_default();
        history.lost_races += 1;
        let no_recent_reply = ordered_at.since(history.last_reply) >= QUIET_PERIOD;
        let may_report = now.since(history.last_report) >= REPORT_INTERVAL;
        if !may_report || (!no_recent_reply && history.lost_races < LOST_RACES_SILENT) {
            return false;
        }
        history.last_report = now;
        history.lost_races = 0;
        true
    }

    /// Drops the history of upstreams that are not in `known`, which must be sorted.
    pub(super) fn retain(&mut self, known: &[VmName]) {
        self.histories
            .retain(|vm, _| known.binary_search(vm).is_ok());
    }
}
