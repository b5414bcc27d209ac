// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Errors of peer links.

use std::io;

use snafu::Snafu;

/// `LinkError` says why a peer link could not be made or ended.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum LinkError {
    /// The connection failed.
    #[snafu(display("peer connection: {source}"))]
    Broken {
        /// What the system reported.
        source: io::Error,
    },
    /// The other side closed the connection.
    #[snafu(display("peer closed the connection"))]
    Closed,
    /// A frame is longer than allowed.
    #[snafu(display("peer frame of {bytes} bytes; allowed: {allowed}"))]
    FrameTooLong {
        /// Length of the frame.
        bytes: usize,
        /// Longest length allowed.
        allowed: usize,
    },
    /// A frame can't be read.
    #[snafu(display("peer frame can't be read: {message}"))]
    Malformed {
        /// What the codec reported.
        message: String,
    },
    /// A frame came that this side does not expect now.
    #[snafu(display("peer sent an unexpected {frame} frame"))]
    Unexpected {
        /// Name of the frame.
        frame: &'static str,
    },
    /// Another host listens at the address.
    #[snafu(display("host {host} is at this address now"))]
    OtherHost {
        /// Host that answered.
        host: String,
    },
    /// The other side does not hold the fleet key.
    #[snafu(display("peer {host} does not hold the fleet key"))]
    WrongKey {
        /// Host that the peer claimed to be.
        host: String,
    },
    /// The other side speaks another version of the protocol.
    #[snafu(display("peer speaks protocol version {theirs}; here: {ours}"))]
    WrongVersion {
        /// Version of the other side.
        theirs: i32,
        /// Version of this side.
        ours: i32,
    },
    /// The other side did not answer in time.
    #[snafu(display("peer did not answer in time"))]
    TimedOut,
    /// More bytes wait to be sent than allowed.
    #[snafu(display("peer does not take its frames; {bytes} bytes wait"))]
    Stalled {
        /// Bytes that wait.
        bytes: usize,
    },
}

/// Builds a [`LinkError::Malformed`].
pub fn malformed(message: impl ToString) -> LinkError {
    LinkError::Malformed { message: message.to_string() }
}
