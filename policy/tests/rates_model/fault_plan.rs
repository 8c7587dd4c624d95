//! Faults of the model.

use rand::Rng;

use super::{
    Micros,
    ModelEvent,
    RateModel,
    CONFIG_SPREAD, //
};

/// A fault, with the time for which it lasts where it lasts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum FaultKind {
    /// A daemon is cut off.
    CutOne(usize, Micros),
    /// Every third daemon, as a data centre.
    CutZone(usize, Micros),
    /// Half of the daemons.
    CutHalf(Micros),
    /// A process is stopped and continued.
    Freeze(usize, Micros),
    /// A machine is suspended: its clock stands still.
    Suspend(usize, Micros),
    /// A process ends and starts again.
    Restart(usize, Micros),
    /// A process ends for good.
    Stop(usize),
    /// All processes end and start again.
    RestartAll(Micros),
    /// The store is unavailable.
    StoreDown(Micros),
    /// The rate and burst of an account are multiplied.
    ChangeRate(usize, f64),
}

impl RateModel {
    pub(super) fn apply_fault(&mut self, fault: FaultKind) {
        let count = self.daemons.len();
        match fault {
            FaultKind::CutOne(daemon, period) => self.cut(&[daemon], period),
            FaultKind::CutZone(zone, period) => {
                let zone: Vec<usize> = (0..count).filter(|index| index % 3 == zone % 3).collect();
                self.cut(&zone, period);
            }
            FaultKind::CutHalf(period) => {
                let half: Vec<usize> = (0..count / 2).collect();
                self.cut(&half, period);
            }
            FaultKind::Freeze(daemon, period) => self.freeze(daemon, period),
            FaultKind::Suspend(daemon, period) => {
                if self.runs(daemon) {
                    self.daemons[daemon].suspended_at = Some(self.now);
                    self.freeze(daemon, period);
                }
            }
            FaultKind::Restart(daemon, period) => self.restart(daemon, period),
            FaultKind::Stop(daemon) => {
                self.daemons[daemon].up = false;
                self.connectivity_changed();
            }
            FaultKind::RestartAll(period) => {
                for daemon in 0..count {
                    let jitter = self.random.random_range(0..500_000);
                    self.restart(daemon, period + jitter);
                }
            }
            FaultKind::StoreDown(period) => {
                self.store_is_up = false;
                self.push(self.now + period, ModelEvent::StoreBack);
            }
            FaultKind::ChangeRate(account, factor) => {
                let mut limit = self.limits[account].last().unwrap().1;
                limit.per_second *= factor;
                limit.burst *= factor;
                self.limits[account].push((self.now, limit));
                for daemon in 0..count {
                    let at = self.now + self.random.random_range(0..CONFIG_SPREAD);
                    self.push(at, ModelEvent::Limits(daemon));
                }
            }
        }
    }

    fn cut(&mut self, daemons: &[usize], period: Micros) {
        self.last_side += 1;
        for daemon in daemons {
            self.daemons[*daemon].side = self.last_side;
            self.push(self.now + period, ModelEvent::Heal(*daemon));
        }
        self.connectivity_changed();
    }

    fn freeze(&mut self, daemon: usize, period: Micros) {
        let until = self.now + period;
        self.daemons[daemon].frozen_until = until.max(self.daemons[daemon].frozen_until);
        let until = self.daemons[daemon].frozen_until;
        for ((at, _), waiting) in &mut self.waiting {
            waiting.counted &= *at != daemon;
        }
        self.push(until, ModelEvent::Resume(daemon));
        self.connectivity_changed();
    }

    fn restart(&mut self, daemon: usize, period: Micros) {
        let state = &mut self.daemons[daemon];
        if !state.up {
            return;
        }
        state.up = false;
        state.suspended_at = None;
        state.frozen_until = 0;
        state.inbox.clear();
        self.waiting.retain(|(at, _), _| *at != daemon);
        self.push(self.now + period, ModelEvent::Start(daemon));
        self.connectivity_changed();
    }
}
