// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The budget of repeated dispatches of a service.

/// Repeats that a quiet service may make before its requests have earned any.
const START_TOKENS: f64 = 10.0;
/// Most repeats that may be saved up; a burst of failures can't cause more at once.
const TOKENS_MAX: f64 = 100.0;

/// `RetryBudget` lets a share of requests be repeated.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    tokens: f64,
    share: f64,
}

impl RetryBudget {
    /// Builds a budget of `share` repeats for each request.
    pub fn new(share: f64) -> Self {
        let tokens = if share > 0.0 { START_TOKENS } else { 0.0 };
        Self { tokens, share }
    }

    /// Takes in that a request came.
    pub fn note_request(&mut self) {
        self.tokens = (self.tokens + self.share).min(TOKENS_MAX);
    }

    /// Takes one repeat from the budget, if there is one.
    pub fn take(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
