// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Chart of detection time against false ejections. Each rule has a curve, whose points are the
//! results with different thresholds of the rule.

use plotters::prelude::*;

use crate::decisions::bounds;
use crate::decisions::report;
use crate::decisions::rules::RuleKind;
use crate::decisions::scenario::{CASES, DEPLOYMENTS, LOADS};
use crate::decisions::suite::{self, SuitePlan};
use crate::errors::BenchError;

/// Width and height of the chart in pixels.
const CHART_SIZE_PX: (u32, u32) = (860, 560);
/// False ejections per upstream-hour at which zero is drawn, as the axis is logarithmic.
const NO_EJECTIONS_AT: f64 = 0.002;
/// Detection time in seconds at which a rule is drawn that detects no fault.
const NO_DETECTION_AT_S: f64 = 60.0;

/// `RuleCurve` holds the results of a rule over a range of thresholds.
#[derive(Debug, Clone, PartialEq)]
pub struct RuleCurve {
    /// Rule that the curve belongs to.
    pub rule: RuleKind,
    /// For each threshold: the threshold, the false ejections per upstream-hour, and the median
    /// detection time in seconds.
    pub points: Vec<(f64, f64, f64)>,
}

/// Rules of the chart, each with the thresholds for which the suite runs.
const SWEEPS: [(RuleKind, [f64; 6]); 4] = [
    (RuleKind::Consecutive, [2.0, 3.0, 4.0, 5.0, 7.0, 10.0]),
    (RuleKind::Rate, [0.1, 0.2, 0.3, 0.4, 0.5, 0.7]),
    (RuleKind::Outlier, [1.2, 1.6, 1.9, 2.4, 3.0, 3.6]),
    (RuleKind::Detection, [5.0, 7.0, 9.0, 11.0, 14.0, 18.0]),
];

fn sweep_suite(rule: RuleKind, threshold: f64) -> SuitePlan {
    SuitePlan {
        severities: vec![1, 3],
        loads: vec![LOADS[1]],
        deployments: vec![DEPLOYMENTS[0], DEPLOYMENTS[3]],
        rules: vec![rule],
        threshold: Some(threshold),
        ..bounds::whole_suite(1)
    }
}

/// Runs the suite for every rule and threshold of the chart.
pub fn sweep_thresholds() -> Vec<RuleCurve> {
    SWEEPS
        .iter()
        .map(|(rule, values)| RuleCurve {
            rule: *rule,
            points: values.iter().map(|value| measure_point(*rule, *value)).collect(),
        })
        .collect()
}

fn measure_point(rule: RuleKind, threshold: f64) -> (f64, f64, f64) {
    let results = suite::run(&sweep_suite(rule, threshold));
    let faulty_summary =
        report::summarize_rule(&results, rule, |key| CASES[key.case].one_is_faulty);
    let overall_summary = report::summarize_rule(&results, rule, |_| true);
    let seconds =
        faulty_summary.detection_median.map_or(NO_DETECTION_AT_S, |median| median.as_secs_f64());
    (threshold, overall_summary.false_ejections_hour, seconds)
}

/// Draws curves into an SVG file.
pub fn draw(path: &str, curves: &[RuleCurve]) -> Result<(), BenchError> {
    let file_error = |message: String| BenchError::File { path: path.to_owned(), message };
    let root = SVGBackend::new(path, CHART_SIZE_PX).into_drawing_area();
    root.fill(&WHITE).map_err(|error| file_error(error.to_string()))?;
    let mut chart = ChartBuilder::on(&root)
        .caption("Detection time against false ejections", ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(48)
        .y_label_area_size(64)
        .build_cartesian_2d(
            (NO_EJECTIONS_AT..60.0).log_scale(),
            (0.05..NO_DETECTION_AT_S * 1.2).log_scale(),
        )
        .map_err(|error| file_error(error.to_string()))?;
    chart
        .configure_mesh()
        .x_desc("false ejections an upstream-hour (0.002 stands for none)")
        .y_desc("median detection time in s (60 stands for never)")
        .draw()
        .map_err(|error| file_error(error.to_string()))?;
    let colours = [&BLUE, &GREEN, &MAGENTA, &RED];
    for (curve, colour) in curves.iter().zip(colours) {
        let points: Vec<(f64, f64)> =
            curve.points.iter().map(|(_, rate, time)| (rate.max(NO_EJECTIONS_AT), *time)).collect();
        let name = match curve.rule {
            RuleKind::Detection => "basaltarch, threshold 5 to 18",
            other => other.name(),
        };
        chart
            .draw_series(LineSeries::new(points.clone(), colour))
            .map_err(|error| file_error(error.to_string()))?
            .label(name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour));
        let dots = points.iter().map(|point| Circle::new(*point, 4, colour.filled()));
        chart.draw_series(dots).map_err(|error| file_error(error.to_string()))?;
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()
        .map_err(|error| file_error(error.to_string()))?;
    root.present().map_err(|error| file_error(error.to_string()))
}
