// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! A mix of requests as a deployment has it: classes of requests with their service times, sizes
//! and rates, and the slots of the backend servers.

use std::fs;
use std::path::Path;
use std::time::Duration;

use basaltarch_core::resources::WorkMode;
use rand::seq::IndexedRandom;
use rand::Rng;
use serde::Deserialize;

use crate::errors::SoakError;

/// `CallerHabit` is how callers use their connections for a class of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallerHabit {
    /// A connection is kept for many requests.
    Pool,
    /// Each request has a connection of its own.
    Fresh,
    /// Several requests are sent before the first is answered.
    Pipeline,
}

/// `RequestClass` is one class of requests.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestClass {
    /// Name of the class, and of its route.
    pub name: String,
    /// Index of the service that the requests go to.
    pub service: usize,
    /// Method of the requests.
    pub method: String,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// Weight of the class among the requests.
    pub weight: f64,
    /// Mean service time in milliseconds.
    pub work_ms: f64,
    /// Time that the caller waits, in milliseconds.
    pub deadline_ms: u64,
    /// Time-out of the route, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which the answer is worth most, in milliseconds.
    pub objective_ms: u32,
    /// Number of backend servers that one request may reach.
    pub attempts: u32,
    /// Mean size of the body in bytes.
    pub body_bytes: usize,
    /// How callers use their connections.
    pub habit: CallerHabit,
}

impl RequestClass {
    /// Returns the prefix of the paths of the class.
    pub fn path_prefix(&self) -> String {
        format!("/{}/", self.name)
    }

    /// Returns the mode of the route.
    pub fn mode(&self) -> WorkMode {
        if self.repeatable {
            WorkMode::Repeatable
        } else {
            WorkMode::Plain
        }
    }

    /// Returns the time that the caller waits.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }
}

/// `RequestMix` is the mix of requests of a run.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestMix {
    /// Number of requests that a backend server runs at once.
    pub slots: u32,
    /// Number of requests that a backend server queues.
    pub queue: usize,
    /// How requests wait for a slot: a value of the daemon's setting `waiting`.
    pub waiting: String,
    /// Number of callers of each daemon.
    pub callers_each: usize,
    /// Number of requests a second of all callers of a daemon together.
    pub per_second_each: f64,
    /// Share of requests whose callers leave early.
    pub leave_share: f64,
    /// Classes of the requests.
    pub classes: Vec<RequestClass>,
}

impl RequestMix {
    /// Reads a mix from a file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read, or is no mix.
    pub fn read(path: &Path) -> Result<Self, SoakError> {
        let failed = |source| SoakError::MixFile { path: path.to_owned(), source };
        let text = fs::read_to_string(path).map_err(failed)?;
        serde_json::from_str(&text).map_err(|error| failed(error.into()))
    }

    /// Draws the class of a request by the weights.
    pub fn draw_class(&self, rng: &mut impl Rng) -> Option<&RequestClass> {
        self.classes.choose_weighted(rng, |class| class.weight).ok()
    }

    /// Returns the mean pause between two requests of one caller.
    pub fn pause(&self) -> Duration {
        Duration::from_secs_f64(self.callers_each as f64 / self.per_second_each.max(0.01))
    }
}
