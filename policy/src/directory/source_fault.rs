//! Why a source of the directory is not asked.

use std::time::Duration;

use schema::TimePoint;

/// Time for which a source that has answered without a page is not asked.
const PASS_OVER_PERIOD: Duration = Duration::from_secs(2);
/// Time until a silent source is asked again, beside the one in use; doubled with each failure.
const TRIAL_DELAY_MIN: Duration = Duration::from_millis(500);
const TRIAL_DELAY_MAX: Duration = Duration::from_secs(8);

/// The last failure of a source.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum SourceFault {
    /// It did not answer. It only counts as a source again when it has answered a trial.
    Silent {
        /// When it is asked again.
        trial_at: TimePoint,
        /// Failures in a row.
        failures: u32,
    },
    /// It answered that it has lost the store or has no bandwidth left.
    PassedOver {
        /// Until when it is not asked.
        until: TimePoint,
    },
}

impl SourceFault {
    /// The fault of a source that did not answer, after the fault `before`.
    pub(super) fn silent(now: TimePoint, before: Option<Self>) -> Self {
        let failures = match before {
            Some(Self::Silent { failures, .. }) => failures,
            _ => 0,
        };
        let delay = TRIAL_DELAY_MIN * (1 << failures.min(8));
        Self::Silent {
            trial_at: now + delay.min(TRIAL_DELAY_MAX),
            failures: failures + 1,
        }
    }

    /// The fault of a source that answered without a page.
    pub(super) fn passed_over(now: TimePoint) -> Self {
        Self::PassedOver {
            until: now + PASS_OVER_PERIOD,
        }
    }
}
