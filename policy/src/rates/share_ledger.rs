//! The shares of the rates that a daemon may issue: its own, and those that others have pledged to it.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use schema::{
    DaemonName,
    FleetEntry,
    FleetRecord,
    TimePoint, //
};
use smallvec::SmallVec;

use super::{
    rate_plan::RateSupply,
    RateStamp, //
};

/// Time for which a superseded record still limits the shares, so that all daemons know the new one by then.
const RECORD_OVERLAP: Duration = Duration::from_secs(10);
/// Time after the last news of the record after which a daemon with half of the shares or less issues
/// nothing. It is less than the time after which others may remove it from the record.
const RECORD_AGE_MAX: Duration = Duration::from_secs(45);
/// Time after the start in which a daemon without a record issues nothing, since it may not know the others.
const UNRECORDED_DELAY: Duration = Duration::from_secs(1);
/// Shortest time for which a pledge holds.
const PLEDGE_PERIOD_MIN: Duration = Duration::from_millis(500);
/// The same for each daemon of the fleet.
const PLEDGE_PERIOD_EACH: Duration = Duration::from_millis(5);
/// Longest time for which a pledge holds, whatever a message says.
const PLEDGE_PERIOD_MAX: Duration = Duration::from_secs(60);

/// A record of the fleet that limits the shares.
#[derive(Clone, Debug)]
struct HeldRecord {
    /// Names of the daemons, ascending.
    daemons: Vec<DaemonName>,
    /// Until when; `NEVER` for the latest record.
    until: TimePoint,
}

/// A share that another daemon has pledged to this one.
#[derive(Clone, Copy, Debug)]
struct HeldPledge {
    until: TimePoint,
    /// Whether all records in force list the other daemon.
    listed: bool,
}

/// The shares that a daemon may issue.
#[derive(Clone, Debug)]
pub(super) struct ShareLedger {
    daemon: DaemonName,
    incarnation: u64,
    started_at: TimePoint,
    latest: Option<FleetEntry>,
    records: SmallVec<[HeldRecord; 2]>,
    pledges: BTreeMap<DaemonName, HeldPledge>,
    /// Until when the own share is not used, and the daemon to which it is pledged.
    bound_until: TimePoint,
    bound_to: Option<DaemonName>,
    /// The run of a process to which the share came last, and when it came with a credit; `None` for this daemon.
    credited_run: Option<(DaemonName, u64)>,
    credited_at: TimePoint,
    /// Stamps until this time may be older than they seem, because the machine was suspended since.
    resumed_at: TimePoint,
    /// When the record was known to be the latest one.
    confirmed_at: TimePoint,
    /// Other daemons that are known.
    others: usize,
    supply: RateSupply,
    next_change: TimePoint,
}

impl ShareLedger {
    /// A ledger without a record.
    pub(super) fn new(daemon: DaemonName, incarnation: u64) -> Self {
        Self {
            daemon,
            incarnation,
            started_at: TimePoint(0),
            latest: None,
            records: SmallVec::new(),
            pledges: BTreeMap::new(),
            bound_until: TimePoint(0),
            bound_to: None,
            credited_run: None,
            credited_at: TimePoint(0),
            resumed_at: TimePoint(0),
            confirmed_at: TimePoint(0),
            others: 0,
            supply: RateSupply::default(),
            next_change: TimePoint(0),
        }
    }

    /// Sets the time of the start.
    pub(super) fn start(&mut self, now: TimePoint) {
        self.started_at = now;
        self.credited_at = now;
        self.confirmed_at = now;
        self.update(now);
    }

    /// What the daemon may issue.
    pub(super) fn supply(&self) -> RateSupply {
        self.supply
    }

    /// When [`Self::update`] has to be called.
    pub(super) fn next_change(&self) -> TimePoint {
        self.next_change
    }

    /// The latest record.
    pub(super) fn latest(&self) -> Option<&FleetEntry> {
        self.latest.as_ref()
    }

    /// Whether the latest record is known to be the latest within the last `period`.
    pub(super) fn is_confirmed(&self, now: TimePoint, period: Duration) -> bool {
        now.since(self.confirmed_at) <= period
    }

