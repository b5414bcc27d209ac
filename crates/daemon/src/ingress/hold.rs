// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The bytes that the ingress holds for one request of a caller.
//!
//! Ordinary requests fit into what is reckoned for each connection. What goes beyond is taken from
//! the account of all callers, and a request that finds the account full is refused.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use basaltarch_core::account::{AccountFull, ByteHold};
use basaltarch_core::units;
use basaltarch_decide::eviction::{ByteNeed, ConnectionStage};
use basaltarch_http::reader::BODY_READ_BYTES;
use basaltarch_http::table::ConnectionEntry;

use crate::state::DaemonState;

/// Bytes of a request that are reckoned with its connection.
const FREE_BYTES: u64 = 12 * units::KIB as u64;
/// How often a kept byte of a body is held: once, and once more for the attempt that is being sent.
const BODY_COPIES: u64 = 2;
/// Body size in bytes from which the read buffers grow.
const LARGE_BODY_BYTES: usize = 8 * units::KIB;
/// Bytes of an answer that are held for a caller that doesn't read: a window, and the piece that is
/// being written.
const ANSWER_BYTES: u64 = 96 * units::KIB as u64;

/// `RequestHold` is what is held for one request, and the connection that it came along.
pub struct RequestHold {
    /// Connection of the caller.
    pub entry: Rc<ConnectionEntry>,
    head_bytes: Cell<u64>,
    hold: RefCell<ByteHold>,
}

impl RequestHold {
    /// Builds the hold of a request that came along the connection `entry`.
    pub fn new(state: &DaemonState, entry: &Rc<ConnectionEntry>) -> Self {
        Self {
            entry: entry.clone(),
            head_bytes: Cell::new(0),
            hold: RefCell::new(state.account.open_hold()),
        }
    }

    /// Takes the bytes of the request's head. Nothing is freed for it: the parsed head would be held
    /// meanwhile.
    ///
    /// # Errors
    ///
    /// Returns [`AccountFull`] if the account has too few left.
    pub fn take_head(&self, bytes: u64) -> Result<(), AccountFull> {
        self.head_bytes.set(bytes);
        self.hold.borrow_mut().try_reach(bytes.saturating_sub(FREE_BYTES))
    }

    /// Gives back what the head no longer takes once it was parsed: `bytes` are left of it.
    pub fn shrink_head(&self, bytes: u64) {
        self.head_bytes.set(bytes);
        self.set(bytes);
    }

    /// Takes the bytes of a body of which `capacity` bytes are kept.
    ///
    /// # Errors
    ///
    /// Returns [`AccountFull`] if no bytes can be freed for it.
    pub async fn take_body(&self, state: &DaemonState, capacity: usize) -> Result<(), AccountFull> {
        let read_bytes = if capacity > LARGE_BODY_BYTES { 2 * BODY_READ_BYTES } else { 0 };
        let body_bytes = BODY_COPIES * capacity as u64 + read_bytes as u64;
        self.reach(state, self.head_bytes.get() + body_bytes).await
    }

    /// Takes the bytes of an answer that the caller doesn't read; they are held already, so another
    /// caller that stands still makes room if the account is full. They are given back when the guard
    /// is dropped.
    pub async fn take_answer(&self, state: &DaemonState) -> AnswerGuard<'_> {
        self.entry.enter(ConnectionStage::Blocked);
        let bytes_before = self.hold.borrow().bytes();
        self.hold.borrow_mut().set(bytes_before + ANSWER_BYTES);
        self.entry.note_held(bytes_before + ANSWER_BYTES);
        let guard = AnswerGuard { hold: self, bytes_before };
        if state.account.is_exceeded() {
            state.callers.evict_holder(ByteNeed::Answer).await;
        }
        guard
    }

    async fn reach(&self, state: &DaemonState, bytes: u64) -> Result<(), AccountFull> {
        let charged_bytes = bytes.saturating_sub(FREE_BYTES);
        while self.hold.borrow_mut().try_reach(charged_bytes).is_err() {
            if !state.callers.evict_holder(ByteNeed::Request).await {
                return Err(AccountFull);
            }
        }
        self.entry.note_held(self.hold.borrow().bytes());
        Ok(())
    }

    fn set(&self, bytes: u64) {
        let charged_bytes = bytes.saturating_sub(FREE_BYTES);
        self.hold.borrow_mut().set(charged_bytes);
        self.entry.note_held(charged_bytes);
    }
}

impl Drop for RequestHold {
    fn drop(&mut self) {
        self.entry.note_held(0);
    }
}

/// `AnswerGuard` holds the bytes of an answer that the caller doesn't read.
pub struct AnswerGuard<'a> {
    hold: &'a RequestHold,
    bytes_before: u64,
}

impl Drop for AnswerGuard<'_> {
    fn drop(&mut self) {
        self.hold.hold.borrow_mut().set(self.bytes_before);
        self.hold.entry.note_held(self.bytes_before);
        self.hold.entry.enter(ConnectionStage::Serving);
    }
}
