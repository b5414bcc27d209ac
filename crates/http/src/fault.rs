// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The fault of a connection, which both of its halves share.
//!
//! The system reports a broken connection once, to the read or the write that comes first. A later
//! read returns no bytes, as at the orderly end of a connection.

use std::cell::Cell;
use std::io::{self, ErrorKind};
use std::rc::Rc;

use crate::errors::{self, HttpError};

/// `ConnectionFault` says whether a read or a write has found the connection broken.
#[derive(Debug, Clone, Default)]
pub struct ConnectionFault(Rc<Cell<bool>>);

impl ConnectionFault {
    /// Notes the error of a read.
    pub fn note_read(&self, _error: &io::Error) {
        self.0.set(true);
    }

    /// Notes the error of a write.
    pub fn note_write(&self, error: &io::Error) {
        // The system reports a broken pipe in place of a reset if the peer's direction had ended in
        // order before the reset, so everything that the peer sent has arrived.
        if error.kind() != ErrorKind::BrokenPipe {
            self.0.set(true);
        }
    }

    /// Returns an error if the end of the connection is no orderly end.
    ///
    /// # Errors
    ///
    /// Returns [`HttpError::Broken`] if an error was noted before.
    pub fn check_end(&self) -> Result<(), HttpError> {
        match self.0.get() {
            true => Err(errors::broken(ErrorKind::ConnectionReset.into())),
            false => Ok(()),
        }
    }
}