    /// Number of daemons of the fleet.
    pub(super) fn daemons(&self) -> usize {
        let latest = self.latest.as_ref();
        latest.map_or(self.others + 1, |entry| entry.record.daemons.len())
    }

    /// Time for which pledges to this daemon hold.
    pub(super) fn pledge_period(&self) -> Duration {
        let daemons = u32::try_from(self.daemons()).unwrap_or(u32::MAX);
        let period = PLEDGE_PERIOD_EACH.saturating_mul(daemons);
        period.clamp(PLEDGE_PERIOD_MIN, PLEDGE_PERIOD_MAX)
    }

    /// Number of shares that are pledged to this daemon.
    pub(super) fn pledged_count(&self) -> usize {
        self.pledges.len()
    }

    /// The daemon to which the own share is pledged.
    pub(super) fn bound_to(&self, now: TimePoint) -> Option<&DaemonName> {
        self.bound_to.as_ref().filter(|_| now < self.bound_until)
    }

    /// When the own share is free again.
    pub(super) fn bound_until(&self) -> TimePoint {
        self.bound_until
    }

    /// Sets the number of other daemons that are known.
    pub(super) fn set_others(&mut self, now: TimePoint, others: usize) {
        self.others = others;
        self.update(now);
    }

    /// Notes that the latest record was the latest one at `at`.
    pub(super) fn confirm(&mut self, now: TimePoint, at: TimePoint) {
        self.confirmed_at = self.confirmed_at.max(at);
        if self.supply.share == 0.0 {
            self.update(now);
        }
    }

    /// Takes a record over. The shares are the least of the old and the new ones for `RECORD_OVERLAP`.
    /// Returns whether it differs from the latest one.
    pub(super) fn set_record(&mut self, now: TimePoint, entry: FleetEntry) -> bool {
        self.confirmed_at = now;
        let before = self.latest.replace(entry);
        let entry = self.latest.as_ref();
        let record = entry.map(|entry| entry.record.clone()).unwrap_or_default();
        if before.is_some_and(|before| before.record == record) {
            self.update(now);
            return false;
        }
        for held in &mut self.records {
            held.until = held.until.min(now + RECORD_OVERLAP);
        }
        let FleetRecord { mut daemons, .. } = record;
        daemons.sort_unstable();
        daemons.dedup();
        let until = TimePoint::NEVER;
        self.records.push(HeldRecord { daemons, until });
        // An earlier run of this process may have pledged the share.
        if self.daemons() > 1 {
            let period = self.pledge_period();
            self.bound_until = self.bound_until.max(self.started_at + period);
        }
        self.relist();
        self.update(now);
        true
    }

    /// Pledges the own share to the daemon `to`, whose stamp was received at `received_at`. Returns whether
    /// that is possible.
    pub(super) fn pledge(
        &mut self,
        now: TimePoint,
        to: &DaemonName,
        stamp: &RateStamp,
        received_at: TimePoint,
    ) -> bool {
        let until = received_at + stamp_period(stamp);
        let bound_elsewhere = now < self.bound_until && self.bound_to.as_ref() != Some(to);
        if bound_elsewhere || until <= now {
            return false;
        }
        let was_free = self.bound_until <= now;
        self.bound_to = Some(to.clone());
        self.bound_until = self.bound_until.max(until);
        if was_free {
            self.update(now);
        }
        true
    }

    /// Whether the own share can be pledged to the daemon `to`.
    pub(super) fn may_pledge(&self, now: TimePoint, to: &DaemonName) -> bool {
        self.bound_until <= now || self.bound_to.as_ref() == Some(to)
    }

    /// Takes the pledge of the daemon `from`. Returns whether the share is new.
    pub(super) fn take_pledge(
        &mut self,
        now: TimePoint,
        from: &DaemonName,
        stamp: &RateStamp,
    ) -> bool {
        let until = stamp.time + stamp_period(stamp);
        let valid = self.resumed_at < stamp.time && stamp.time <= now && now < until;
        if stamp.incarnation != self.incarnation || !valid {
            return false;
        }
        if let Some(pledge) = self.pledges.get_mut(from) {
            pledge.until = pledge.until.max(until);
            return false;
        }
        let listed = self.lists(from);
        self.pledges
            .insert(from.clone(), HeldPledge { until, listed });
        self.update(now);
        listed
    }

