//! Settings of a service group for coverage, latency and load.

use std::time::Duration;

use crate::{
    bundle::PolicySpec,
    ChargeUnits,
    CoverageShare,
    SchemaError, //
};

/// Settings by which the query engine balances coverage, latency and load in a service group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GroupPolicy {
    /// Age at which a request is answered if minimum coverage has been reached; `None` waits for
    /// the deadline.
    pub goal: Option<Duration>,
    /// Minimum coverage for an answer at `goal`.
    pub min_coverage: CoverageShare,
    /// Budget for hedges and retries, in per cent of first attempts.
    pub budget_pct: u32,
    /// Latency quantile at which a sub-query is hedged, in per cent.
    pub hedge_quantile_pct: u32,
    /// Deadline of requests that specify none.
    pub deadline: Duration,
    /// Largest deadline that a caller may specify.
    pub deadline_max: Duration,
    /// Largest request body, in bytes.
    pub body_max: u32,
    /// Units charged for a complete answer.
    pub charge: ChargeUnits,
    /// Whether a partial answer is charged in proportion to its coverage; otherwise it is free.
    pub charge_partial: bool,
    /// How long an idempotency key is stored.
    pub once_window: Duration,
}

impl Default for GroupPolicy {
    fn default() -> Self {
        Self {
            goal: None,
            min_coverage: CoverageShare::FULL,
            budget_pct: 5,
            hedge_quantile_pct: 95,
            deadline: Duration::from_secs(1),
            deadline_max: Duration::from_secs(10),
            body_max: 64 * 1024,
            charge: ChargeUnits(100),
            charge_partial: true,
            once_window: Duration::from_secs(24 * 60 * 60),
        }
    }
}

impl GroupPolicy {
    /// Validates the protobuf message and converts it. A field that is 0 takes its default.
    ///
    /// # Errors
    ///
    /// [`SchemaError::BadField`] with a path that starts with `field`, for a value out of range or
    /// a deadline above the largest one.
    pub fn from_spec(field: &str, spec: &PolicySpec) -> Result<Self, SchemaError> {
        let defaults = Self::default();
        let check_max = |name: &str, value: u32, max: u32, expected: &'static str| {
            if value > max {
                return Err(SchemaError::bad_field(
                    format!("{field}.{name}"),
                    value,
                    expected,
                ));
            }
            Ok(value)
        };
        let min_pct = check_max("min_coverage_pct", spec.min_coverage_pct, 100, "0 to 100")?;
        let budget = check_max("budget_pct", spec.budget_pct, 50, "0 to 50")?;
        let quantile = check_max("hedge_quantile_pct", spec.hedge_quantile_pct, 99, "0 to 99")?;
        let policy = Self {
            goal: (spec.goal_ms > 0).then(|| duration_from_ms(spec.goal_ms)),
            min_coverage: if min_pct == 0 {
                defaults.min_coverage
            } else {
                CoverageShare::from_pct(min_pct)
            },
            budget_pct: value_or_default(budget, defaults.budget_pct),
            hedge_quantile_pct: value_or_default(quantile, defaults.hedge_quantile_pct),
            deadline: if spec.deadline_ms == 0 {
                defaults.deadline
            } else {
                duration_from_ms(spec.deadline_ms)
            },
            deadline_max: if spec.deadline_max_ms == 0 {
                defaults.deadline_max
            } else {
                duration_from_ms(spec.deadline_max_ms)
            },
            body_max: value_or_default(spec.body_max, defaults.body_max),
            charge: if spec.charge_units == 0 {
                defaults.charge
            } else {
                ChargeUnits(spec.charge_units.into())
            },
            charge_partial: spec.charge_partial,
            once_window: if spec.once_window_s == 0 {
                defaults.once_window
            } else {
                Duration::from_secs(spec.once_window_s.into())
            },
        };
        if policy.deadline > policy.deadline_max {
            let value = policy.deadline.as_millis();
            return Err(SchemaError::bad_field(
                format!("{field}.deadline_ms"),
                value,
                "at most deadline_max_ms",
            ));
        }
        Ok(policy)
    }
}

fn value_or_default(value: u32, default: u32) -> u32 {
    if value == 0 {
        default
    } else {
        value
    }
}

fn duration_from_ms(value: u32) -> Duration {
    Duration::from_millis(value.into())
}
