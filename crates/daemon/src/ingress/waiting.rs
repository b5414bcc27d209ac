// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Waits for the first thing that an attempt brings, while the rest of the request is sent.

use std::future::{self, Future};
use std::time::Duration;

use basaltarch_core::outcome::{FailureOutcome, UnknownReason};
use basaltarch_decide::path::PathState;
use basaltarch_http::body::BodyReader;
use basaltarch_http::connection::HttpStream;
use basaltarch_http::reader::HEAD_READ_BYTES;
use basaltarch_peer::protocol::{AnswerHead, LoadReport};
use basaltarch_peer::stream::StreamEvent;
use bytes::Bytes;
use futures_util::{select_biased, FutureExt};

use crate::ingress::dispatch::LiveExchange;
use crate::ingress::late::{LateAttempt, LateAttempts};
use crate::ingress::request::CallerRequest;
use crate::state::DaemonState;

/// Time that the answer may take beyond the deadline given to the host's daemon, which times the
/// work out itself; after it the path is at fault.
const DEADLINE_GRACE: Duration = Duration::from_millis(100);
/// Time between looks at the path of work that is waited for.
const PATH_LOOK: Duration = Duration::from_millis(150);
/// Bytes of further requests that are read while one is served.
const PIPELINE_BYTES_MAX: usize = 64 * 1024;

/// `FirstEvent` is the first thing that an attempt brought.
pub enum FirstEvent {
    /// The head of an answer.
    Head(AnswerHead),
    /// The end of the exchange without an answer, and what the host's daemon reported with it.
    Failed(FailureOutcome, Option<LoadReport>),
    /// The attempt is late, and the budget pays for another beside it.
    Late,
    /// An earlier attempt that was late answered well.
    Overtaken(LateAttempt, AnswerHead),
    /// The caller went away.
    CallerGone,
    /// The daemon ends before an answer can be waited for.
    Stopping,
}

/// Waits for the head of the answer or the end of the exchange, sending the body meanwhile.
pub async fn first_event(
    state: &DaemonState,
    request: &CallerRequest,
    left: Duration,
    stream: &mut HttpStream,
    body: &mut BodyReader,
    live: &LiveExchange,
    earlier: &mut LateAttempts,
) -> FirstEvent {
    let answer = live.exchange.answer.clone();
    let mut event = std::pin::pin!(answer.next().fuse());
    let wait = left + DEADLINE_GRACE;
    let mut late = std::pin::pin!(monoio::time::sleep(wait).fuse());
    let hedge = live.hedge.filter(|_| body.is_done()).unwrap_or(wait * 2);
    let mut patient = std::pin::pin!(monoio::time::sleep(hedge).fuse());
    let mut cut = std::pin::pin!(path_cut(state, live).fuse());
    let mut sending = std::pin::pin!(send_body(stream, body, live).fuse());
    let mut slept = std::pin::pin!(passed_asleep(state, request.deadline).fuse());
    let mut overtaking = std::pin::pin!(earlier.answered().fuse());
    let mut stopping = std::pin::pin!(state.stop.giving_up.raised().fuse());
    loop {
        select_biased! {
            event = event => return first_of(event),
            (late, head) = overtaking => return FirstEvent::Overtaken(late, head),
            outcome = sending => match outcome {
                SendEnd::Done => {}
                SendEnd::CallerGone => return FirstEvent::CallerGone,
            },
            () = late => return timed_out(),
            () = slept => return timed_out(),
            () = stopping => return FirstEvent::Stopping,
            () = cut => if request.service.take_repeat(state) {
                return FirstEvent::Late;
            },
            () = patient => if request.service.take_repeat(state) {
                return FirstEvent::Late;
            },
        }
    }
}

/// Waits for what an attempt needs before it can be sent, unless the caller goes away: work whose caller has
/// left is of use to nobody, and once it is sent its cancel may come too late. Gives nothing then.
pub async fn unless_gone<T>(stream: &mut HttpStream, needed: impl Future<Output = T>) -> Option<T> {
    let mut needed = std::pin::pin!(needed.fuse());
    let mut watching = std::pin::pin!(watch_caller(stream).fuse());
    loop {
        select_biased! {
            outcome = watching => match outcome {
                SendEnd::Done => {}
                SendEnd::CallerGone => return None,
            },
            result = needed => return Some(result),
        }
    }
}

