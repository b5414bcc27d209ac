// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Load generation, experiments and simulations for basaltarch.

pub mod capacity;
pub mod crashes;
pub mod decisions;
pub mod detection;
pub mod errors;
pub mod experiment;
pub mod fault;
pub mod hold;
pub mod load;
pub mod spread;
