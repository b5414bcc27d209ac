// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Waits for the first event of an attempt, while the rest of the request's body is sent.

use std::future::{self, Future};
use std::time::Duration;

use basaltarch_base::peers::PeerPath;
use basaltarch_core::outcome::{FailureOutcome, UnknownReason};
use basaltarch_decide::path::PathState;
use basaltarch_http::connection::HttpStream;
use basaltarch_http::errors::HttpError;
use basaltarch_http::reader::{ByteReader, HEAD_READ_BYTES};
use basaltarch_peer::protocol::{AnswerHead, LoadReport};
use basaltarch_peer::stream::{EventSink, StreamEvent};
use futures_util::{select_biased, FutureExt};
use monoio::io::OwnedReadHalf;
use monoio::net::TcpStream;

use crate::ingress::body::{BodyUpload, RequestBody, UploadEnd};
use crate::ingress::dispatch::LiveExchange;
use crate::ingress::request::CallerRequest;
use crate::ingress::slow_attempts::{SlowAttempt, SlowAttempts};
use crate::state::DaemonState;

/// Time for which an answer is awaited after the deadline. The host's daemon enforces the deadline
/// itself, so if nothing arrives from the host's daemon within this time, the path is at fault.
const DEADLINE_GRACE: Duration = Duration::from_millis(100);
/// Time between checks of the path of an attempt in flight.
const PATH_CHECK_EVERY: Duration = Duration::from_millis(150);
/// Size in bytes at which the buffer for pipelined requests counts as full while a request is
/// served. The rest waits on the connection.
pub const PIPELINE_BYTES_MAX: usize = 8 * 1024;

/// `CallerReader` reads what a caller sends on its connection.
pub type CallerReader = ByteReader<OwnedReadHalf<TcpStream>>;

/// `FirstEvent` is the first event of an attempt.
pub enum FirstEvent {
    /// The head of an answer.
    Head(AnswerHead),
    /// The attempt brings no answer.
    Failed(AttemptFailure),
    /// The attempt outlasted its hedging delay or its path was cut, and the retry budget allows a
    /// hedge.
    HedgeDue,
    /// An earlier, slow attempt was answered successfully.
    SlowAnswer(SlowAttempt, AnswerHead),
    /// The caller disconnected.
    CallerGone,
    /// The rest of the body is malformed or too large.
    BodyUnreadable(HttpError),
    /// The daemon stops, and no longer waits for an answer.
    Stopping,
}

/// `AttemptFailure` is how an attempt ended without an answer.
pub struct AttemptFailure {
    /// Outcome of the exchange.
    pub outcome: FailureOutcome,
    /// Load report of the host's daemon, if the daemon sent one at the end of the exchange.
    pub report: Option<LoadReport>,
    /// Whether the exchange has ended. If it was given up instead, its host may still hold the
    /// request, perhaps unread.
    pub is_exchange_over: bool,
}

impl AttemptFailure {
    fn of_ended(outcome: FailureOutcome, report: Option<LoadReport>) -> Self {
        Self { outcome, report, is_exchange_over: true }
    }
}