/// Waits for the answer of attempts that were late, when no other is made any longer; gives the end
/// that `failure` is if none of them answers well.
pub async fn last_event(
    state: &DaemonState,
    left: Duration,
    stream: &mut HttpStream,
    earlier: &mut LateAttempts,
    failure: FailureOutcome,
) -> FirstEvent {
    let mut answered = std::pin::pin!(earlier.last_answered().fuse());
    let wait = left + DEADLINE_GRACE;
    let mut late = std::pin::pin!(monoio::time::sleep(wait).fuse());
    let mut slept = std::pin::pin!(passed_asleep(state, state.now() + left).fuse());
    let mut watching = std::pin::pin!(watch_caller(stream).fuse());
    let mut stopping = std::pin::pin!(state.stop.giving_up.raised().fuse());
    loop {
        select_biased! {
            answered = answered => return match answered {
                Some((late, head)) => FirstEvent::Overtaken(late, head),
                None => FirstEvent::Failed(failure, None),
            },
            () = late => return timed_out(),
            () = slept => return timed_out(),
            () = stopping => return FirstEvent::Stopping,
            outcome = watching => match outcome {
                SendEnd::Done => {}
                SendEnd::CallerGone => return FirstEvent::CallerGone,
            },
        }
    }
}

/// Waits until the host has woken from a sleep in which the deadline passed, and as long for the word of the
/// host's daemon as after one that passes awake: it knows whether the work ran.
async fn passed_asleep(state: &DaemonState, deadline: Duration) {
    state.clock.passed(deadline).await;
    monoio::time::sleep(DEADLINE_GRACE).await;
}

/// Waits until the path to the upstream's daemon is cut, for work that may then be sent elsewhere.
async fn path_cut(state: &DaemonState, live: &LiveExchange) {
    match &live.path {
        Some(path) => loop {
            monoio::time::sleep(PATH_LOOK).await;
            if path.state(state.now()) == PathState::Cut {
                return;
            }
        },
        None => future::pending().await,
    }
}

fn timed_out() -> FirstEvent {
    FirstEvent::Failed(FailureOutcome::Unknown(UnknownReason::TimedOut), None)
}

fn first_of(event: StreamEvent) -> FirstEvent {
    match event {
        StreamEvent::Head(head) => FirstEvent::Head(head),
        StreamEvent::Failed(failure) => {
            let outcome = FailureOutcome::from_wire(failure.outcome);
            FirstEvent::Failed(outcome, failure.report)
        }
        StreamEvent::Data(..) | StreamEvent::Cancelled | StreamEvent::Begin(_) => {
            FirstEvent::Failed(FailureOutcome::Unknown(UnknownReason::PeerLost), None)
        }
    }
}

enum SendEnd {
    Done,
    CallerGone,
}

/// Sends the rest of the body, then watches whether the caller goes away.
async fn send_body(stream: &mut HttpStream, body: &mut BodyReader, live: &LiveExchange) -> SendEnd {
    let sink = &live.exchange.body;
    if let Some(prefix) = &live.withheld {
        let last = body.is_done();
        let sent = match sink.ready().await {
            Ok(()) => sink.send(StreamEvent::Data(prefix.clone(), last)).await,
            Err(gone) => Err(gone),
        };
        if sent.is_err() {
            return watch_caller(stream).await;
        }
    }
    while !body.is_done() {
        // Nothing is read before the host's daemon has started the work, so that what a refusal
        // leaves unread can go to another upstream.
        if sink.ready().await.is_err() {
            break;
        }
        let data = match body.next(&mut stream.reader).await {
            Ok(Some(data)) => data,
            Ok(None) => Bytes::new(),
            Err(_) => return SendEnd::CallerGone,
        };
        let last = body.is_done();
        if sink.send(StreamEvent::Data(data, last)).await.is_err() {
            break;
        }
    }
    watch_caller(stream).await
}

/// Waits until the caller goes away.
pub async fn caller_gone(stream: &mut HttpStream) {
    match watch_caller(stream).await {
        SendEnd::CallerGone => {}
        // More was sent than is kept for later: whether the caller is there shows at its answer.
        SendEnd::Done => future::pending().await,
    }
}

/// Waits until the caller goes away; further requests are kept for later.
async fn watch_caller(stream: &mut HttpStream) -> SendEnd {
    loop {
        if stream.reader.buffer.len() > PIPELINE_BYTES_MAX {
            return SendEnd::Done;
        }
        match stream.reader.fill(HEAD_READ_BYTES).await {
            Ok(count) if count > 0 => {}
            _ => return SendEnd::CallerGone,
        }
    }
}
