// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Reloads the settings on a signal and when the settings file changes.

use std::fs;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use futures_util::{select_biased, FutureExt};

use basaltarch_events::process;
use basaltarch_options::DaemonOptions;

use crate::state::DaemonState;

/// Time between checks of the settings file, which may change without a signal.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// `FileVersion` identifies the content of a file by its time of change and its size.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct FileVersion {
    changed_at: SystemTime,
    bytes: u64,
}

/// Watches for changes of the settings for ever.
pub async fn watch(state: Rc<DaemonState>) {
    let mut version = file_version(&state);
    let mut seen = state.reloading.get();
    loop {
        let mut reload_signal = std::pin::pin!(state.reloading.above(seen).fuse());
        let mut tick = std::pin::pin!(monoio::time::sleep(CHECK_INTERVAL).fuse());
        let by_signal = select_biased! {
            count = reload_signal => { seen = count; true }
            () = tick => false,
        };
        let current_version = file_version(&state);
        if by_signal || current_version != version {
            version = current_version;
            reload(&state, if by_signal { "signal" } else { "file" });
        }
    }
}

/// Returns the version of the settings file, if there is one.
fn file_version(state: &DaemonState) -> Option<FileVersion> {
    // A wrong path was refused at the start. If the file is missing now, the error is reported when
    // the file is read.
    let path = state.options.given.file().ok().flatten()?;
    let data = fs::metadata(path).ok()?;
    let changed_at = data.modified().ok()?;
    Some(FileVersion { changed_at, bytes: data.len() })
}

/// Reloads the settings. Invalid settings change nothing.
fn reload(state: &Rc<DaemonState>, cause: &str) {
    let mut options = match DaemonOptions::try_new(state.options.given.clone()) {
        Ok(options) => options,
        Err(error) => {
            process::SettingsRefused { error: &error.to_string(), cause }.log();
            return;
        }
    };
    let fixed_settings = state.options.fixed_differences(&options);
    if !fixed_settings.is_empty() {
        process::SettingsFixed { settings: &fixed_settings.join(", ") }.log();
    }
    options.keep_bound_addresses(&state.options);
    state.set_live(options);
    process::SettingsAdopted { cause }.log();
}
