// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Types that every basaltarch crate builds on.
//!
//! This crate holds the resources that operators declare, the configuration built from them, the
//! outcome of an exchange, units and settings. The crate does no input or output.

pub mod account;
pub mod blocks;
pub mod config;
pub mod departures;
pub mod errors;
pub mod fingerprint;
pub mod incarnation;
pub mod organisations;
pub mod outcome;
pub mod packing;
pub mod resources;
pub mod routes;
pub mod services;
pub mod settings;
pub mod slices;
pub mod snapshot;
pub mod units;
