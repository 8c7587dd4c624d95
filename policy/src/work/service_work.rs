//! Expected work of the requests of one service.

use schema::RouteName;
use smallvec::SmallVec;

use super::WorkEstimate;

/// Weight of a new sample in the mean work of the service.
const MEAN_WEIGHT: f64 = 0.05;
/// Number of routes of a service that are told apart; further ones count as average.
const ROUTES_MAX: usize = 32;

/// Expected work at one service, by route.
#[derive(Clone, Debug, Default)]
pub struct ServiceWork {
    routes: SmallVec<[(RouteName, WorkEstimate); 3]>,
    /// Mean work of all requests, in milliseconds; 0 before the first sample.
    mean_ms: f64,
}

impl ServiceWork {
    /// Adds a sample of the work of a request of `route`.
    pub fn record(&mut self, route: &RouteName, sample_ms: f64) {
        let mut known = self.routes.iter().position(|(name, _)| name == route);
        if known.is_none() && self.routes.len() < ROUTES_MAX {
            known = Some(self.routes.len());
            self.routes.push((route.clone(), WorkEstimate::default()));
        }
        let Some(known) = known else {
            return;
        };
        let (_, estimate) = &mut self.routes[known];
        estimate.record(sample_ms);
        let work_ms = estimate.work_ms().unwrap_or(sample_ms);
        self.mean_ms = match self.mean_ms > 0.0 {
            true => self.mean_ms + MEAN_WEIGHT * (work_ms - self.mean_ms),
            false => work_ms,
        };
    }

    /// Expected work of a request of `route` in milliseconds: that of its route, else the mean, else
    /// `unknown_ms`.
    pub fn work_ms(&self, route: &RouteName, unknown_ms: f64) -> f64 {
        let known = self.routes.iter().find(|(name, _)| name == route);
        let work_ms = known.and_then(|(_, estimate)| estimate.work_ms());
        work_ms.unwrap_or_else(|| self.mean_ms(unknown_ms))
    }

    /// Mean work of all requests in milliseconds; `unknown_ms` before the first one.
    pub fn mean_ms(&self, unknown_ms: f64) -> f64 {
        match self.mean_ms > 0.0 {
            true => self.mean_ms,
            false => unknown_ms,
        }
    }

    /// Forgets routes other than those for which `is_kept` is true.
    pub fn retain(&mut self, is_kept: impl Fn(&RouteName) -> bool) {
        self.routes.retain(|(name, _)| is_kept(name));
    }
}
