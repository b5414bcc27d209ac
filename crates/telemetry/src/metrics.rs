// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Metrics through OpenTelemetry, exposed in the Prometheus text format on the admin address.
//!
//! For counters and gauges, the request path only updates atomic integers. OpenTelemetry reads
//! these when the metrics are scraped.

use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::sync::OnceLock;
use std::time::Duration;

use opentelemetry::metrics::{Histogram, MeterProvider};
use opentelemetry::KeyValue;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

use crate::errors::StartError;

/// `CounterCell` is a monotonic counter.
#[derive(Debug, Default)]
pub struct CounterCell(AtomicU64);

impl CounterCell {
    /// Builds a counter at zero.
    pub const fn new() -> Self {
        Self(AtomicU64::new(0))
    }

    /// Adds one.
    pub fn add_one(&self) {
        self.add(1);
    }

    /// Adds `count`.
    pub fn add(&self, count: u64) {
        self.0.fetch_add(count, Ordering::Relaxed);
    }

    /// Returns the value.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// `GaugeCell` is a value that rises and falls.
#[derive(Debug, Default)]
pub struct GaugeCell(AtomicI64);

impl GaugeCell {
    /// Builds a gauge at zero.
    pub const fn new() -> Self {
        Self(AtomicI64::new(0))
    }

    /// Sets the value.
    pub fn set(&self, value: i64) {
        self.0.store(value, Ordering::Relaxed);
    }

    /// Adds `count`, which may be negative.
    pub fn add(&self, count: i64) {
        self.0.fetch_add(count, Ordering::Relaxed);
    }

    /// Returns the value.
    pub fn get(&self) -> i64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// `HistogramCell` is a distribution of durations in seconds. Each value is passed to OpenTelemetry
/// immediately, which takes about 100 ns.
#[derive(Debug, Default)]
pub struct HistogramCell(OnceLock<Histogram<f64>>);

/// Bucket bounds of the histograms in seconds, from an unnoticeable delay to the timeout of a
/// caller.
const SECONDS_BOUNDS: [f64; 13] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0];

impl HistogramCell {
    /// Builds an empty histogram.
    pub const fn new() -> Self {
        Self(OnceLock::new())
    }

    /// Records a duration. A duration that is recorded before [`start`] is discarded.
    pub fn record(&self, duration: Duration) {
        self.record_as(duration, []);
    }

    /// Records a duration with labels. Labels must have few values, as each combination of values
    /// is kept for the life of the process.
    pub fn record_as<const N: usize>(&self, duration: Duration, labels: [(&'static str, &str); N]) {
        if let Some(histogram) = self.0.get() {
            let labels = labels.map(|(name, value)| KeyValue::new(name, value.to_owned()));
            histogram.record(duration.as_secs_f64(), &labels);
        }
    }
}

/// `MetricSource` is the cell that a metric reads its value from.
#[derive(Debug, Clone, Copy)]
pub enum MetricSource {
    /// A counter.
    Counter(&'static CounterCell),
    /// A gauge.
    Gauge(&'static GaugeCell),
    /// A histogram.
    Histogram(&'static HistogramCell),
}

/// `MetricEntry` describes one metric, with at most one label.
#[derive(Debug, Clone, Copy)]
pub struct MetricEntry {
    /// Name without the `basaltarch_` prefix.
    pub name: &'static str,
    /// Help text.
    pub help: &'static str,
    /// Name and value of the label, if the metric has one.
    pub label: Option<(&'static str, &'static str)>,
    /// Cell that holds the value.
    pub source: MetricSource,
}

static REGISTRY: OnceLock<(Registry, SdkMeterProvider)> = OnceLock::new();

/// Registers the metrics of this process. A second call does nothing.
pub fn start(entries: &[MetricEntry]) -> Result<(), StartError> {
    if REGISTRY.get().is_some() {
        return Ok(());
    }
    let registry = Registry::new();
    let exporter = opentelemetry_prometheus::exporter()
        .with_registry(registry.clone())
        .without_target_info()
        .build()
        .map_err(|error| StartError::Metrics { message: error.to_string() })?;
    let provider = SdkMeterProvider::builder().with_reader(exporter).build();
    let meter = provider.meter("basaltarch");
    let mut names: Vec<&'static str> = entries.iter().map(|entry| entry.name).collect();
    names.dedup();
    for name in names {
        let same_name: Vec<MetricEntry> =
            entries.iter().filter(|entry| entry.name == name).copied().collect();
        register(&meter, name, same_name);
    }
    let _ = REGISTRY.set((registry, provider));
    Ok(())
}

fn register(meter: &opentelemetry::metrics::Meter, name: &'static str, entries: Vec<MetricEntry>) {
    let full_name = format!("basaltarch_{name}");
    let help = entries[0].help;
    match entries[0].source {
        MetricSource::Counter(_) => {
            meter
                .u64_observable_counter(full_name)
                .with_description(help)
                .with_callback(move |observer| {
                    for entry in &entries {
                        if let MetricSource::Counter(cell) = entry.source {
                            observer.observe(cell.get(), &entry_labels(entry));
                        }
                    }
                })
                .build();
        }
        MetricSource::Histogram(cell) => {
            let builder = meter.f64_histogram(full_name).with_description(help);
            let histogram = builder.with_boundaries(SECONDS_BOUNDS.to_vec()).build();
            // This fails only if the cell already has its histogram from an earlier start.
            let _ = cell.0.set(histogram);
        }
        MetricSource::Gauge(_) => {
            meter
                .i64_observable_gauge(full_name)
                .with_description(help)
                .with_callback(move |observer| {
                    for entry in &entries {
                        if let MetricSource::Gauge(cell) = entry.source {
                            observer.observe(cell.get(), &entry_labels(entry));
                        }
                    }
                })
                .build();
        }
    }
}

fn entry_labels(entry: &MetricEntry) -> Vec<KeyValue> {
    entry.label.iter().map(|(key, value)| KeyValue::new(*key, *value)).collect()
}

/// Returns all metrics in the Prometheus text format.
pub fn render() -> String {
    let mut text = Vec::new();
    if let Some((registry, _)) = REGISTRY.get() {
        let _ = TextEncoder::new().encode(&registry.gather(), &mut text);
    }
    String::from_utf8(text).unwrap_or_default()
}
