//! Division of a replica's limit among the daemons.
//!
//! Each daemon has a base share, which it may use although it knows nothing of the others. What the
//! reported needs leave of it goes to the daemons that need more. So the shares never add up to more
//! than the limit, whichever daemons have reported, as long as all agree on the members; where they
//! don't, or a need changes within the period of a report, the sum exceeds the limit for that period.

use schema::{
    DaemonName,
    RequestRate, //
};
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Limit that is divided where a replica names less, so that a request now and then finds out whether
/// it still does.
const RATE_MIN: f64 = 0.25;
/// Ratio of a share to the need that was reported: needs grow until the next report.
const NEED_MARGIN: f64 = 1.25;
/// Smallest share that is worth having, in requests a second.
const SHARE_MIN: f64 = 0.1;

/// A daemon among those that share a limit.
#[derive(Clone, Copy, Debug)]
pub(super) struct LimitSharer<'a> {
    /// The daemon.
    pub(super) daemon: &'a DaemonName,
    /// Requests a second that it would send; `None` if it has not reported recently.
    pub(super) need: Option<f64>,
}

/// The rate that is divided, in requests a second.
pub(super) fn divided_rate(limit: RequestRate) -> f64 {
    limit.per_second().max(RATE_MIN)
}

/// Position of a daemon among those that share the limit of a replica. The first one divides it.
pub(super) fn sharer_rank(instance: u64, daemon: &DaemonName) -> u64 {
    xxh3_64_with_seed(daemon.as_str().as_bytes(), instance)
}

/// Base shares of `daemons`, from 0 to 1. If the limit is less than a request a second for each, only
/// some of them have one: all of them together would save up too many tokens.
pub(super) fn base_shares(
    instance: u64,
    limit: RequestRate,
    daemons: &[&DaemonName],
) -> SmallVec<[f64; 16]> {
    let wanted = divided_rate(limit).floor().max(1.0);
    let holders = (wanted as usize).clamp(1, daemons.len().max(1));
    let share = 1.0 / holders as f64;
    if holders == daemons.len() {
        return daemons.iter().map(|_| share).collect();
    }
    let rank = |daemon: &DaemonName| sharer_rank(instance, daemon);
    let mut ranks: SmallVec<[u64; 16]> = daemons.iter().map(|daemon| rank(daemon)).collect();
    ranks.sort_unstable();
    let last = ranks[holders - 1];
    let shares = daemons.iter().map(|daemon| match rank(daemon) <= last {
        true => share,
        false => 0.0,
    });
    shares.collect()
}

/// Shares of `sharers`, from 0 to 1, in their order. Small needs are met first; the rest is divided
/// evenly among the greater ones, or by base share if all needs are met.
pub(super) fn divide_limit(
    instance: u64,
    limit: RequestRate,
    sharers: &[LimitSharer<'_>],
) -> SmallVec<[f64; 16]> {
    let daemons: SmallVec<[&DaemonName; 16]> = sharers.iter().map(|sharer| sharer.daemon).collect();
    let bases = base_shares(instance, limit, &daemons);
    let rate = divided_rate(limit);
    let needs: SmallVec<[Option<f64>; 16]> = sharers
        .iter()
        .map(|sharer| sharer.need.map(|need| need * NEED_MARGIN / rate))
        .collect();
    let known = |index: &usize| needs[*index].is_some();
    let base_of_known: f64 = (0..sharers.len()).filter(known).map(|i| bases[i]).sum();
    let level = fair_level(needs.iter().filter_map(|need| *need), base_of_known);
    if level * rate < SHARE_MIN {
        return bases;
    }
    let met: f64 = needs.iter().flatten().map(|need| need.min(level)).sum();
    let rest = (base_of_known - met).max(0.0);
    let shares = needs.iter().zip(&bases).map(|(need, base)| match need {
        None => *base,
        Some(need) if base_of_known > 0.0 => need.min(level) + rest * base / base_of_known,
        Some(need) => need.min(level),
    });
    shares.collect()
}

/// The greatest share that each need may have so that all together take at most `total`.
fn fair_level(needs: impl Iterator<Item = f64>, total: f64) -> f64 {
    let mut sorted: SmallVec<[f64; 16]> = needs.collect();
    sorted.sort_by(f64::total_cmp);
    let mut left = total;
    for (index, need) in sorted.iter().enumerate() {
        let level = left / (sorted.len() - index) as f64;
        if *need > level {
            return level;
        }
        left -= need;
    }
    f64::INFINITY
}
