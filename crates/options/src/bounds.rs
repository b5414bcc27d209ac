// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Bounds that follow from what the platform lets the daemon have: time, descriptors and memory.

use std::time::Duration;

use basaltarch_core::errors::SettingError;

use crate::values;

/// Time between the end of the longest drain and the platform's kill: answers that were just written
/// still leave the host.
const KILL_MARGIN: Duration = Duration::from_millis(250);
/// One descriptor in this many may be a caller's connection; the others are for links to peers,
/// connections to backend servers, and files.
const CALLER_DESCRIPTORS_PART: u64 = 2;
/// One byte of memory in this many may be held for callers' connections.
const CALLER_MEMORY_PART: u64 = 2;
/// Bytes of a caller's connection with a request under way: 11.3 KiB and 21.2 KiB
/// (scripts/measure-memory, docs/MEASUREMENTS.md).
const CALLER_BYTES: u64 = 33 * 1024;
/// Longest time that a platform may say it waits; a longer one is a mistake in units.
const KILL_AFTER_MS_MAX: u64 = 86_400_000;
/// Longest drain: beyond it no platform waits for a host.
pub const DRAIN_MS_MAX: u64 = 3_600_000;

/// Returns the bound of callers' connections: as given, and such that links to peers, connections to
/// backend servers and requests under way have room beside them.
pub fn caller_connections(
    given: Option<String>,
    descriptors: Option<String>,
    memory_mb: Option<String>,
) -> Result<usize, SettingError> {
    let wanted = values::count("connections", given, 10_000, 1, 1_000_000)?;
    let descriptors = values::amount("descriptors", descriptors, 1 << 20, 256, 1 << 30)?;
    let memory = values::amount("memory-mb", memory_mb, 1 << 20, 16, 1 << 30)? << 20;
    let by_descriptors = descriptors / CALLER_DESCRIPTORS_PART;
    let by_memory = memory / CALLER_MEMORY_PART / CALLER_BYTES;
    Ok(wanted.min(by_descriptors).min(by_memory) as usize)
}

/// Returns the longest drain: it must end before the platform kills the daemon.
pub fn longest_drain(
    drain: Option<String>,
    kill_after: Option<String>,
) -> Result<Duration, SettingError> {
    let drain = values::millis("drain-ms", drain, 30_000, DRAIN_MS_MAX)?;
    let kill_after = values::time("kill-after-ms", kill_after, DRAIN_MS_MAX, 0, KILL_AFTER_MS_MAX)?;
    Ok(drain.min(kill_after.saturating_sub(KILL_MARGIN)))
}
