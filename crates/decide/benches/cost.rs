// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Cost of decisions, by the number of upstreams of a service and of services at one ingress.
//!
//! Run with `cargo bench -p basaltarch-decide`. The figures are reported in docs/CAPACITY.md.

#![allow(missing_docs, reason = "the bench macros make items without doc comments")]

use std::time::Duration;

use basaltarch_core::fingerprint::{RequestFingerprint, RequestParts};
use basaltarch_core::resources::EjectionPreference;
use basaltarch_decide::balance::{ChoiceRequest, LoadView, ServiceView};
use basaltarch_decide::baseline::RouteBaseline;
use basaltarch_decide::evidence::{RequestEvidence, ServiceBaseline};
use basaltarch_decide::health::{DispatchTerms, HealthReport, UpstreamHealth};
use basaltarch_decide::suspects::{CrashTally, SuspectTable, SUSPECTS_MAX};
use divan::Bencher;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Upstreams of one service: the sizes of the requirements and a large one.
const UPSTREAMS: [usize; 4] = [6, 15, 25, 100];
/// Services at one ingress, up to all those expected in two years.
const SERVICES: [usize; 4] = [1, 100, 1000, 9000];
/// Upstreams of each of many services: 200,000 upstreams over 9,000 services.
const UPSTREAMS_EACH: usize = 22;
/// Time between two requests at one ingress: its share of the peak expected in two years, 879
/// requests a second.
const REQUEST_INTERVAL: Duration = Duration::from_micros(1138);

fn main() {
    divan::main();
}

fn report(sickness: f64) -> HealthReport {
    HealthReport {
        sickness,
        ejected: false,
        median_ln: 10.0,
        spread: 0.5,
        failure_rate: 0.001,
        overdue_rate: 0.001,
        samples: 100,
        ramp: 1.0,
        trial_in: Duration::ZERO,
        doubtful: false,
    }
}

/// Builds the view of a service whose upstreams have all reported, the first with this anomaly
/// score.
fn view(upstreams: usize, sickness: f64) -> ServiceView {
    let views = (0..upstreams).map(|index| LoadView::new(4, index % 3 == 0)).collect();
    let mut view = ServiceView::new(0.7, views);
    for index in 0..upstreams {
        let report = report(if index == 0 { sickness } else { 0.1 });
        view.note_report(index, 1, report, Duration::from_secs(1));
    }
    view
}

#[divan::bench(args = UPSTREAMS)]
fn choose(bencher: Bencher, upstreams: usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(6);
    let mut view = view(upstreams, 0.0);
    let now = Duration::from_secs(1);
    bencher.bench_local(|| {
        view.choose(now, &ChoiceRequest { repeatable: true, ..ChoiceRequest::default() }, &mut rng)
    });
}

#[divan::bench(args = UPSTREAMS)]
fn choose_beside_a_suspect(bencher: Bencher, upstreams: usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(6);
    let mut view = view(upstreams, 2.0);
    let now = Duration::from_secs(1);
    bencher.bench_local(|| {
        view.choose(now, &ChoiceRequest { repeatable: true, ..ChoiceRequest::default() }, &mut rng)
    });
}

#[divan::bench(args = SERVICES)]
fn choose_among_services(bencher: Bencher, services: usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(6);
    let mut views: Vec<ServiceView> = (0..services).map(|_| view(UPSTREAMS_EACH, 0.0)).collect();
    let mut now = Duration::from_secs(1);
    let mut index = 0;
    bencher.bench_local(|| {
        // A stride that is coprime to the numbers of services visits all of them.
        index = (index + 7919) % services;
        now += REQUEST_INTERVAL;
        views[index].choose(
            now,
            &ChoiceRequest { repeatable: true, ..ChoiceRequest::default() },
            &mut rng,
        )
    });
}

#[divan::bench(args = UPSTREAMS)]
fn take_report(bencher: Bencher, upstreams: usize) {
    let mut view = view(upstreams, 0.0);
    let mut baseline = RouteBaseline::default();
    let mut now = Duration::from_secs(1);
    let mut index = 0;
    bencher.bench_local(|| {
        index = (index + 1) % upstreams;
        now += REQUEST_INTERVAL;
        baseline.note(index as u32, &report(0.1));
        view.note_median(baseline.current().median_ln);
        view.note_report(index, 1, report(0.1), now);
        view.median_score(now)
    });
}

#[divan::bench]
fn judge_at_host(bencher: Bencher) {
    let mut health = UpstreamHealth::new(EjectionPreference::Precision, Duration::ZERO, false);
    let baseline = ServiceBaseline {
        median_ln: 10.0,
        spread: 0.5,
        upstreams: 10,
        ..ServiceBaseline::default()
    };
    let terms = DispatchTerms {
        route: "puzzle",
        refusable: true,
        repeatable: true,
        passable: true,
        baseline,
    };
    let mut now = Duration::ZERO;
    bencher.bench_local(|| {
        now += REQUEST_INTERVAL;
        health.admit(&terms, now);
        health.note_evidence(
            "puzzle",
            RequestEvidence::Answered(Duration::from_millis(20)),
            false,
            now,
        );
        health.report("puzzle", now)
    });
}

/// Sizes of bodies: none, a small one, and the largest that is read before a request is sent on.
const BODIES: [usize; 3] = [0, 1024, 64 * 1024];

/// Measures the fingerprint of a request, which is computed while any request is suspected.
#[divan::bench(args = BODIES)]
fn fingerprint(bencher: Bencher<'_, '_>, body: usize) {
    let body = vec![7; body];
    let field_lines = b"host: solver.example\r\naccept: */*\r\nx-request-id: 9c41d07be2a35f68\r\n\
        user-agent: solver/3.1\r\ncontent-type: application/json\r\n";
    let parts = RequestParts {
        organisation: "khlung-shop",
        service: "solver-app",
        method: "POST",
        target: "/puzzle/17?grid=large",
        field_lines,
        body: &body,
        is_whole: true,
        length: body.len() as i64,
    };
    bencher.bench(|| RequestFingerprint::of(b"a secret of the fleet", &parts));
}

/// Measures the verdict on a request while the table of suspects is full.
#[divan::bench]
fn judge_beside_suspects(bencher: Bencher<'_, '_>) {
    let mut table = SuspectTable::default();
    let number = |number: u128| RequestFingerprint::from_bytes(&number.to_be_bytes());
    for each in (0..SUSPECTS_MAX as u128).filter_map(number) {
        table.note_crash(each, CrashTally::default(), "server-1", Duration::ZERO);
    }
    let other = number(u128::MAX);
    bencher
        .bench_local(|| other.map(|other| table.judge(&other, || false, Duration::from_secs(1))));
}
