// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The operator's command line, and the client of the resource API on which it is built.

pub mod api;
pub mod commands;
pub mod errors;
pub mod explain;
pub mod keys;
pub mod lines;
pub mod losses;
pub mod tables;
