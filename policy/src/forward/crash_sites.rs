//! To which sites a refusal applies, from the sites where the crashes happened.
//!
//! A site is one form of a request at one service. A refusal applies to the forms and services under
//! which replicas crashed. Once there are two forms it applies to all forms, and once there are two
//! services to all services, because a request that crashes its replicas does so in any form and at
//! any service. A request that has succeeded at a site is served on there.
//!
//! Each tally can be taken back by what may still run while a refusal applies: that of one form by a success
//! of the form, and any tally by successes under further forms at its service, or at any service if it
//! stands for several.

use std::mem;

use schema::{
    CrashNotice,
    CrashSite,
    CrashTally,
    TallyList,
    TimePoint, //
};
use smallvec::SmallVec;

use super::SeenCrash;

/// Sites with a success, and sites with a crash, that are remembered for each request.
const SITES_MAX: usize = 64;
/// Successes under further forms at a service that take back one crash there. Requests whose form is
/// never the same can be told from one that crashes its replicas only by how many of them succeed.
const SUCCESSES_PER_CRASH: u32 = 3;
/// Crashes at a site from which an earlier success there no longer counts.
const RELAPSE_CRASHES: u32 = 2;

/// The crashes and successes of a request by site.
#[derive(Clone, Debug, Default)]
pub(super) struct CrashSites {
    /// Where replicas crashed.
    pub(super) tallies: TallyList,
    /// When this daemon saw the last crash at a site.
    seen: SmallVec<[(CrashSite, TimePoint); 2]>,
    /// Where the request has succeeded at this daemon since its first crash.
    cleared: SmallVec<[CrashSite; 2]>,
    /// Successes under further forms, by service.
    further: SmallVec<[(u32, u32); 2]>,
}

impl CrashSites {
    /// The sites that another daemon has reported.
    pub(super) fn of(tallies: TallyList) -> Self {
        Self {
            tallies,
            ..Self::default()
        }
    }

    /// Whether a refusal of the request applies to `site`.
    pub(super) fn cover(&self, site: CrashSite) -> bool {
        let crashed: SmallVec<[&CrashTally; 6]> = self
            .tallies
            .iter()
            .filter(|tally| tally.evidence() > 0)
            .collect();
        let Some(first) = crashed.first() else {
            return false;
        };
        let several_services = crashed.iter().any(|tally| {
            let service = tally.site.service;
            service == 0 || service != first.site.service
        });
        let covers_variant =
            self.has_several_forms() || [0, site.variant].contains(&first.site.variant);
        let covers_service = several_services || first.site.service == site.service;
        covers_variant && covers_service && !self.is_cleared(site)
    }

    /// Whether replicas crashed under more than one form of the request.
    pub(super) fn has_several_forms(&self) -> bool {
        let mut crashed = self.tallies.iter().filter(|tally| tally.evidence() > 0);
        let Some(first) = crashed.next() else {
            return false;
        };
        let variant = first.site.variant;
        let stands_for_several = variant == 0 && self.tells_forms();
        stands_for_several || crashed.any(|tally| tally.site.variant != variant)
    }

    /// Whether the tallies tell forms from each other, since the fingerprint does not contain the form.
    pub(super) fn tells_forms(&self) -> bool {
        self.tallies.iter().any(|tally| tally.site.variant != 0)
    }

    /// Whether replicas crashed under the form `variant` only.
    pub(super) fn has_only_form(&self, variant: u32) -> bool {
        let mut crashed = self.tallies.iter().filter(|tally| tally.evidence() > 0);
        crashed.all(|tally| tally.site.variant == variant)
    }

    /// Adds a crash at `site`, if the request was sent there after the previous one at the site was
    /// seen. It need not count for the request: several sites may share one crash.
    pub(super) fn record_crash(&mut self, site: CrashSite, crash: &SeenCrash<'_>) {
        let mut seen = self.seen.iter_mut();
        match seen.find(|(known, _)| *known == site) {
            Some((_, last)) if crash.sent_at < *last => return,
            Some((_, last)) => *last = crash.broke_at,
            None => {
                if self.seen.len() >= SITES_MAX {
                    self.seen.remove(0);
                }
                self.seen.push((site, crash.broke_at));
            }
        }
        self.tally_mut(site).crashes += 1;
    }

    /// Takes back the crashes at a site where the request has succeeded. Returns whether so many further forms
    /// have succeeded at the service that one crash there no longer counts.
    pub(super) fn record_success(&mut self, site: CrashSite) -> bool {
        let mut tallies = self.tallies.iter_mut();
        let known = tallies.find(|tally| tally.site == site && tally.evidence() > 0);
        let is_further = known.is_none();
        if let Some(tally) = known {
            tally.forgiven = tally.crashes;
        }
        if self.cleared.contains(&site) {
            return false;
        }
        if self.cleared.len() >= SITES_MAX {
            self.cleared.remove(0);
        }
        self.cleared.push(site);
        is_further && self.record_further_success(site.service)
    }

