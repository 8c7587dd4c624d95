//! Fits of straight lines to measured points.

use serde::Serialize;

/// A measured quantity as a function of a size, with the line fitted to its points.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct SlopeFit {
    /// What was measured, with its unit.
    pub(crate) what: String,
    /// The size that the quantity depends on.
    pub(crate) against: String,
    /// Size and value of each point.
    pub(crate) points: Vec<(f64, f64)>,
    pub(crate) base: f64,
    pub(crate) slope: f64,
    /// Coefficient of determination: the share of the variance that the line explains.
    pub(crate) fit: f64,
}

impl SlopeFit {
    /// Fits a line by least squares of the relative errors, so that points of small sizes weigh as
    /// much as those of large ones.
    pub(crate) fn new(what: &str, against: &str, points: Vec<(f64, f64)>) -> Self {
        let weight = |value: f64| 1.0 / (value * value).max(f64::MIN_POSITIVE);
        let weighted_sum = |part: &dyn Fn(f64, f64) -> f64| -> f64 {
            points.iter().map(|&(x, y)| weight(y) * part(x, y)).sum()
        };
        let total_weight = weighted_sum(&|_, _| 1.0);
        let mean_x = weighted_sum(&|x, _| x) / total_weight;
        let mean_y = weighted_sum(&|_, y| y) / total_weight;
        let x_variance = weighted_sum(&|x, _| (x - mean_x).powi(2));
        let slope = weighted_sum(&|x, y| (x - mean_x) * (y - mean_y)) / x_variance;
        let base = mean_y - slope * mean_x;
        let residual = weighted_sum(&|x, y| (y - base - slope * x).powi(2));
        let y_variance = weighted_sum(&|_, y| (y - mean_y).powi(2));
        Self {
            what: what.into(),
            against: against.into(),
            points,
            base,
            slope,
            fit: 1.0 - residual / y_variance.max(f64::MIN_POSITIVE),
        }
    }
}

impl std::fmt::Display for SlopeFit {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "{:<44} {:<12} {:>12.4} {:>12.6} {:>7.4}  ",
            self.what, self.against, self.base, self.slope, self.fit
        )?;
        for (x, y) in &self.points {
            write!(f, " {x}:{y:.3}")?;
        }
        Ok(())
    }
}
