//! What is known about the load and the speed of one replica.

use std::time::Duration;

use schema::{
    ReplicaLoad,
    TimePoint, //
};

/// Time constant with which a reported load gives way to its average: a report is out of date within
/// tenths of a second.
const REPORT_DECAY: Duration = Duration::from_millis(200);
/// Age from which a report counts as missing.
const REPORT_MAX_AGE: Duration = Duration::from_secs(10);
/// Weight of a new report in the average load by other daemons.
const OTHERS_WEIGHT: f64 = 0.1;
/// Assumed load by other daemons in proportion to that by this one, for a replica that reports none.
const OTHERS_RATIO: f64 = 1.0;
/// Weight of a new sample above the slowness.
const SLOWNESS_RISE_WEIGHT: f64 = 0.2;
/// Weight of a new sample below the slowness. It is smaller, since a cancelled attempt shows only a lower
/// bound.
const SLOWNESS_FALL_WEIGHT: f64 = 0.1;
/// Largest change of the stated slowness during work that shows how slow the replica is beside it.
const STATED_CHANGE_MAX: f64 = 1.25;
/// Bounds of a sample of the slowness.
const SLOWNESS_BOUNDS: [f64; 2] = [0.2, 20.0];
/// Age up to which the slowness keeps its full weight.
const SLOWNESS_FRESH: Duration = Duration::from_millis(500);
/// Time constant with which an older slowness above 1 decays, so that a replica that was slow is tried
/// again.
const SLOWNESS_DECAY: Duration = Duration::from_secs(2);

/// The load and the speed of one replica.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaWork {
    /// Time and number of requests of other daemons in the latest report.
    report: Option<(TimePoint, f64)>,
    /// Average number of requests of other daemons in reports.
    others_mean: f64,
    /// Number of slots that the replica reports; 0 if it reports none.
    slots: f64,
    /// Slowness that the replica reports, 1 if none, with the time of the report.
    stated: (TimePoint, f64),
    /// Time that work takes here in proportion to what was expected, beside the stated slowness, with the
    /// time of the latest sample.
    observed: (TimePoint, f64),
}

impl Default for ReplicaWork {
    fn default() -> Self {
        Self {
            report: None,
            others_mean: 0.0,
            slots: 0.0,
            stated: (TimePoint(0), 1.0),
            observed: (TimePoint(0), 1.0),
        }
    }
}

impl ReplicaWork {
    /// Takes over a reported load; `own` is the number of requests of this daemon at the replica.
    pub fn record_report(&mut self, now: TimePoint, load: ReplicaLoad, own: usize) {
        let others = (load.running + load.waiting - own as f64).max(0.0);
        match self.report {
            None => self.others_mean = others,
            Some(_) => self.others_mean += OTHERS_WEIGHT * (others - self.others_mean),
        }
        self.report = Some((now, others));
        self.slots = load.slots;
        self.stated = (now, load.slowness.unwrap_or(1.0));
    }

    /// Records that work took `ratio` of the expected time, the stated slowness included, where the
    /// replica stated `sent_slowness` before. Work during which the stated slowness has changed shows
    /// nothing.
    pub fn record_ratio(&mut self, now: TimePoint, ratio: f64, sent_slowness: f64) {
        let change = self.stated_slowness(now) / sent_slowness;
        if (1.0 / STATED_CHANGE_MAX..STATED_CHANGE_MAX).contains(&change) {
            self.observe(now, ratio);
        }
    }

    /// Records that work was given up after `ratio` of the expected time, a lower bound of what it would
    /// have taken.
    pub fn record_abandoned(&mut self, now: TimePoint, ratio: f64) {
        if ratio > self.slowness(now) {
            self.observe(now, ratio);
        }
    }

    fn observe(&mut self, now: TimePoint, ratio: f64) {
        let [least, most] = SLOWNESS_BOUNDS;
        let ratio = (ratio / self.stated_slowness(now)).clamp(least, most);
        let (_, old) = self.observed;
        let weight = match ratio > old {
            true => SLOWNESS_RISE_WEIGHT,
            false => SLOWNESS_FALL_WEIGHT,
        };
        self.observed = (now, old + weight * (ratio - old));
    }

    /// Forgets what was observed in a time in which this daemon had lost its links.
    pub fn forgive(&mut self, now: TimePoint) {
        self.observed = (now, 1.0);
    }

    /// The slowness that the replica states, 1 if it states none.
    pub fn stated_slowness(&self, now: TimePoint) -> f64 {
        let (at, stated) = self.stated;
        1.0 + (stated - 1.0) * decay(now.since(at), SLOWNESS_FRESH, SLOWNESS_DECAY)
    }

    /// Time that work takes now, in proportion to the usual time.
    pub fn slowness(&self, now: TimePoint) -> f64 {
        let stated = self.stated_slowness(now);
        let (at, observed) = self.observed;
        let observed = match observed > 1.0 {
            true => 1.0 + (observed - 1.0) * decay(now.since(at), SLOWNESS_FRESH, SLOWNESS_DECAY),
            false => observed,
        };
        stated * observed
    }

    /// Expected number of requests of other daemons at the replica, where this one has `own`.
    pub fn others(&self, now: TimePoint, own: usize) -> f64 {
        match self.report {
            Some((at, others)) if now.since(at) < REPORT_MAX_AGE => {
                let weight = decay(now.since(at), Duration::ZERO, REPORT_DECAY);
                self.others_mean + (others - self.others_mean) * weight
            }
            _ => own as f64 * OTHERS_RATIO,
        }
    }

    /// Number of slots: what the replica reports, else `listed`.
    pub fn slots(&self, listed: u32) -> f64 {
        match self.slots >= 1.0 {
            true => self.slots,
            false => f64::from(listed.max(1)),
        }
    }
}

/// Weight of a figure of this age, from 1 while it is fresh towards 0, with a time constant.
pub(crate) fn decay(age: Duration, fresh: Duration, constant: Duration) -> f64 {
    let stale = age.saturating_sub(fresh).as_secs_f64();
    (-stale / constant.as_secs_f64()).exp()
}
