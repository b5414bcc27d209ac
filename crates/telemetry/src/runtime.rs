// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The runtime: one thread on epoll.
//!
//! `monoio` compiles its io_uring driver in, as `monoio-http` asks for its default features. Only
//! the driver named here runs; a test looks for a ring among the process's files.

use std::future::Future;

use monoio::{LegacyDriver, RuntimeBuilder};

use crate::errors::StartError;

/// Runs a future on this thread to its end.
pub fn run<F: Future>(future: F) -> Result<F::Output, StartError> {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .map_err(|source| StartError::Runtime { source })?;
    Ok(runtime.block_on(future))
}
