// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Bounds derived from what the platform grants the daemon: time, file descriptors and memory.

use std::time::Duration;

use basaltarch_core::errors::SettingError;

use crate::values;

/// Time between the end of the longest drain and the platform's kill, in which responses that were
/// just written still leave the host.
const KILL_MARGIN: Duration = Duration::from_millis(250);
/// Divisor of the file descriptors that yields the share for callers' connections; the remaining
/// descriptors are for links to peers, connections to backend servers, and files.
const CALLER_DESCRIPTORS_DIVISOR: u64 = 2;
/// Divisor of the memory that yields the share for callers' connections.
const CALLER_MEMORY_DIVISOR: u64 = 2;
/// Memory of a caller's connection with a request in progress, in bytes. An idle connection takes
/// 11.3 KiB at the ingress, and a request on the connection takes another 21.2 KiB.
const CALLER_BYTES: u64 = 33 * 1024;
/// Divisor of the memory that yields the share for what clients send and don't read, beyond what is
/// reckoned for each connection.
const CLIENT_MEMORY_DIVISOR: u64 = 4;
/// Divisor of the file descriptors that yields the share for links that other daemons dial.
const LINK_DESCRIPTORS_DIVISOR: u64 = 4;
/// Longest accepted time until the platform's kill; a longer time is refused because it was
/// probably given in the wrong unit.
const KILL_AFTER_MS_MAX: u64 = 86_400_000;
/// Longest accepted drain in milliseconds, as no platform waits longer for a host.
pub const DRAIN_MS_MAX: u64 = 3_600_000;

/// Returns the bound on callers' connections: the given bound, lowered if the file descriptors or
/// the memory leave too little for links to peers, connections to backend servers and requests in
/// progress.
pub fn caller_connections(
    given: Option<String>,
    descriptors: Option<String>,
    memory_mb: Option<String>,
) -> Result<usize, SettingError> {
    let wanted = values::read_count("connections", given, 10_000, 1, 1_000_000)?;
    let descriptors = read_descriptors(descriptors)?;
    let memory_bytes = read_memory_bytes(memory_mb)?;
    let by_descriptors = descriptors / CALLER_DESCRIPTORS_DIVISOR;
    let by_memory = memory_bytes / CALLER_MEMORY_DIVISOR / CALLER_BYTES;
    Ok(wanted.min(by_descriptors).min(by_memory) as usize)
}

/// Returns the bound on the bytes that are held for clients beyond [`CALLER_BYTES`] of each
/// connection: longer bodies, heads of many fields, requests sent ahead and answers that aren't read.
pub fn client_bytes(memory_mb: Option<String>) -> Result<u64, SettingError> {
    Ok(read_memory_bytes(memory_mb)? / CLIENT_MEMORY_DIVISOR)
}

/// Returns the bound on the links that other daemons dial.
pub fn accepted_links(descriptors: Option<String>) -> Result<usize, SettingError> {
    Ok((read_descriptors(descriptors)? / LINK_DESCRIPTORS_DIVISOR) as usize)
}

fn read_descriptors(given: Option<String>) -> Result<u64, SettingError> {
    values::read_amount("descriptors", given, 1 << 20, 256, 1 << 30)
}

fn read_memory_bytes(given: Option<String>) -> Result<u64, SettingError> {
    Ok(values::read_amount("memory-mb", given, 1 << 20, 16, 1 << 30)? << 20)
}

/// Returns the longest drain, shortened so that it ends before the platform kills the daemon.
pub fn longest_drain(
    drain: Option<String>,
    kill_after: Option<String>,
) -> Result<Duration, SettingError> {
    let drain = values::read_millis("drain-ms", drain, 30_000, DRAIN_MS_MAX)?;
    let kill_after =
        values::read_time("kill-after-ms", kill_after, DRAIN_MS_MAX, 0, KILL_AFTER_MS_MAX)?;
    Ok(drain.min(kill_after.saturating_sub(KILL_MARGIN)))
}
