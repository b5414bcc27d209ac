// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! HTTP/1.1 for all basaltarch processes.
//!
//! Heads are parsed by `monoio-http`. This crate adds features that `monoio-http` lacks: limits on
//! the size and the number of fields of a head, the rules of message framing, and streamed bodies.
//! The payload types of `monoio-http` hold a body of known length in memory as a whole, and its
//! decoder of chunked bodies holds each chunk in memory as a whole. A daemon, however, must forward
//! bodies larger than its memory.

pub mod body;
pub mod client;
pub mod connection;
pub mod errors;
pub mod exchange;
pub mod fault;
pub mod fields;
pub mod framing;
pub mod head;
pub mod reader;
pub mod server;
pub mod table;
pub mod writer;
