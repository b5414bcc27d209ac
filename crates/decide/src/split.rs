// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Splits the requests of a route over services by weight.
//!
//! Each choice adds the weight of each service to the credit of the service, chooses the service
//! with the most credit, and subtracts the sum of the weights from its credit (smooth weighted
//! round robin). So in any sequence of choices, each service gets its share to within one request
//! for each ingress. The credits begin at random, so that the first choices of many ingresses
//! together are distributed by weight as well.

use rand::{Rng, RngExt};

/// `WeightedSplit` is the state of one route's split at one ingress.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct WeightedSplit {
    weights: Vec<u32>,
    credits: Vec<f64>,
}

impl WeightedSplit {
    /// Chooses a service and returns its position among the `weights` in force, at least one of
    /// which must be above zero.
    pub fn choose(&mut self, weights: &[u32], rng: &mut impl Rng) -> usize {
        let sum: f64 = weights.iter().copied().map(f64::from).sum();
        if self.weights != weights {
            self.weights = weights.to_vec();
            self.credits = weights.iter().map(|_| rng.random_range(0.0..1.0) * sum).collect();
        }
        let mut best_index = 0;
        for (index, weight) in weights.iter().enumerate() {
            self.credits[index] += f64::from(*weight);
            let has_more_credit =
                self.credits[index] > self.credits[best_index] || weights[best_index] == 0;
            if *weight > 0 && has_more_credit {
                best_index = index;
            }
        }
        self.credits[best_index] -= sum;
        best_index
    }
}
