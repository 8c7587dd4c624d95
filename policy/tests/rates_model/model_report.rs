//! What a run of the model has shown.

use policy::rates::{
    RateEvent,
    RateLimit, //
};

use super::{
    Micros,
    ModelSettings,
    SECOND, //
};

/// Time for which an earlier limit still counts: until the new one is in force everywhere, and one window.
const CONFIG_BOUND: Micros = 5 * SECOND;

/// The requests of one account.
#[derive(Clone, Debug, Default)]
pub(crate) struct AccountTally {
    pub(crate) arrivals: u64,
    /// Requests that were made within the rate, at daemons that were not cut off.
    pub(crate) counted: u64,
    pub(crate) refused: u64,
    admitted: Vec<Micros>,
    /// Most requests in a window, as part of the bound.
    pub(crate) peak: f64,
}

/// What a run has shown.
#[derive(Clone, Debug)]
pub(crate) struct ModelReport {
    pub(crate) accounts: Vec<AccountTally>,
    pub(crate) writes: u64,
    pub(crate) events: Vec<(Micros, usize, RateEvent)>,
    messages: Vec<(u64, u64)>,
    delays: Vec<Micros>,
    /// Those of the first account.
    first_delays: Vec<Micros>,
    seconds: f64,
}

impl ModelReport {
    pub(super) fn new(accounts: usize, daemons: usize) -> Self {
        Self {
            accounts: vec![AccountTally::default(); accounts],
            writes: 0,
            events: Vec::new(),
            messages: vec![(0, 0); daemons],
            delays: Vec::new(),
            first_delays: Vec::new(),
            seconds: 0.0,
        }
    }

    pub(super) fn record_arrival(&mut self, account: usize, counted: bool) {
        self.accounts[account].arrivals += 1;
        self.accounts[account].counted += u64::from(counted);
    }

    pub(super) fn record_decision(
        &mut self,
        account: usize,
        now: Micros,
        delay: Micros,
        admitted: bool,
        counted: bool,
    ) {
        let tally = &mut self.accounts[account];
        if admitted {
            tally.admitted.push(now);
        }
        if counted {
            tally.refused += u64::from(!admitted);
            self.delays.push(delay);
            if account == 0 {
                self.first_delays.push(delay);
            }
        }
    }

    pub(super) fn record_message(&mut self, from: usize, bytes: usize) {
        self.messages[from].0 += 1;
        self.messages[from].1 += bytes as u64;
    }

    pub(super) fn record_event(&mut self, now: Micros, daemon: usize, event: RateEvent) {
        self.events.push((now, daemon, event));
    }

    /// Computes the most requests of each account in any window.
    pub(super) fn finish(&mut self, settings: &ModelSettings, limits: &[Vec<(Micros, RateLimit)>]) {
        self.seconds = settings.duration as f64 / SECOND as f64;
        self.delays.sort_unstable();
        self.first_delays.sort_unstable();
        for (tally, limits) in self.accounts.iter_mut().zip(limits) {
            tally.admitted.sort_unstable();
            let mut first = 0;
            for last in 0..tally.admitted.len() {
                let window = limits[0].1.window.as_micros() as Micros;
                let until = tally.admitted[last];
                while tally.admitted[first] + window <= until {
                    first += 1;
                }
                let count = (last - first + 1) as f64;
                let bound = bound_at(limits, until - window.min(until), until);
                tally.peak = tally.peak.max(count / bound);
            }
        }
    }

    /// The greatest peak, and its account.
    pub(crate) fn peak(&self) -> (f64, usize) {
        let peaks = self.accounts.iter().map(|tally| tally.peak).zip(0..);
        peaks.fold(
            (0.0, 0),
            |most, peak| if peak.0 > most.0 { peak } else { most },
        )
    }

    /// Part of the requests within the rate that were refused.
    pub(crate) fn refused(&self) -> f64 {
        let refused: u64 = self.accounts.iter().map(|tally| tally.refused).sum();
        let counted: u64 = self.accounts.iter().map(|tally| tally.counted).sum();
        refused as f64 / (counted.max(1)) as f64
    }

    /// The delay that a part of the requests does not exceed, in milliseconds.
    pub(crate) fn delay_ms(&self, part: f64) -> f64 {
        let index = (self.delays.len() as f64 * part) as usize;
        let delay = self
            .delays
            .get(index.min(self.delays.len().saturating_sub(1)));
        delay.map_or(0.0, |delay| *delay as f64 / 1e3)
    }

    /// The median delay of the first account, in milliseconds.
    pub(crate) fn first_delay_ms(&self) -> f64 {
        let delay = self.first_delays.get(self.first_delays.len() / 2);
        delay.map_or(0.0, |delay| *delay as f64 / 1e3)
    }

    /// The daemon that has sent the most messages.
    pub(crate) fn busiest(&self) -> usize {
        let busiest = (0..self.messages.len()).max_by_key(|index| self.messages[*index].0);
        busiest.unwrap_or(0)
    }

    /// Messages and bytes that a daemon sends a second: the mean, and the most.
    pub(crate) fn traffic(&self) -> [(f64, f64); 2] {
        let per_second = |(messages, bytes): (u64, u64)| {
            (messages as f64 / self.seconds, bytes as f64 / self.seconds)
        };
        let count = self.messages.len().max(1) as f64;
        let sum = |sum: (u64, u64), one: &(u64, u64)| (sum.0 + one.0, sum.1 + one.1);
        let total = per_second(self.messages.iter().fold((0, 0), sum));
        let most = self.messages.iter().max().copied().unwrap_or_default();
        [(total.0 / count, total.1 / count), per_second(most)]
    }
}

/// The greatest bound of those that hold in a window.
fn bound_at(limits: &[(Micros, RateLimit)], from: Micros, until: Micros) -> f64 {
    let mut greatest: f64 = 0.0;
    for (index, (start, limit)) in limits.iter().enumerate() {
        let next = limits.get(index + 1).map(|(start, _)| *start);
        let window = limit.window.as_micros() as Micros;
        let end = next.map_or(Micros::MAX, |next| next + CONFIG_BOUND + window);
        if *start > until || end <= from {
            continue;
        }
        let usual = limit.per_second * limit.window.as_secs_f64() + limit.burst;
        greatest = greatest.max(usual * (1.0 + limit.overage) + limit.slack);
    }
    greatest
}
