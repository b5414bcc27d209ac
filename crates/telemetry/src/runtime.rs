// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The async runtime: one thread on epoll.
//!
//! The io_uring driver of `monoio` is compiled in, because `monoio-http` enables its default
//! features. Only the driver named in [`run`] is used; a test checks that the process has no
//! io_uring descriptor open.

use std::future::Future;

use monoio::{LegacyDriver, RuntimeBuilder};

use crate::errors::StartError;

/// Runs a future on this thread to completion.
pub fn run<F: Future>(future: F) -> Result<F::Output, StartError> {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .map_err(|source| StartError::Runtime { source })?;
    Ok(runtime.block_on(future))
}
