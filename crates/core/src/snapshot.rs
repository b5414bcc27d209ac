// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! A whole configuration as bytes, as it is kept in the object store and passed between daemons.
//!
//! It is a sequence of JSON values, folded by lz4: a head, then one value for each resource. Writing
//! and reading go resource by resource, so that neither needs more memory than the configuration
//! itself. What is cut short, was harmed or holds anything unknown is refused.

use std::io::{self, BufRead, Write};

use lz4_flex::frame::{FrameDecoder, FrameEncoder, FrameInfo};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::config::{ConfigBuilder, FleetConfig, SnapshotResource};
use crate::errors::{self, ResourceError};
use crate::turns::{self, WorkTurns};
use crate::units::FleetRevision;

/// `SnapshotHead` is the first value of a snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct SnapshotHead {
    revision: FleetRevision,
    resources: usize,
}

/// Writes a configuration.
pub fn to_bytes(config: &FleetConfig) -> io::Result<Vec<u8>> {
    turns::at_once(write(config, &turns::no_pause))
}

/// Writes a configuration in turns.
pub async fn write(config: &FleetConfig, pause: &impl AsyncFn()) -> io::Result<Vec<u8>> {
    let mut turns = WorkTurns::new(pause);
    let info = FrameInfo::new().content_checksum(true);
    let mut encoder = FrameEncoder::with_frame_info(info, Vec::new());
    let head = SnapshotHead { revision: config.revision(), resources: config.len() };
    put(&mut encoder, &head)?;
    for (kind, name, stored) in config.all() {
        let value = stored.value.to_json();
        let kind = kind.name().to_owned();
        put(&mut encoder, &SnapshotResource(kind, name.to_string(), stored.revision, value))?;
        turns.step().await;
    }
    Ok(encoder.finish()?)
}

fn put(writer: &mut impl Write, value: &impl Serialize) -> io::Result<()> {
    serde_json::to_writer(&mut *writer, value)?;
    writer.write_all(b"\n")
}

/// Reads a configuration, with every check that a change goes through.
pub fn from_bytes(bytes: &[u8]) -> Result<FleetConfig, ResourceError> {
    turns::at_once(read(bytes, &turns::no_pause))
}

/// Reads a configuration in turns, with every check that a change goes through.
pub async fn read(bytes: &[u8], pause: &impl AsyncFn()) -> Result<FleetConfig, ResourceError> {
    let mut turns = WorkTurns::new(pause);
    let mut reader = io::BufReader::new(FrameDecoder::new(bytes));
    let mut line = Vec::new();
    let head: SnapshotHead = next(&mut reader, &mut line)?;
    let mut builder = ConfigBuilder::default();
    for _ in 0..head.resources {
        builder.push(&next(&mut reader, &mut line)?)?;
        turns.step().await;
    }
    // Reading to the end also compares the checksum.
    match reader.fill_buf() {
        Ok([]) => builder.finish_in_turns(head.revision, pause).await,
        Ok(_) => Err(errors::malformed(SNAPSHOT_PATH, "there is more than the head says")),
        Err(error) => Err(errors::malformed(SNAPSHOT_PATH, error)),
    }
}

/// Stands for the snapshot in errors.
const SNAPSHOT_PATH: &str = "snapshot";

/// Reads the next value, which stands on a line of its own; `line` is room for it.
fn next<T: DeserializeOwned>(
    reader: &mut impl BufRead,
    line: &mut Vec<u8>,
) -> Result<T, ResourceError> {
    line.clear();
    let malformed = |message: &dyn ToString| errors::malformed(SNAPSHOT_PATH, message.to_string());
    match reader.read_until(b'\n', line) {
        Ok(0) => Err(malformed(&"it ends too soon")),
        Ok(_) => serde_json::from_slice(line).map_err(|error| malformed(&error)),
        Err(error) => Err(malformed(&error)),
    }
}