/// Waits for the head of the answer or the end of the exchange, and sends the body while waiting.
pub async fn first_event(
    state: &DaemonState,
    request: &CallerRequest,
    time_left: Duration,
    stream: &mut HttpStream,
    body: &mut RequestBody,
    live: &mut LiveExchange,
    slow: &mut SlowAttempts,
) -> FirstEvent {
    let LiveExchange { exchange, upload, path, hedging_delay, sent_guard, .. } = live;
    let answer = exchange.answer.clone();
    let mut event = std::pin::pin!(answer.next().fuse());
    let answer_wait = time_left + DEADLINE_GRACE;
    let mut deadline_timer = std::pin::pin!(monoio::time::sleep(answer_wait).fuse());
    let hedging_delay = hedging_delay.unwrap_or(answer_wait * 2);
    let mut hedging = std::pin::pin!(monoio::time::sleep(hedging_delay).fuse());
    let mut path_cut_event = std::pin::pin!(path_cut(state, path.as_deref()).fuse());
    let mut sending =
        std::pin::pin!(send_body(&mut stream.reader, body, upload, &exchange.body).fuse());
    let mut passed_in_suspend =
        std::pin::pin!(passed_while_suspended(state, request.deadline).fuse());
    let mut slow_answer = std::pin::pin!(slow.next_success().fuse());
    let mut stopping = std::pin::pin!(state.stop.giving_up.raised().fuse());
    loop {
        select_biased! {
            event = event => return first_event_of(event),
            (attempt, head) = slow_answer => return FirstEvent::SlowAnswer(attempt, head),
            end = sending => match end {
                SendEnd::Watched(WatchOutcome::BufferFull) => {}
                SendEnd::Watched(WatchOutcome::CallerGone) => return FirstEvent::CallerGone,
                SendEnd::BodyUnreadable(error) => return FirstEvent::BodyUnreadable(error),
            },
            () = deadline_timer => return timed_out_event(),
            () = passed_in_suspend => return timed_out_event(),
            () = stopping => return FirstEvent::Stopping,
            () = path_cut_event => if request.service.take_retry(state) {
                return FirstEvent::HedgeDue;
            },
            // A hedge that waits for its turn under a rate limit would take the turn of another
            // request.
            () = hedging => if sent_guard.has_alternative(state.now())
                && request.service.take_retry(state)
            {
                return FirstEvent::HedgeDue;
            },
        }
    }
}

/// Waits for `needed`, without which an attempt can't be sent; returns `None` if the caller
/// disconnects first. The request of a caller that has disconnected must not be sent: nobody reads
/// the answer, and a cancel that is sent after the request may arrive too late.
pub async fn unless_caller_gone<T>(
    stream: &mut HttpStream,
    needed: impl Future<Output = T>,
) -> Option<T> {
    let mut needed = std::pin::pin!(needed.fuse());
    let mut watching = std::pin::pin!(watch_caller(&mut stream.reader).fuse());
    loop {
        select_biased! {
            outcome = watching => match outcome {
                WatchOutcome::BufferFull => {}
                WatchOutcome::CallerGone => return None,
            },
            result = needed => return Some(result),
        }
    }
}

/// Waits for the answer of slow attempts when no further attempt is made; ends with `failure` if no
/// slow attempt succeeds.
pub async fn await_slow_answers(
    state: &DaemonState,
    time_left: Duration,
    stream: &mut HttpStream,
    slow: &mut SlowAttempts,
    failure: FailureOutcome,
) -> FirstEvent {
    let mut next_success = std::pin::pin!(slow.next_success_if_any().fuse());
    let answer_wait = time_left + DEADLINE_GRACE;
    let mut deadline_timer = std::pin::pin!(monoio::time::sleep(answer_wait).fuse());
    let mut passed_in_suspend =
        std::pin::pin!(passed_while_suspended(state, state.now() + time_left).fuse());
    let mut watching = std::pin::pin!(watch_caller(&mut stream.reader).fuse());
    let mut stopping = std::pin::pin!(state.stop.giving_up.raised().fuse());
    loop {
        select_biased! {
            next_success = next_success => return match next_success {
                Some((attempt, head)) => FirstEvent::SlowAnswer(attempt, head),
                None => FirstEvent::Failed(AttemptFailure::of_ended(failure, None)),
            },
            () = deadline_timer => return timed_out_event(),
            () = passed_in_suspend => return timed_out_event(),
            () = stopping => return FirstEvent::Stopping,
            outcome = watching => match outcome {
                WatchOutcome::BufferFull => {}
                WatchOutcome::CallerGone => return FirstEvent::CallerGone,
            },
        }
    }
}

/// Waits until this host has resumed from a suspend during which the deadline passed. Then waits
/// for [`DEADLINE_GRACE`] more, because the host's daemon may still report whether the request ran.
async fn passed_while_suspended(state: &DaemonState, deadline: Duration) {
    state.clock.passed_after_resume(deadline).await;
    monoio::time::sleep(DEADLINE_GRACE).await;
}