    /// Whether the daemon `from` has pledged its share.
    pub(super) fn has_pledge(&self, from: &DaemonName) -> bool {
        self.pledges.contains_key(from)
    }

    /// The share of each listed daemon.
    pub(super) fn unit(&self) -> f64 {
        let sizes = self.records.iter().map(|held| held.daemons.len());
        sizes.max().map_or(0.0, |most| 1.0 / most.max(1) as f64)
    }

    /// Whether the share of this daemon comes with a credit to the process `run`, or to this daemon: if it was
    /// last elsewhere, and has come with none for `period`. An earlier run of this process may have given it.
    pub(super) fn take_credit(
        &mut self,
        now: TimePoint,
        run: Option<(DaemonName, u64)>,
        period: Duration,
    ) -> bool {
        if run == self.credited_run {
            return false;
        }
        self.credited_run = run;
        if now.since(self.credited_at) < period {
            return false;
        }
        self.credited_at = now;
        true
    }

    /// Whether this daemon uses its own share.
    pub(super) fn is_own(&self, now: TimePoint) -> bool {
        self.bound_until <= now && self.is_listed()
    }

    /// Whether all records in force list this daemon.
    pub(super) fn is_listed(&self) -> bool {
        self.lists(&self.daemon)
    }

    /// Drops what may have lapsed while the machine was suspended for `period`.
    pub(super) fn on_suspended(&mut self, now: TimePoint, period: Duration) {
        self.pledges.clear();
        self.resumed_at = now;
        self.confirmed_at = self.confirmed_at - period;
        self.update(now);
    }

    /// Computes the supply at `now`.
    pub(super) fn update(&mut self, now: TimePoint) {
        let held = self.records.len();
        self.records.retain(|record| record.until > now);
        if held != self.records.len() {
            self.relist();
        }
        self.pledges.retain(|_, pledge| pledge.until > now);
        if self.records.is_empty() {
            let from = self.started_at + UNRECORDED_DELAY;
            self.supply = RateSupply {
                share: match now >= from {
                    true => 1.0 / (self.others + 1) as f64,
                    false => 0.0,
                },
                unrecorded: true,
            };
            self.next_change = if now < from { from } else { TimePoint::NEVER };
            return;
        }
        let mut next = TimePoint::NEVER;
        for record in &self.records {
            next = next.min(record.until);
        }
        let mut shares = 0;
        for pledge in self.pledges.values() {
            next = next.min(pledge.until);
            shares += usize::from(pledge.listed);
        }
        match self.bound_until <= now {
            true => shares += usize::from(self.is_listed()),
            false => next = next.min(self.bound_until),
        }
        let mut share = (shares as f64 * self.unit()).min(1.0);
        if share <= 0.5 {
            let lapses_at = self.confirmed_at + RECORD_AGE_MAX;
            match lapses_at <= now {
                true => share = 0.0,
                false => next = next.min(lapses_at),
            }
        }
        self.supply = RateSupply {
            share,
            unrecorded: false,
        };
        self.next_change = next;
    }

    fn lists(&self, daemon: &DaemonName) -> bool {
        let listed = |record: &HeldRecord| record.daemons.binary_search(daemon).is_ok();
        !self.records.is_empty() && self.records.iter().all(listed)
    }

    fn relist(&mut self) {
        let mut pledges = std::mem::take(&mut self.pledges);
        for (daemon, pledge) in &mut pledges {
            pledge.listed = self.lists(daemon);
        }
        self.pledges = pledges;
    }
}

fn stamp_period(stamp: &RateStamp) -> Duration {
    let period = Duration::from_millis(u64::from(stamp.period_ms));
    period.min(PLEDGE_PERIOD_MAX)
}
