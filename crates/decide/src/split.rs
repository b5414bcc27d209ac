// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Splits the requests of a route over services by weight.
//!
//! Each choice adds each part's weight to its credit and subtracts the sum of the weights from the
//! part with the most credit (smooth weighted round robin), so that in any run of choices each part
//! is off by less than one request for each ingress. The credits begin at random: the parts that
//! many ingresses choose first are then distributed as the weights are.

use rand::{Rng, RngExt};

/// `WeightedSplit` is the state of one route's split at one ingress.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct WeightedSplit {
    weights: Vec<u32>,
    credits: Vec<f64>,
}

impl WeightedSplit {
    /// Chooses the position of a part; `weights` are those in force, at least one of them above
    /// zero.
    pub fn choose(&mut self, weights: &[u32], rng: &mut impl Rng) -> usize {
        let sum: f64 = weights.iter().copied().map(f64::from).sum();
        if self.weights != weights {
            self.weights = weights.to_vec();
            self.credits = weights.iter().map(|_| rng.random_range(0.0..1.0) * sum).collect();
        }
        let mut best = 0;
        for (index, weight) in weights.iter().enumerate() {
            self.credits[index] += f64::from(*weight);
            let better = self.credits[index] > self.credits[best] || weights[best] == 0;
            if *weight > 0 && better {
                best = index;
            }
        }
        self.credits[best] -= sum;
        best
    }
}
