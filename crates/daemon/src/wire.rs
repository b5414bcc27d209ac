// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Converts values to the frames between daemons and back.

use std::rc::Rc;
use std::time::Duration;

use basaltarch_core::fingerprint::RequestFingerprint;
use basaltarch_core::resources::{WorkClass, WorkMode};
use basaltarch_decide::adaptive_timeout::SlowRequests;
use basaltarch_decide::evidence::ServiceBaseline;
use basaltarch_decide::health::HealthReport;
use basaltarch_decide::server_rate::{KnownRate, RateReport};
use basaltarch_decide::suspects::{CrashTally, SuspectNotice};
use basaltarch_http::writer;
use basaltarch_peer::protocol::{BaselineNote, LoadReport, SuspectNote, TallyNote};
use bytes::BytesMut;
use http::HeaderMap;
use thrift::OrderedFloat;

/// Factor between a fraction and the thousandths that are sent between daemons.
const THOUSANDTHS_PER_UNIT: f64 = 1000.0;

/// Returns the number of a request's class in the peer protocol.
pub fn class_number(class: WorkClass) -> i8 {
    match class {
        WorkClass::Sheddable => 0,
        WorkClass::Normal => 1,
        WorkClass::Critical => 2,
    }
}

/// Reads the number of a request's class.
pub fn class_from_number(number: i8) -> WorkClass {
    match number {
        0 => WorkClass::Sheddable,
        2 => WorkClass::Critical,
        _ => WorkClass::Normal,
    }
}

/// Returns the number of a request's mode in the peer protocol.
pub fn mode_number(mode: WorkMode) -> i8 {
    match mode {
        WorkMode::Plain => 0,
        WorkMode::Repeatable => 1,
        WorkMode::Once => 2,
    }
}

/// Reads the number of a request's mode. A request of an unknown mode is not retried.
pub fn mode_from_number(number: i8) -> WorkMode {
    match number {
        1 => WorkMode::Repeatable,
        2 => WorkMode::Once,
        _ => WorkMode::Plain,
    }
}

/// Serializes header fields as the lines that are sent between daemons.
pub fn field_lines(headers: &HeaderMap) -> Vec<u8> {
    let lengths = headers.iter().map(|(name, value)| name.as_str().len() + value.len());
    let length = lengths.sum::<usize>() + headers.len() * writer::FIELD_EXTRA_BYTES;
    let mut lines = BytesMut::with_capacity(length);
    writer::put_fields(&mut lines, headers);
    lines.into()
}

/// Returns the value of a field among lines that [`field_lines`] wrote; `name` is in lower case.
pub fn field_value<'a>(lines: &'a [u8], name: &str) -> Option<&'a [u8]> {
    let lines = lines.split(|byte| *byte == b'\n');
    let mut values = lines.filter_map(|line| {
        let value = line.strip_prefix(name.as_bytes())?.strip_prefix(b":")?;
        Some(value.trim_ascii())
    });
    values.next()
}

/// Converts the crashes that count against a request.
pub fn tally_note(tally: CrashTally) -> TallyNote {
    TallyNote { round: tally.round as i32, crashes: tally.crashes as i32 }
}

/// Reads the crashes that count against a request.
pub fn tally_from_note(note: &TallyNote) -> CrashTally {
    CrashTally { round: note.round.max(0) as u32, crashes: note.crashes.max(0) as u32 }
}

/// Converts the notice of a request that ran at servers when the servers crashed.
pub fn suspect_note(notice: &SuspectNotice) -> SuspectNote {
    SuspectNote {
        fingerprint: notice.fingerprint.bytes().to_vec(),
        tally: tally_note(notice.tally),
        seen_ms_ago: notice.seen_ago.as_millis() as i64,
        upstream: notice.upstream.to_string(),
    }
}