    /// Takes back the crashes at services that have no tally of their own, because a query in the form `variant`
    /// has been answered by enough shards.
    pub(super) fn record_gathered(&mut self, variant: u32) {
        let several = CrashSite {
            variant,
            service: 0,
        };
        for tally in &mut self.tallies {
            if tally.site == several {
                tally.forgiven = tally.crashes;
            }
        }
    }

    /// Takes back all crashes.
    pub(super) fn forgive_all(&mut self) {
        for tally in &mut self.tallies {
            tally.forgiven = tally.crashes;
        }
    }

    /// Raises the count of the site with the most crashes until all sites together have `crashes`.
    pub(super) fn raise_evidence(&mut self, crashes: u32) {
        let missing = crashes.saturating_sub(self.evidence());
        let greatest = self.tallies.iter_mut().max_by_key(|tally| tally.evidence());
        if let Some(tally) = greatest {
            tally.crashes += missing;
        }
    }

    /// Crashes that count at all sites together; several may be of one crash.
    pub(super) fn evidence(&self) -> u32 {
        self.tallies.iter().map(CrashTally::evidence).sum()
    }

    /// Merges the tallies of another daemon by the greater count. Where the list is full of sites with
    /// crashes, those of further sites are merged into the tally that stands for several. Returns
    /// whether it had news.
    pub(super) fn merge(&mut self, tallies: &[CrashTally]) -> bool {
        let mut changed = false;
        for other in tallies {
            let known = self.tallies.iter().any(|tally| tally.site == other.site);
            let is_full = self.tallies.len() + 1 >= CrashNotice::TALLIES_MAX
                && self.tallies.iter().all(|tally| tally.evidence() > 0);
            if !known && is_full {
                let tally = self.tally_mut(self.several_sites(other.site));
                let missing = other.evidence().saturating_sub(tally.evidence());
                tally.crashes += missing;
                changed |= missing > 0;
                continue;
            }
            let tally = self.tally_mut(other.site);
            changed |= other.crashes > tally.crashes || other.forgiven > tally.forgiven;
            tally.crashes = tally.crashes.max(other.crashes);
            tally.forgiven = tally.forgiven.max(other.forgiven);
        }
        changed
    }

    fn is_cleared(&self, site: CrashSite) -> bool {
        let mut tallies = self.tallies.iter();
        let tally = tallies.find(|tally| tally.site == site);
        let relapsed = tally.is_some_and(|tally| tally.evidence() >= RELAPSE_CRASHES);
        self.cleared.contains(&site) && !relapsed
    }

    /// Counts a success under a further form. Returns whether it was the one by which a crash at the service no
    /// longer counts.
    fn record_further_success(&mut self, service: u32) -> bool {
        if !self.further.iter().any(|(known, _)| *known == service) {
            self.further.push((service, 0));
        }
        for (known, successes) in &mut self.further {
            if *known != service {
                continue;
            }
            *successes += 1;
            if *successes < SUCCESSES_PER_CRASH {
                return false;
            }
            *successes = 0;
        }
        let mut outweighed = false;
        for tally in &mut self.tallies {
            let applies = tally.site.service == service || tally.site.service == 0;
            if applies && tally.evidence() > 0 {
                tally.forgiven += 1;
                outweighed = true;
            }
        }
        outweighed
    }

    /// The tally of a site. If there are too many, the one with the least evidence joins the tally
    /// that stands for several sites. Crashes of several sites may be one, so the greater count holds.
    fn tally_mut(&mut self, site: CrashSite) -> &mut CrashTally {
        let known = self.tallies.iter().position(|tally| tally.site == site);
        if let Some(index) = known {
            return &mut self.tallies[index];
        }
        let several = self.several_sites(site);
        if self.tallies.len() + 1 >= CrashNotice::TALLIES_MAX && site != several {
            let other_sites = self.tallies.iter().enumerate();
            let other_sites = other_sites.filter(|(_, tally)| tally.site != several);
            let weakest = other_sites.min_by_key(|(_, tally)| tally.evidence());
            if let Some(index) = weakest.map(|(index, _)| index) {
                let evidence = mem::take(&mut self.tallies[index]).evidence();
                self.tallies.remove(index);
                if evidence > 0 {
                    let tally = self.tally_mut(several);
                    tally.crashes += evidence.saturating_sub(tally.evidence());
                }
            }
        }
        let index = self.tallies.len();
        self.tallies.push(CrashTally {
            site,
            ..CrashTally::default()
        });
        &mut self.tallies[index]
    }

    /// The site that stands for those of all crashes and `site`: with 0 for what differs among them.
    fn several_sites(&self, site: CrashSite) -> CrashSite {
        let mut several = site;
        for tally in &self.tallies {
            if tally.site.variant != site.variant {
                several.variant = 0;
            }
            if tally.site.service != site.service {
                several.service = 0;
            }
        }
        several
    }
}
