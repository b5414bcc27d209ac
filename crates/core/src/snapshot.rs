// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The serialized form of a whole configuration, as it is kept in the object store and sent between
//! daemons.
//!
//! A snapshot is a sequence of JSON values, compressed with lz4: a head, then one value for each
//! resource. Snapshots are written and read resource by resource, so that neither writing nor
//! reading needs more memory than the configuration itself. Snapshots that are truncated, corrupted
//! or contain unknown kinds or fields are rejected.

use std::io::{self, BufRead, Write};

use lz4_flex::frame::{FrameDecoder, FrameEncoder, FrameInfo};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::config::{ConfigBuilder, FleetConfig, SnapshotResource};
use crate::errors::{self, ResourceError};
use crate::slices::{self, WorkSlices};
use crate::units::FleetRevision;

/// `SnapshotHead` is the first value of a snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct SnapshotHead {
    revision: FleetRevision,
    resources: usize,
}

/// Serializes a configuration.
pub fn to_bytes(config: &FleetConfig) -> io::Result<Vec<u8>> {
    slices::poll_to_completion(write(config, &slices::no_pause))
}

/// Serializes a configuration in time slices.
pub async fn write(config: &FleetConfig, pause: &impl AsyncFn()) -> io::Result<Vec<u8>> {
    let mut slices = WorkSlices::new(pause);
    let info = FrameInfo::new().content_checksum(true);
    let mut encoder = FrameEncoder::with_frame_info(info, Vec::new());
    let head = SnapshotHead { revision: config.revision(), resources: config.len() };
    write_value(&mut encoder, &head)?;
    for (kind, name, stored) in config.all() {
        let value = stored.value.to_json();
        let kind = kind.name().to_owned();
        write_value(
            &mut encoder,
            &SnapshotResource(kind, name.to_string(), stored.revision, value),
        )?;
        slices.step().await;
    }
    Ok(encoder.finish()?)
}

fn write_value(writer: &mut impl Write, value: &impl Serialize) -> io::Result<()> {
    serde_json::to_writer(&mut *writer, value)?;
    writer.write_all(b"\n")
}

/// Deserializes a configuration, with every check that a change must pass.
pub fn from_bytes(bytes: &[u8]) -> Result<FleetConfig, ResourceError> {
    slices::poll_to_completion(read(bytes, &slices::no_pause))
}

/// Deserializes a configuration in time slices, with every check that a change must pass.
pub async fn read(bytes: &[u8], pause: &impl AsyncFn()) -> Result<FleetConfig, ResourceError> {
    let mut slices = WorkSlices::new(pause);
    let mut reader = io::BufReader::new(FrameDecoder::new(bytes));
    let mut line = Vec::new();
    let head: SnapshotHead = read_value(&mut reader, &mut line)?;
    let mut builder = ConfigBuilder::default();
    for _ in 0..head.resources {
        builder.push(&read_value(&mut reader, &mut line)?)?;
        slices.step().await;
    }
    // The decoder verifies the checksum when the input is read to its end.
    match reader.fill_buf() {
        Ok([]) => builder.finish_in_slices(head.revision, pause).await,
        Ok(_) => Err(errors::malformed(
            SNAPSHOT_PATH,
            "data follows the last of the resources that the head counts",
        )),
        Err(error) => Err(errors::malformed(SNAPSHOT_PATH, error)),
    }
}

/// Path that errors give for the snapshot, where they give the path of a resource otherwise.
const SNAPSHOT_PATH: &str = "snapshot";

/// Reads the next value, which is on a line of its own; `line` is a reused buffer for the line.
fn read_value<T: DeserializeOwned>(
    reader: &mut impl BufRead,
    line: &mut Vec<u8>,
) -> Result<T, ResourceError> {
    line.clear();
    let malformed = |message: &dyn ToString| errors::malformed(SNAPSHOT_PATH, message.to_string());
    match reader.read_until(b'\n', line) {
        Ok(0) => Err(malformed(&"truncated: the head or a resource is missing")),
        Ok(_) => serde_json::from_slice(line).map_err(|error| malformed(&error)),
        Err(error) => Err(malformed(&error)),
    }
}