/// Waits until the path to the upstream's daemon is cut, if the attempt may be hedged on a cut
/// path; otherwise never returns.
async fn path_cut(state: &DaemonState, path: Option<&PeerPath>) {
    match path {
        Some(path) => loop {
            monoio::time::sleep(PATH_CHECK_EVERY).await;
            if path.state(state.now()) == PathState::Cut {
                return;
            }
        },
        None => future::pending().await,
    }
}

fn timed_out_event() -> FirstEvent {
    let outcome = FailureOutcome::Unknown(UnknownReason::TimedOut);
    FirstEvent::Failed(AttemptFailure { outcome, report: None, is_exchange_over: false })
}

fn first_event_of(event: StreamEvent) -> FirstEvent {
    match event {
        StreamEvent::Head(head) => FirstEvent::Head(head),
        StreamEvent::Failed(failure) => {
            let outcome = FailureOutcome::from_wire(failure.outcome);
            FirstEvent::Failed(AttemptFailure::of_ended(outcome, failure.report))
        }
        StreamEvent::Data(..) | StreamEvent::Cancelled | StreamEvent::Begin(_) => {
            let outcome = FailureOutcome::Unknown(UnknownReason::PeerLost);
            FirstEvent::Failed(AttemptFailure::of_ended(outcome, None))
        }
    }
}

/// `WatchOutcome` is why the caller's connection is no longer read.
enum WatchOutcome {
    /// The buffer for pipelined requests is full.
    BufferFull,
    /// The caller disconnected.
    CallerGone,
}

/// `SendEnd` is why the rest of a body is no longer sent, nor its caller watched.
enum SendEnd {
    /// The caller's connection is no longer read.
    Watched(WatchOutcome),
    /// The rest of the body is malformed or too large.
    BodyUnreadable(HttpError),
}

/// Sends the rest of the body, then waits until the caller disconnects.
async fn send_body(
    reader: &mut CallerReader,
    body: &mut RequestBody,
    upload: &mut BodyUpload,
    sink: &EventSink,
) -> SendEnd {
    match upload.run(body, reader, sink).await {
        UploadEnd::Unreadable(error @ (HttpError::BodyTooLarge { .. } | HttpError::BadChunk)) => {
            SendEnd::BodyUnreadable(error)
        }
        UploadEnd::Unreadable(_) => SendEnd::Watched(WatchOutcome::CallerGone),
        UploadEnd::Sent | UploadEnd::ExchangeEnded => SendEnd::Watched(watch_caller(reader).await),
    }
}

/// Sends the rest of the body while its answer is relayed, and waits until the caller disconnects. A
/// caller whose body can't be parsed still reads the answer.
pub async fn send_body_until_caller_gone(
    reader: &mut CallerReader,
    body: &mut RequestBody,
    upload: &mut BodyUpload,
    sink: &EventSink,
) {
    match upload.run(body, reader, sink).await {
        UploadEnd::Unreadable(error) if error.status().is_some() => future::pending().await,
        UploadEnd::Unreadable(_) => {}
        UploadEnd::Sent | UploadEnd::ExchangeEnded => wait_until_caller_gone(reader).await,
    }
}

/// Waits until the caller disconnects.
pub async fn wait_until_caller_gone(reader: &mut CallerReader) {
    match watch_caller(reader).await {
        WatchOutcome::CallerGone => {}
        // The buffer for pipelined requests is full, so a disconnect is noticed only when the
        // answer is written.
        WatchOutcome::BufferFull => future::pending().await,
    }
}

/// Waits until the caller disconnects, or the buffer for pipelined requests is full.
async fn watch_caller(reader: &mut CallerReader) -> WatchOutcome {
    loop {
        if reader.buffer.len() > PIPELINE_BYTES_MAX {
            return WatchOutcome::BufferFull;
        }
        match reader.fill(HEAD_READ_BYTES).await {
            Ok(count) if count > 0 => {}
            _ => return WatchOutcome::CallerGone,
        }
    }
}
