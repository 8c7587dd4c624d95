//! Distribution of requests by weight.

/// Smooth weighted round-robin: the shares in any sequence of requests stay close to the weights.
#[derive(Clone, Debug, Default)]
pub struct WeightedBalancer {
    current_weights: Vec<f64>,
}

impl WeightedBalancer {
    /// Index of the weight that the next request goes to; 0 if no weight is above zero.
    pub fn next(&mut self, weights: &[f64]) -> usize {
        self.current_weights.resize(weights.len(), 0.0);
        let total: f64 = weights.iter().sum();
        let mut chosen = 0;
        for (index, weight) in weights.iter().enumerate() {
            self.current_weights[index] += weight;
            if self.current_weights[index] > self.current_weights[chosen] {
                chosen = index;
            }
        }
        if let Some(current_weight) = self.current_weights.get_mut(chosen) {
            *current_weight -= total;
        }
        chosen
    }
}
