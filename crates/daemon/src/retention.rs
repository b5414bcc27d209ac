// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Removes old rows of the at-most-once ledger: each daemon periodically sweeps a part of the
//! ledger.

use std::rc::Rc;
use std::time::Duration;

use basaltarch_base::metrics;
use basaltarch_events::process;
use basaltarch_store::retention::OnceRetention;

use crate::state::DaemonState;

/// Minimum time between two rounds of one daemon, each of which sweeps a part of the ledger.
const ROUND_INTERVAL_MIN: Duration = Duration::from_secs(30);
/// Factor of the time between two rounds of one daemon, which is multiplied by the number of
/// daemons. The factor allows 20 rounds a second in the whole fleet, which take a tenth of the
/// fleet's store reads.
const ROUND_INTERVAL_PER_DAEMON: Duration = Duration::from_millis(50);
/// Time from the start to the first round, which is short so that rows soon carry an epoch.
const FIRST_ROUND_DELAY: Duration = Duration::from_millis(500);

/// Sweeps the ledger for ever.
pub async fn run(state: Rc<DaemonState>) {
    let keep_hours = state.options.once_keep_hours;
    let retention = OnceRetention::new(state.platform.clone(), state.ledger.clone(), keep_hours);
    let mut wait = FIRST_ROUND_DELAY;
    loop {
        monoio::time::sleep(wait.mul_f64(rand::random_range(0.8..1.2))).await;
        match retention.run_round(state.now()).await {
            Ok(report) => {
                metrics::ONCE_REMOVED.add(report.removed);
                if report.removed + report.dated > 0 {
                    let (epoch, removed, dated) = (report.epoch, report.removed, report.dated);
                    process::OnceSwept { epoch, removed, dated }.log();
                }
            }
            Err(error) => {
                let error = &error.to_string();
                process::StoreFailed { call: "sweep at-most-once rows", error }.log();
            }
        }
        let daemons = state.members.count() as u32;
        wait = (ROUND_INTERVAL_PER_DAEMON * daemons).max(ROUND_INTERVAL_MIN);
    }
}
