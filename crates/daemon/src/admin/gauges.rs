// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Gauges that are computed when the metrics are scraped.

use std::rc::Rc;

use basaltarch_base::metrics;

use crate::host::upstream::HostUpstream;
use crate::state::DaemonState;

/// Updates the gauges from the state of this daemon.
pub fn refresh(state: &DaemonState) {
    refresh_upstreams(state);
    refresh_services(state);
    let revision_age = state.now().saturating_sub(state.config.since());
    metrics::REVISION_AGE.set(revision_age.as_secs() as i64);
    metrics::CALLERS_EVICTED.set(state.callers.evicted_count() as i64);
    metrics::CLIENT_BYTES.set(state.account.held_bytes() as i64);
    let counts = state.platform.counts();
    let results = [counts.answered, counts.refused, counts.no_answer];
    for (cell, count) in metrics::STORE_CALLS.iter().zip(results) {
        cell.set(count as i64);
    }
}

fn refresh_upstreams(state: &DaemonState) {
    let upstreams = state.host.all();
    let sum_over_upstreams =
        |read: fn(&Rc<HostUpstream>) -> u32| upstreams.iter().map(read).sum::<u32>().into();
    metrics::SLOTS.set(sum_over_upstreams(|upstream| upstream.server.borrow().slots));
    metrics::SLOTS_USED.set(sum_over_upstreams(|upstream| upstream.slots.used()));
    metrics::QUEUED.set(sum_over_upstreams(|upstream| upstream.slots.queued()));
    for (cell, name) in metrics::UPSTREAMS.iter().zip(metrics::UPSTREAM_STATES) {
        let count = upstreams.iter().filter(|upstream| state_name(state, upstream) == name).count();
        cell.set(count as i64);
    }
}

/// Returns the state of a backend server, as named in the metrics.
fn state_name(state: &DaemonState, upstream: &HostUpstream) -> &'static str {
    let now = state.now();
    let report = upstream.health.borrow().report("", now);
    let [in_service, breaker_open, ejected, draining] = metrics::UPSTREAM_STATES;
    if upstream.is_draining(now) {
        draining
    } else if report.ejected {
        ejected
    } else if report.doubtful {
        breaker_open
    } else {
        in_service
    }
}

fn refresh_services(state: &DaemonState) {
    let now = state.now();
    let (mut spare_slots_min, mut retries_left_min) = (i64::MAX, i64::MAX);
    state.services.for_each(|service| {
        let surplus_slots = service
            .with_view(|view| i64::from(view.plan().in_service) - i64::from(view.plan().floor));
        spare_slots_min = spare_slots_min.min(surplus_slots);
        retries_left_min = retries_left_min.min(service.retries_left(now) as i64);
    });
    // If no service is in use, neither gauge has a minimum to report, so both gauges are 0.
    metrics::FLOOR_SPARE.set(if spare_slots_min == i64::MAX { 0 } else { spare_slots_min });
    metrics::RETRIES_LEFT.set(if retries_left_min == i64::MAX { 0 } else { retries_left_min });
}
