//! Claims of trials: what the store keeps of a request, and who may send it on.

use std::time::Duration;

use schema::{
    CrashNotice,
    TimePoint, //
};

use super::crash_table::EVIDENCE_PERIOD;

/// Time for which other requests are refused while one that was let through runs.
const TRIAL_PERIOD: Duration = Duration::from_secs(10);

/// How the claim of a trial ended.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimOutcome {
    /// The request may be sent on; the store has this notice.
    Granted(CrashNotice),
    /// It may not, because of what the store has.
    Denied(CrashNotice),
    /// The store could not be asked, or its answer was lost.
    Unavailable,
}

/// What two notices of one request say together. The later trial tells when the next one may be.
pub fn combined_notice(ours: &CrashNotice, stored: Option<&CrashNotice>) -> CrashNotice {
    let mut notice = ours.clone();
    let Some(stored) = stored else {
        return notice;
    };
    if stored.stage() > ours.stage() {
        notice.refused_until = stored.refused_until;
    } else if stored.stage() == ours.stage() {
        notice.refused_until = notice.refused_until.max(stored.refused_until);
    }
    notice.crashes = notice.crashes.max(stored.crashes);
    notice.forgiven = notice.forgiven.max(stored.forgiven);
    notice.trials = notice.trials.max(stored.trials);
    notice.passed = notice.passed.max(stored.passed);
    notice.expires_at = notice.expires_at.max(stored.expires_at);
    notice
}

/// Claims a trial, given the notice that the store has. Returns the notice that takes its place.
///
/// # Errors
///
/// The notice that forbids the trial: another one runs, the refusal lasts on, or no trial is left.
pub fn claim_trial(
    now: TimePoint,
    ours: &CrashNotice,
    stored: Option<&CrashNotice>,
) -> Result<CrashNotice, Box<CrashNotice>> {
    let mut notice = combined_notice(ours, stored);
    if now < notice.refused_until || notice.trials_left() == 0 {
        return Err(Box::new(notice));
    }
    notice.trials += 1;
    notice.refused_until = now + TRIAL_PERIOD;
    notice.expires_at = notice
        .expires_at
        .max(notice.refused_until + EVIDENCE_PERIOD);
    Ok(notice)
}
