// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! An account of the bytes that a process holds for its clients.
//!
//! Connections alone don't bound memory: each may bring a body of lawful size. Whoever is about to
//! hold bytes for a client takes them from the account first, and does without them, or refuses the
//! client, if the budget is used up.

use std::cell::Cell;
use std::rc::Rc;

use snafu::Snafu;

/// `AccountFull` is the error of taking more bytes than the budget has left.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("the memory for what clients send is used up"))]
pub struct AccountFull;

/// Divisor of the budget that yields what is kept for bytes that can't be refused.
const RESERVE_DIVISOR: u64 = 4;

/// `ByteAccount` counts the bytes that are held, up to a budget. A part of the budget is a reserve for
/// bytes that are there already, such as answers. Clones share the count.
#[derive(Debug, Clone)]
pub struct ByteAccount(Rc<AccountState>);

#[derive(Debug)]
struct AccountState {
    budget_bytes: u64,
    held_bytes: Cell<u64>,
}

impl Default for ByteAccount {
    /// Builds an account without a bound.
    fn default() -> Self {
        Self::new(u64::MAX)
    }
}

impl ByteAccount {
    /// Builds an account of at most `budget_bytes`.
    pub fn new(budget_bytes: u64) -> Self {
        Self(Rc::new(AccountState { budget_bytes, held_bytes: Cell::new(0) }))
    }

    /// Returns the number of bytes that are held.
    pub fn held_bytes(&self) -> u64 {
        self.0.held_bytes.get()
    }

    /// Says whether more bytes are held than the budget allows.
    pub fn is_exceeded(&self) -> bool {
        self.held_bytes() > self.0.budget_bytes
    }

    /// Returns the number of bytes that may be held without the reserve.
    fn refusable_bytes(&self) -> u64 {
        self.0.budget_bytes - self.0.budget_bytes / RESERVE_DIVISOR
    }

    /// Returns a hold on no bytes.
    pub fn open_hold(&self) -> ByteHold {
        ByteHold { account: self.clone(), bytes: 0 }
    }
}

/// `ByteHold` is what one holder has taken from an account. Dropping the hold gives the bytes back.
#[derive(Debug)]
pub struct ByteHold {
    account: ByteAccount,
    bytes: u64,
}

impl ByteHold {
    /// Returns the number of bytes of this hold.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Takes bytes until the hold has at least `bytes`.
    ///
    /// # Errors
    ///
    /// Returns [`AccountFull`] if the budget without its reserve has too few left; the hold stays as
    /// it was.
    pub fn try_reach(&mut self, bytes: u64) -> Result<(), AccountFull> {
        let missing_bytes = bytes.saturating_sub(self.bytes);
        let held_bytes = self.account.held_bytes().saturating_add(missing_bytes);
        if missing_bytes > 0 && held_bytes > self.account.refusable_bytes() {
            return Err(AccountFull);
        }
        self.set(self.bytes + missing_bytes);
        Ok(())
    }

    /// Sets the bytes of this hold, for bytes that are held already; may exceed the budget.
    pub fn set(&mut self, bytes: u64) {
        let held_bytes = &self.account.0.held_bytes;
        held_bytes.set(held_bytes.get() - self.bytes + bytes);
        self.bytes = bytes;
    }
}

impl Drop for ByteHold {
    fn drop(&mut self) {
        self.set(0);
    }
}
