// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Attempts that were late, so that another was made beside them: whichever answers well first wins.
//!
//! Breaking a late attempt off would throw away work that may be about to end, and ask for it anew.

use std::future::poll_fn;
use std::task::{Context, Poll};

use basaltarch_peer::protocol::AnswerHead;
use basaltarch_peer::stream::StreamEvent;

use crate::ingress::attempt::AskedUpstream;
use crate::ingress::dispatch::LiveExchange;
use crate::wire;

/// `LateAttempt` is an attempt that still runs although another was made.
pub struct LateAttempt {
    /// Where and when it was made.
    pub asked: AskedUpstream,
    /// Its exchange; dropping it cancels the work.
    pub live: LiveExchange,
}

/// `LateAttempts` are the late attempts at one request.
#[derive(Default)]
pub struct LateAttempts {
    attempts: Vec<LateAttempt>,
}

impl LateAttempts {
    /// Takes in one more.
    pub fn push(&mut self, attempt: LateAttempt) {
        self.attempts.push(attempt);
    }

    /// Says whether there are none.
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Waits until one of them answers well, for ever if none does; those that end badly are dropped.
    pub async fn answered(&mut self) -> (LateAttempt, AnswerHead) {
        poll_fn(|context| self.poll_answered(context)).await
    }

    /// Waits until one answers well, or gives nothing once all ended badly.
    pub async fn last_answered(&mut self) -> Option<(LateAttempt, AnswerHead)> {
        poll_fn(|context| match self.poll_answered(context) {
            Poll::Ready(answered) => Poll::Ready(Some(answered)),
            Poll::Pending if self.attempts.is_empty() => Poll::Ready(None),
            Poll::Pending => Poll::Pending,
        })
        .await
    }

    fn poll_answered(&mut self, context: &mut Context<'_>) -> Poll<(LateAttempt, AnswerHead)> {
        let mut index = 0;
        while let Some(attempt) = self.attempts.get(index) {
            match attempt.live.exchange.answer.poll_next(context) {
                Poll::Pending => index += 1,
                Poll::Ready(StreamEvent::Head(head)) if is_good(&head) => {
                    return Poll::Ready((self.attempts.swap_remove(index), head));
                }
                Poll::Ready(_) => drop(self.attempts.swap_remove(index)),
            }
        }
        Poll::Pending
    }
}

fn is_good(head: &AnswerHead) -> bool {
    !wire::is_server_error(head.status as u16)
}
