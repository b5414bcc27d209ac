// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Slow attempts: attempts that took longer than their hedging delay, or whose path was cut, and
//! that continue beside their hedge. The first successful answer is used.
//!
//! A slow attempt is not cancelled when its hedge is sent. A cancel would discard a run that may be
//! about to complete, and the request would start over.

use std::future::poll_fn;
use std::task::{Context, Poll};

use basaltarch_core::outcome::FailureOutcome;
use basaltarch_peer::protocol::AnswerHead;
use basaltarch_peer::stream::StreamEvent;

use crate::ingress::attempt::AttemptStart;
use crate::ingress::dispatch::LiveExchange;
use crate::wire;

/// `SlowAttempt` is an attempt that still runs beside its hedge.
pub struct SlowAttempt {
    /// Number, upstream and start of the attempt.
    pub start: AttemptStart,
    /// Exchange of the attempt; dropping the exchange cancels the request at the host.
    pub live: LiveExchange,
}

/// `SlowAttempts` are the slow attempts at one request.
#[derive(Default)]
pub struct SlowAttempts {
    attempts: Vec<SlowAttempt>,
    /// Whether an attempt that has ended may have run the request.
    ended_after_run: bool,
}

impl SlowAttempts {
    /// Adds an attempt for which a hedge is sent.
    pub fn push(&mut self, attempt: SlowAttempt) {
        self.attempts.push(attempt);
    }

    /// Says whether no slow attempt is running.
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Says whether any of the attempts may have run the request: it still runs, or it ended in
    /// another way than by the refusal of its host.
    pub fn may_have_run(&self) -> bool {
        self.ended_after_run || !self.attempts.is_empty()
    }

    /// Waits until one of the attempts answers successfully; never returns if no attempt succeeds.
    /// Attempts that fail are dropped.
    pub async fn next_success(&mut self) -> (SlowAttempt, AnswerHead) {
        poll_fn(|context| self.poll_success(context)).await
    }

    /// Waits until one of the attempts answers successfully; returns `None` once all attempts have
    /// failed.
    pub async fn next_success_if_any(&mut self) -> Option<(SlowAttempt, AnswerHead)> {
        poll_fn(|context| match self.poll_success(context) {
            Poll::Ready(next_success) => Poll::Ready(Some(next_success)),
            Poll::Pending if self.attempts.is_empty() => Poll::Ready(None),
            Poll::Pending => Poll::Pending,
        })
        .await
    }

    fn poll_success(&mut self, context: &mut Context<'_>) -> Poll<(SlowAttempt, AnswerHead)> {
        let mut index = 0;
        while let Some(attempt) = self.attempts.get_mut(index) {
            let LiveExchange { exchange, upload, .. } = &mut attempt.live;
            // The end of an exchange that takes no more of the body shows in its answer.
            let _ = upload.poll_due(&exchange.body, context);
            match exchange.answer.poll_next(context) {
                Poll::Pending => index += 1,
                Poll::Ready(StreamEvent::Head(head)) if is_success(&head) => {
                    return Poll::Ready((self.attempts.swap_remove(index), head));
                }
                Poll::Ready(event) => {
                    self.ended_after_run |= !is_refusal(&event);
                    drop(self.attempts.swap_remove(index));
                }
            }
        }
        Poll::Pending
    }
}

/// Says whether an attempt ended with its host's word that the request did not run.
fn is_refusal(event: &StreamEvent) -> bool {
    let outcome = match event {
        StreamEvent::Failed(failure) => FailureOutcome::from_wire(failure.outcome),
        _ => return false,
    };
    matches!(outcome, FailureOutcome::NotRun(_))
}

fn is_success(head: &AnswerHead) -> bool {
    !wire::is_server_error(head.status as u16)
}
