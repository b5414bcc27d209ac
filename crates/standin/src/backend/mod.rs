// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! A simulated backend server with injected gray failures.
//!
//! The server counts the requests that it ran by their `x-request-id`. Tests compare these counts
//! with the responses that callers got.
//!
//! `serving` handles a request from its head to its end, `slots` limits how many run at once and
//! queues the rest, `execution` spends its service time,
//! `reply` builds its response and `sending` writes it, complete or truncated. `faults` are the
//! faults in force and `runs` the counters; `control` lets tests set the faults and read the
//! counters. `crash` simulates a crash, during which `port` keeps the server's port, and `probe`
//! answers the health and load endpoints.

mod control;
mod crash;
mod execution;
mod faults;
mod options;
mod port;
mod probe;
mod reply;
mod runs;
mod sending;
mod serving;
mod slots;
pub mod uploads;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use http::HeaderName;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};

use crash::CrashSignal;
use slots::ServerSlots;

pub use control::{FAULTS_PATH, RUNS_PATH};
pub use faults::{BackendFaults, BreakPoint, GarbleKind};
pub use options::BackendOptions;
pub use port::HeldPort;
pub use probe::{HEALTH_PATH, LOAD_PATH};
pub use runs::BackendRuns;
pub use serving::serve;

/// Default name of the header field that identifies a request. Runs are counted by its value.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// `BackendStandin` is the state of a simulated backend server.
pub struct BackendStandin {
    options: BackendOptions,
    faults: RefCell<BackendFaults>,
    runs: RefCell<BackendRuns>,
    in_flight: Cell<u64>,
    started: Instant,
    /// Raised by a request that crashes the server, to close the listener.
    crash: CrashSignal,
    /// Raised once the listener has closed, to close the connections.
    down: CrashSignal,
    rng: RefCell<ChaCha8Rng>,
    slots: Option<Rc<ServerSlots>>,
}

impl BackendStandin {
    /// Builds a simulated backend server without faults.
    pub fn new(options: BackendOptions) -> Rc<Self> {
        let rng = ChaCha8Rng::seed_from_u64(options.seed);
        let slots = options.slots.map(|count| ServerSlots::new(count, options.queue));
        Rc::new(Self {
            options,
            faults: RefCell::default(),
            runs: RefCell::default(),
            in_flight: Cell::new(0),
            started: Instant::now(),
            crash: CrashSignal::default(),
            down: CrashSignal::default(),
            rng: RefCell::new(rng),
            slots,
        })
    }

    /// Returns the name of the header field that identifies a request.
    fn request_field(&self) -> HeaderName {
        self.options.fields.request.clone().unwrap_or(REQUEST_ID)
    }

    fn service_time(&self, faults: &BackendFaults) -> Duration {
        let median = self.options.service_time.as_secs_f64();
        if median == 0.0 {
            return Duration::ZERO;
        }
        let mut rng = self.rng.borrow_mut();
        let factor = LogNormal::new(0.0, self.options.spread)
            .map_or(1.0, |distribution| distribution.sample(&mut *rng));
        drop(rng);
        Duration::from_secs_f64(median * factor * self.slowdown(faults))
    }

    /// Draws the factor by which the service time of a request is multiplied.
    fn slowdown(&self, faults: &BackendFaults) -> f64 {
        let is_slow = self.rng.borrow_mut().random_bool(faults.slow_rate.clamp(0.0, 1.0));
        if is_slow {
            faults.slow_factor
        } else {
            1.0
        }
    }

    /// Returns the faults in force for one request, with those that are drawn for it.
    fn draw_faults(&self) -> BackendFaults {
        let faults = self.faults.borrow().clone();
        let mut rng = self.rng.borrow_mut();
        if !rng.random_bool(faults.garble_rate.clamp(0.0, 1.0)) {
            return faults;
        }
        match faults.garbles.choose(&mut *rng).copied() {
            Some(kind) => faults.garbled(kind),
            None => faults,
        }
    }

    fn draws_error(&self, faults: &BackendFaults, path: &str) -> bool {
        path.starts_with(&faults.error_prefix)
            && self.rng.borrow_mut().random_bool(faults.error_rate.clamp(0.0, 1.0))
    }
}