/// Reads a peer's notice of a request that ran at servers when the servers crashed. Returns `None`
/// if the fingerprint of the request is of an unknown form.
pub fn suspect_notice(note: &SuspectNote) -> Option<SuspectNotice> {
    Some(SuspectNotice {
        fingerprint: RequestFingerprint::from_bytes(&note.fingerprint)?,
        tally: tally_from_note(&note.tally),
        seen_ago: Duration::from_millis(note.seen_ms_ago.max(0) as u64),
        upstream: Rc::from(note.upstream.as_str()),
    })
}

/// Converts the baseline of a route to its note in the peer protocol.
pub fn baseline_note(baseline: &ServiceBaseline) -> BaselineNote {
    BaselineNote {
        median_ln_milli: to_milli(baseline.median_ln),
        spread_milli: to_milli(baseline.spread),
        failure_rate_milli: to_milli(baseline.failure_rate),
        overdue_rate_milli: to_milli(baseline.overdue_rate),
        sickness_milli: to_milli(baseline.sickness),
        upstreams: baseline.upstreams as i32,
        hung_milli: None,
        late_milli: None,
    }
}

/// Converts the baseline of a route, with the slow requests that the other upstreams reported.
pub fn baseline_note_with_slow(
    baseline: &ServiceBaseline,
    slow_requests: &SlowRequests,
) -> BaselineNote {
    BaselineNote {
        hung_milli: Some(to_milli(slow_requests.hung)),
        late_milli: Some(to_milli(slow_requests.late)),
        ..baseline_note(baseline)
    }
}

/// Reads the slow requests that the other upstreams of the service reported. The counts are 0 if
/// the note carries none.
pub fn siblings_slow_requests(note: Option<&BaselineNote>) -> SlowRequests {
    let counts = note.and_then(|note| Some((note.hung_milli?, note.late_milli?)));
    counts.map_or_else(SlowRequests::default, |(hung, late)| slow_requests(hung, late))
}

fn slow_requests(hung_milli: i32, late_milli: i32) -> SlowRequests {
    let count = |thousandths: i32| from_milli(thousandths.max(0));
    SlowRequests { hung: count(hung_milli), late: count(late_milli) }
}

/// Reads the baseline of a route. A missing note yields the default baseline.
pub fn baseline_from_note(note: Option<&BaselineNote>) -> ServiceBaseline {
    let note = match note {
        Some(note) => note,
        None => return ServiceBaseline::default(),
    };
    ServiceBaseline {
        median_ln: from_milli(note.median_ln_milli),
        spread: from_milli(note.spread_milli),
        failure_rate: from_milli(note.failure_rate_milli),
        overdue_rate: from_milli(note.overdue_rate_milli),
        sickness: from_milli(note.sickness_milli),
        upstreams: note.upstreams.max(0) as u32,
    }
}

/// `HostLoad` is what a host's daemon reports of an upstream besides its health.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HostLoad {
    /// Number of requests that occupy slots of the upstream.
    pub in_flight: u32,
    /// Number of requests in the upstream's queue.
    pub queued: u32,
    /// Whether the upstream takes no new requests for a while.
    pub draining: bool,
    /// Whether the upstream's daemon is shutting down.
    pub handing_over: bool,
    /// Revision in force at the host's daemon.
    pub revision: u64,
    /// Time that the response took, `None` if there was no response.
    pub took: Option<Duration>,
    /// Slow requests at the upstream.
    pub slow_requests: SlowRequests,
    /// Rate limit of the upstream.
    pub rate: RateReport,
    /// Whether the upstream is leaving for good.
    pub leaving: bool,
}

