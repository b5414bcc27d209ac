// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! A stand-in backend server that fails gray on demand.
//!
//! It counts what it ran, by the request's `x-request-id`, so that tests can check what callers
//! were told against what really happened.
//!
//! `serving` takes a request from its head to its end, `work` spends its time, `reply` makes its
//! answer and `sending` writes it, whole or broken off. `faults` are the faults in force and `runs` the
//! counters; `crash` ends the stand-in as a crash would; `control` lets tests reach both. `probe` answers about health and load.

mod control;
mod crash;
mod faults;
mod options;
mod probe;
mod reply;
mod runs;
mod sending;
mod serving;
mod work;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use http::HeaderName;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};

use crash::CrashSignal;

pub use control::{FAULTS_PATH, RUNS_PATH};
pub use faults::{BackendFaults, BreakPoint};
pub use options::BackendOptions;
pub use probe::{HEALTH_PATH, LOAD_PATH};
pub use runs::BackendRuns;
pub use serving::serve;

/// Header by which runs are counted.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// `BackendStandin` is the state of a stand-in backend server.
pub struct BackendStandin {
    options: BackendOptions,
    faults: RefCell<BackendFaults>,
    runs: RefCell<BackendRuns>,
    working: Cell<u64>,
    /// A request crashes the stand-in: its listener closes.
    crash: CrashSignal,
    /// The listener has closed: so do the connections.
    down: CrashSignal,
    rng: RefCell<ChaCha8Rng>,
}

impl BackendStandin {
    /// Builds a stand-in.
    pub fn new(options: BackendOptions) -> Rc<Self> {
        let rng = ChaCha8Rng::seed_from_u64(options.seed);
        Rc::new(Self {
            options,
            faults: RefCell::default(),
            runs: RefCell::default(),
            working: Cell::new(0),
            crash: CrashSignal::default(),
            down: CrashSignal::default(),
            rng: RefCell::new(rng),
        })
    }

    /// Returns the name of the field that names a request.
    fn request_field(&self) -> HeaderName {
        self.options.fields.request.clone().unwrap_or(REQUEST_ID)
    }

    fn service_time(&self, faults: &BackendFaults) -> Duration {
        let median = self.options.service_time.as_secs_f64();
        if median == 0.0 {
            return Duration::ZERO;
        }
        let mut rng = self.rng.borrow_mut();
        let factor =
            LogNormal::new(0.0, self.options.spread).map_or(1.0, |law| law.sample(&mut *rng));
        let slow = rng.random_bool(faults.slow_rate.clamp(0.0, 1.0));
        let slowness = if slow { faults.slow_factor } else { 1.0 };
        Duration::from_secs_f64(median * factor * slowness)
    }

    fn fails(&self, faults: &BackendFaults, path: &str) -> bool {
        path.starts_with(&faults.error_prefix)
            && self.rng.borrow_mut().random_bool(faults.error_rate.clamp(0.0, 1.0))
    }
}
