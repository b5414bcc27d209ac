// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Reads the settings again, when a signal asks for it and when the settings file changes.

use std::fs;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use futures_util::{select_biased, FutureExt};

use basaltarch_events::process;
use basaltarch_options::DaemonOptions;

use crate::state::DaemonState;

/// Time between looks at the settings file: it may change without a signal.
const LOOK_EVERY: Duration = Duration::from_secs(1);

/// `FileMark` tells two states of a file apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct FileMark {
    changed_at: SystemTime,
    bytes: u64,
}

/// Watches over the settings for ever.
pub async fn watch(state: Rc<DaemonState>) {
    let mut mark = file_mark(&state);
    let mut seen = state.reloading.get();
    loop {
        let mut asked = std::pin::pin!(state.reloading.above(seen).fuse());
        let mut look = std::pin::pin!(monoio::time::sleep(LOOK_EVERY).fuse());
        let by_signal = select_biased! {
            count = asked => { seen = count; true }
            () = look => false,
        };
        let now = file_mark(&state);
        if by_signal || now != mark {
            mark = now;
            reload(&state, if by_signal { "signal" } else { "file" });
        }
    }
}

/// Returns the mark of the settings file, if there is one.
fn file_mark(state: &DaemonState) -> Option<FileMark> {
    // A wrong path was refused at the start; one that vanished is told when it is read.
    let path = state.options.given.file().ok().flatten()?;
    let data = fs::metadata(path).ok()?;
    let changed_at = data.modified().ok()?;
    Some(FileMark { changed_at, bytes: data.len() })
}

/// Reads the settings again. Wrong ones change nothing.
fn reload(state: &Rc<DaemonState>, cause: &str) {
    let mut options = match DaemonOptions::try_new(state.options.given.clone()) {
        Ok(options) => options,
        Err(error) => {
            process::SettingsRefused { error: &error.to_string(), cause }.log();
            return;
        }
    };
    let fixed = state.options.differences(&options);
    if !fixed.is_empty() {
        process::SettingsFixed { settings: &fixed.join(", ") }.log();
    }
    options.keep_bound(&state.options);
    state.set_live(options);
    process::SettingsAdopted { cause }.log();
}
