//! Distribution of requests over weighted parts.

/// Smooth weighted round-robin: any run of requests keeps close to the weights.
#[derive(Clone, Debug, Default)]
pub struct SplitWheel {
    credits: Vec<f64>,
}

impl SplitWheel {
    /// Index of the part that the next request goes to; 0 where no weight is above zero.
    pub fn turn(&mut self, weights: &[f64]) -> usize {
        self.credits.resize(weights.len(), 0.0);
        let total: f64 = weights.iter().sum();
        let mut chosen = 0;
        for (place, weight) in weights.iter().enumerate() {
            self.credits[place] += weight;
            if self.credits[place] > self.credits[chosen] {
                chosen = place;
            }
        }
        if let Some(credit) = self.credits.get_mut(chosen) {
            *credit -= total;
        }
        chosen
    }
}
