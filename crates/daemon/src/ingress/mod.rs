// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The ingress role: accepts callers' requests, chooses the upstream of each, and relays its
//! complete answer.

pub mod answer;
pub mod attempt;
pub mod body;
pub mod caller;
pub mod caller_key;
pub mod dispatch;
pub mod evidence;
pub mod failure;
pub mod hold;
pub mod load_probe;
pub mod pipeline;
pub mod request;
pub mod reservations;
pub mod slow_attempts;
pub mod target;
pub mod trace;
pub mod waiting;
