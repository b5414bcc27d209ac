// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! How far the two messages of an exchange have got on their connection.

use std::cell::Cell;

/// `MessageProgress` is how far one message of an exchange has got on its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum MessageProgress {
    /// No byte of the message was offered to the connection.
    #[default]
    Unsent,
    /// A part of the message passed, and the rest may follow.
    Partial,
    /// The whole message passed, to its end as its framing defines it.
    Whole,
    /// The message can't become whole: its connection or its sender failed within it.
    Broken,
}

impl MessageProgress {
    /// Returns the name of the progress in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Unsent => "unsent",
            Self::Partial => "partial",
            Self::Whole => "whole",
            Self::Broken => "broken",
        }
    }
}

/// `ExchangeProgress` holds how far both messages of an exchange have got. The request may still be
/// sent while its response arrives, so both are noted through a shared reference.
#[derive(Debug, Default)]
pub struct ExchangeProgress {
    request: Cell<MessageProgress>,
    response: Cell<MessageProgress>,
    is_last: Cell<bool>,
}

impl ExchangeProgress {
    /// Notes how far the request has got.
    pub fn note_request(&self, progress: MessageProgress) {
        self.request.set(progress);
    }

    /// Returns how far the request has got.
    pub fn request(&self) -> MessageProgress {
        self.request.get()
    }

    /// Notes how far the response has got.
    pub fn note_response(&self, progress: MessageProgress) {
        self.response.set(progress);
    }

    /// Notes that this exchange is the last on its connection.
    pub fn note_last(&self) {
        self.is_last.set(true);
    }

    /// Says whether the connection takes another request. While a part of the request is due, the
    /// server reads whatever follows as that part, even if it has responded (RFC 9112 section 9.3).
    pub fn leaves_connection_reusable(&self) -> bool {
        let is_whole = |message: &Cell<MessageProgress>| message.get() == MessageProgress::Whole;
        is_whole(&self.request) && is_whole(&self.response) && !self.is_last.get()
    }
}
