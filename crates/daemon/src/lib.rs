// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The proxy daemon that runs on each backend server host.
//!
//! Every daemon has the same three roles. The [`ingress`] accepts callers' requests and chooses the
//! upstream of each. The [`host`] role is the only one that sends requests to the backend servers
//! of its own host. The [`admin`] role serves the resource API, watches, status and metrics. Their
//! shared state is in [`state`].

pub mod admin;
pub mod admission;
pub mod announce;
pub mod config_sync;
pub mod control;
pub mod departures;
pub mod document;
pub mod errors;
pub mod evacuations;
pub mod feed;
pub mod freshness;
pub mod health_checks;
pub mod host;
pub mod ingress;
pub mod limit_owners;
pub mod limits;
pub mod links;
pub mod membership;
pub mod notices;
pub mod parts;
pub mod records;
pub mod registration;
pub mod reload;
pub mod resume;
pub mod retention;
pub mod roster;
pub mod rows;
pub mod run;
pub mod server_calls;
pub mod services;
pub mod state;
pub mod stop;
pub mod suspects;
pub mod wire;
