// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! HTTP/1.1 for every process of basaltarch.
//!
//! Heads are parsed by `monoio-http`. What it leaves to its users stands here: the bound on a
//! head's size and on its fields, the rules on how long a body is, and bodies that are passed on
//! piece by piece. Its own payload types gather a fixed body whole, and so does its decoder of
//! chunked bodies with each chunk; a daemon must pass on bodies larger than its memory.

pub mod body;
pub mod client;
pub mod connection;
pub mod errors;
pub mod fields;
pub mod framing;
pub mod head;
pub mod reader;
pub mod server;
pub mod writer;
