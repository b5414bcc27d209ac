// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The page of metrics. Anyone may read it, so a crowd of readers gets one page for many reads.

use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

use bytes::Bytes;

/// Length of the window in which pages are counted.
const WINDOW: Duration = Duration::from_millis(100);
/// Number of pages that are rendered anew in one window.
const RENDERS_MAX: u32 = 20;

/// `MetricsPage` is the page that was rendered last.
#[derive(Debug, Default)]
pub struct MetricsPage {
    text: RefCell<Bytes>,
    window_began: Cell<Option<Instant>>,
    renders: Cell<u32>,
}

impl MetricsPage {
    /// Returns the page, which is rendered anew unless that was done often just now.
    pub fn get(&self, render: impl FnOnce() -> String) -> Bytes {
        if self.window_began.get().is_none_or(|began| began.elapsed() >= WINDOW) {
            self.window_began.set(Some(Instant::now()));
            self.renders.set(0);
        }
        if self.renders.get() < RENDERS_MAX {
            self.renders.set(self.renders.get() + 1);
            *self.text.borrow_mut() = render().into();
        }
        self.text.borrow().clone()
    }
}