/// Converts an upstream's load and health to its report in the peer protocol.
pub fn report_note(load: HostLoad, health: &HealthReport) -> LoadReport {
    LoadReport {
        in_flight: load.in_flight as i32,
        queued: load.queued as i32,
        draining: load.draining || load.handing_over,
        sickness_milli: to_milli(health.sickness),
        median_ln_milli: to_milli(health.median_ln),
        spread_milli: to_milli(health.spread),
        failure_rate_milli: to_milli(health.failure_rate),
        overdue_rate_milli: to_milli(health.overdue_rate),
        samples: health.samples.min(i32::MAX as u32) as i32,
        ramp_milli: to_milli(health.ramp),
        trial_in_ms: to_millis(health.trial_in),
        revision: load.revision as i64,
        ejected: health.ejected,
        doubtful: health.doubtful,
        took_us: load.took.map_or(0, |took| took.as_micros().clamp(1, i32::MAX as u128) as i32),
        hung_milli: Some(to_milli(load.slow_requests.hung)),
        late_milli: Some(to_milli(load.slow_requests.late)),
        rate: rate_note(load.rate.known),
        turn_in_ms: (!load.rate.turn_in.is_zero()).then(|| to_millis(load.rate.turn_in)),
        unlimited: (load.rate.known == KnownRate::Unlimited).then_some(true),
        leaving: load.leaving.then_some(true),
        successor: None,
        handing_over: (load.handing_over && !load.draining).then_some(true),
    }
}

/// Converts the rate limit of a backend server, in requests per second.
pub fn rate_note(known: KnownRate) -> Option<OrderedFloat<f64>> {
    known.per_second().map(OrderedFloat)
}

/// Reads the rate limit of a backend server, in requests per second. A limit that is no number
/// counts as not known.
pub fn rate_from_note(rate: Option<OrderedFloat<f64>>) -> Option<f64> {
    rate.map(|rate| rate.0).filter(|rate| rate.is_finite() && *rate >= 0.0)
}

/// Reads the rate limit in an upstream's report.
fn rate_report(report: &LoadReport) -> RateReport {
    let known = match (rate_from_note(report.rate), report.unlimited) {
        (Some(rate), _) => KnownRate::PerSecond(rate),
        (None, Some(true)) => KnownRate::Unlimited,
        (None, _) => KnownRate::Unknown,
    };
    let turn_in = Duration::from_millis(report.turn_in_ms.unwrap_or(0).max(0) as u64);
    RateReport { known, turn_in }
}

/// Reads an upstream's report as its load and health.
pub fn load_and_health(report: &LoadReport) -> (HostLoad, HealthReport) {
    let load = HostLoad {
        in_flight: report.in_flight.max(0) as u32,
        queued: report.queued.max(0) as u32,
        draining: report.draining && report.handing_over != Some(true),
        handing_over: report.handing_over == Some(true),
        revision: report.revision.max(0) as u64,
        took: (report.took_us > 0).then(|| Duration::from_micros(report.took_us as u64)),
        slow_requests: slow_requests(
            report.hung_milli.unwrap_or(0),
            report.late_milli.unwrap_or(0),
        ),
        rate: rate_report(report),
        leaving: report.leaving == Some(true),
    };
    let health = HealthReport {
        sickness: from_milli(report.sickness_milli),
        ejected: report.ejected,
        median_ln: from_milli(report.median_ln_milli),
        spread: from_milli(report.spread_milli),
        failure_rate: from_milli(report.failure_rate_milli),
        overdue_rate: from_milli(report.overdue_rate_milli),
        samples: report.samples.max(0) as u32,
        ramp: from_milli(report.ramp_milli).clamp(0.01, 1.0),
        trial_in: Duration::from_millis(report.trial_in_ms.max(0) as u64),
        doubtful: report.doubtful,
    };
    (load, health)
}

/// Says whether a status counts against the server rather than the request.
pub fn is_server_error(status: u16) -> bool {
    matches!(status, 500 | 502 | 503 | 504)
}

/// Converts a time to whole milliseconds, saturated at the range of `i32`.
fn to_millis(time: Duration) -> i32 {
    time.as_millis().min(i32::MAX as u128) as i32
}

/// Converts a fraction to thousandths, saturated at the range of `i32`.
fn to_milli(value: f64) -> i32 {
    (value * THOUSANDTHS_PER_UNIT).round() as i32
}

/// Converts thousandths to a fraction.
fn from_milli(thousandths: i32) -> f64 {
    f64::from(thousandths) / THOUSANDTHS_PER_UNIT
}
