// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Chooses the upstreams before whose slots work waits.
//!
//! The load is a service whose slots are all taken for seconds, some of whose servers hang, with a demand that moves
//! between failure domains.

use std::time::Duration;

use rand::seq::index;
use rand::Rng;

use crate::balance::{ChoiceGround, ChoiceTerms, ServiceView, UpstreamChoice, CHOICES};

/// What a place in another failure domain weighs, in rounds of work: the work and its answer cross once it is called
/// in, and who waits there is no sooner served.
const FAR_PLACE_WEIGHT: f64 = 0.5;

/// `PlaceRequest` asks for upstreams before whose slots work may wait.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlaceRequest {
    /// Upstreams at the most.
    pub count: usize,
    /// Whether the work may run more than once.
    pub repeatable: bool,
    /// Rounds of work for which the request waits in its own failure domain rather than send its bytes across.
    pub near_rounds: f64,
}

impl ServiceView {
    /// Draws upstreams before whose slots work may wait: the cheapest of twice as many that are in service and fit. No
    /// two ingresses draw alike, so that who waits is spread over the service however old the reports are.
    ///
    /// Suspects are drawn only when no other fits: one that fails work at once has a free slot again at once, and would
    /// call in more than the sound ones. Their hosts know of most doubts first and refuse the places.
    pub fn draw_places(
        &mut self,
        now: Duration,
        request: &PlaceRequest,
        fits: impl Fn(usize) -> bool,
        rng: &mut impl Rng,
    ) -> Vec<usize> {
        self.refresh(now);
        let PlaceRequest { count, repeatable, near_rounds } = *request;
        let suspect_from = self.suspect_from(now);
        let terms = ChoiceTerms { now, suspect_from, repeatable };
        let eligible = |index: &usize| self.in_service(*index) && fits(*index);
        let eligible: Vec<usize> = (0..self.upstreams.len()).filter(eligible).collect();
        let is_trusted = |index: &usize| !self.upstreams[*index].is_suspect(&terms);
        let trusted: Vec<usize> = eligible.iter().copied().filter(is_trusted).collect();
        let eligible = if trusted.is_empty() { eligible } else { trusted };
        let near: Vec<usize> =
            eligible.iter().copied().filter(|index| self.is_local(*index)).collect();
        // Of all alone, few would be near by in a service of many failure domains.
        let mut drawn = sample(&near, count * CHOICES, rng);
        let of_all = sample(&eligible, count * CHOICES, rng);
        drawn.extend(of_all.into_iter().filter(|index| !self.is_local(*index)));
        let cost = |index: &usize| {
            let view = &self.upstreams[*index];
            let far = if view.is_local { 0.0 } else { FAR_PLACE_WEIGHT + near_rounds };
            view.load_cost(now, self.median_ln) + far
        };
        drawn.sort_by(|left, right| cost(left).total_cmp(&cost(right)));
        drawn.truncate(count);
        drawn
    }

    /// Builds the choice of an upstream that called waiting work in.
    pub fn called_in(&self, index: usize, now: Duration) -> UpstreamChoice {
        self.alone(index, ChoiceGround::Waiting, now)
    }
}

/// Draws at most `count` different positions.
fn sample(positions: &[usize], count: usize, rng: &mut impl Rng) -> Vec<usize> {
    let amount = positions.len().min(count);
    let drawn = index::sample(rng, positions.len(), amount);
    drawn.into_iter().map(|place| positions[place]).collect()
}
