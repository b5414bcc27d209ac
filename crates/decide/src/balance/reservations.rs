// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Chooses the upstreams at which a queued request makes its reservations.
//!
//! The workload is a service whose slots are all taken for seconds. Some of its servers hang, and
//! the demand moves between failure domains.

use std::time::Duration;

use rand::seq::index;
use rand::Rng;

use crate::balance::{ChoiceGround, ChoiceTerms, ServiceView, UpstreamChoice, DRAWN_UPSTREAMS};

/// Cost of a reservation in another failure domain, in service rounds. Once a slot is offered, the
/// request and its answer are sent over the network between the failure domains, and a request that
/// waits for a remote slot is not served any sooner.
const REMOTE_WEIGHT_ROUNDS: f64 = 0.5;

/// `ReservationRequest` asks for the upstreams at which a request may make reservations.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReservationRequest {
    /// Maximum number of upstreams.
    pub count: usize,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Service rounds for which the request waits in the failure domain of the ingress rather than
    /// send its bytes to another domain.
    pub local_wait_rounds: f64,
}

impl ServiceView {
    /// Draws the upstreams at which a request may make reservations. Takes samples, twice as large
    /// as needed, of the upstreams that are in service and for which `fits` holds, and returns the
    /// cheapest of the samples. The samples of two ingresses differ, so that waiting requests
    /// spread over the service however old the reports are.
    ///
    /// Suspects are drawn only when no other upstream is eligible: a suspect that fails requests at
    /// once has a free slot again at once, and would offer more slots than the healthy upstreams.
    /// For most suspects, the circuit breaker at the suspect's host opens first, and that host
    /// refuses the reservations.
    pub fn draw_reservations(
        &mut self,
        now: Duration,
        request: &ReservationRequest,
        fits: impl Fn(usize) -> bool,
        rng: &mut impl Rng,
    ) -> Vec<usize> {
        self.refresh(now);
        let ReservationRequest { count, repeatable, local_wait_rounds } = *request;
        let suspect_threshold = self.suspect_threshold(now);
        let terms = ChoiceTerms { now, suspect_threshold, repeatable };
        let eligible = |index: &usize| self.in_service(*index) && fits(*index);
        let eligible: Vec<usize> = (0..self.upstreams.len()).filter(eligible).collect();
        let is_healthy = |index: &usize| !self.upstreams[*index].is_suspect(&terms);
        let healthy: Vec<usize> = eligible.iter().copied().filter(is_healthy).collect();
        let eligible = if healthy.is_empty() { eligible } else { healthy };
        let local: Vec<usize> =
            eligible.iter().copied().filter(|index| self.is_local(*index)).collect();
        // In a service of many failure domains, a sample of all upstreams would hold few local
        // ones.
        let mut drawn = sample(&local, count * DRAWN_UPSTREAMS, rng);
        let drawn_of_all = sample(&eligible, count * DRAWN_UPSTREAMS, rng);
        drawn.extend(drawn_of_all.into_iter().filter(|index| !self.is_local(*index)));
        let cost = |index: &usize| {
            let view = &self.upstreams[*index];
            let distance =
                if view.is_local { 0.0 } else { REMOTE_WEIGHT_ROUNDS + local_wait_rounds };
            view.load_cost(now, self.median_ln) + distance
        };
        drawn.sort_by(|left, right| cost(left).total_cmp(&cost(right)));
        drawn.truncate(count);
        drawn
    }

    /// Builds the choice of an upstream that offered a slot to a waiting request.
    pub fn offered_choice(&self, index: usize, now: Duration) -> UpstreamChoice {
        self.choice_of(index, ChoiceGround::Waiting, now)
    }
}

/// Draws at most `count` distinct positions.
fn sample(positions: &[usize], count: usize, rng: &mut impl Rng) -> Vec<usize> {
    let amount = positions.len().min(count);
    let drawn = index::sample(rng, positions.len(), amount);
    drawn.into_iter().map(|draw| positions[draw]).collect()
}
