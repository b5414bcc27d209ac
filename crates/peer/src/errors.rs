// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Errors of peer links.

use std::io;

use snafu::Snafu;

/// `LinkError` says why a peer link could not be established or why an established link ended.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum LinkError {
    /// The connection failed.
    #[snafu(display("peer connection failed: {source}"))]
    Broken {
        /// Error that the operating system reported.
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
        /// Maximum length allowed.
        allowed: usize,
    },
    /// A frame could not be encoded or decoded.
    #[snafu(display("peer frame could not be encoded or decoded: {message}"))]
    Malformed {
        /// Error that the codec reported.
        message: String,
    },
    /// A frame arrived that is not valid at its point of the protocol.
    #[snafu(display("peer sent an unexpected {frame} frame"))]
    Unexpected {
        /// Name of the frame.
        frame: &'static str,
    },
    /// The daemon that answered at the address runs on another host than expected.
    #[snafu(display("an unexpected host answered at this address: {host}"))]
    OtherHost {
        /// Host of the daemon that answered.
        host: String,
    },
    /// The other side does not hold the fleet key.
    #[snafu(display("peer {host} does not hold the fleet key"))]
    WrongKey {
        /// Host that the peer claimed to be.
        host: String,
    },
    /// The other side speaks another version of the protocol.
    #[snafu(display("peer speaks protocol version {theirs}; this daemon speaks {ours}"))]
    WrongVersion {
        /// Version of the other side.
        theirs: i32,
        /// Version of this side.
        ours: i32,
    },
    /// The other side did not answer within the timeout.
    #[snafu(display("peer did not answer within the timeout"))]
    TimedOut,
    /// The other side no longer reads: the send queue holds more bytes than allowed.
    #[snafu(display("peer no longer reads frames; {bytes} bytes wait in the send queue"))]
    Stalled {
        /// Bytes in the queue.
        bytes: usize,
    },
}

/// Builds a [`LinkError::Malformed`].
pub fn malformed(message: impl ToString) -> LinkError {
    LinkError::Malformed { message: message.to_string() }
}
