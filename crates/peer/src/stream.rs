// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The two directions of an exchange, within a process and over a link.
//!
//! Each direction has a window: a sender waits once that many body bytes are on their way, until
//! the receiver has passed some on.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

use basaltarch_core::units;
use bytes::Bytes;

use crate::frames::{FrameSender, CHUNK_BYTES_MAX};
use crate::protocol::{
    AnswerHead, BodyChunk, CancelNotice, CreditGrant, DispatchHead, ExchangeFailure, FrameBody,
};

/// Body bytes that may be on their way in one direction of one exchange: 64 KiB keeps 20 MB/s
/// going over the 3 ms round trip between failure domains.
pub const WINDOW_BYTES: usize = 64 * units::KIB;
/// Credit that calls work in.
const CALL_CREDIT: usize = 1;
/// Consumed bytes after which credit is given back; half a window keeps the sender busy.
const CREDIT_STEP: usize = WINDOW_BYTES / 2;

/// `StreamEvent` is one step of one direction of an exchange.
#[derive(Debug, Clone, PartialEq)]
pub enum StreamEvent {
    /// The head of an answer.
    Head(AnswerHead),
    /// The work that was called in.
    Begin(Box<DispatchHead>),
    /// Body bytes, the last ones if so marked; the last may be empty.
    Data(Bytes, bool),
    /// The exchange ended without a complete answer.
    Failed(ExchangeFailure),
    /// The ingress gave the exchange up.
    Cancelled,
}

/// `StreamGone` says that the other end of a stream is no longer there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamGone;

type ConsumedHook = Box<dyn Fn(usize)>;

struct PipeState {
    events: VecDeque<StreamEvent>,
    queued_bytes: usize,
    consumed: usize,
    reader_gone: bool,
    cancelled: bool,
    shut: bool,
    reader: Option<Waker>,
    canceller: Option<Waker>,
    writer: Option<Waker>,
    on_consumed: Option<ConsumedHook>,
}

/// `EventPipe` is the receiving end of one direction of an exchange.
pub struct EventPipe {
    state: RefCell<PipeState>,
}

impl Default for EventPipe {
    fn default() -> Self {
        Self::new(None)
    }
}

impl EventPipe {
    /// Builds a pipe; `on_consumed` is told of consumed bytes, to give credit over a link.
    pub fn new(on_consumed: Option<ConsumedHook>) -> Self {
        let state = PipeState {
            events: VecDeque::new(),
            queued_bytes: 0,
            consumed: 0,
            reader_gone: false,
            cancelled: false,
            shut: false,
            reader: None,
            canceller: None,
            writer: None,
            on_consumed,
        };
        Self { state: RefCell::new(state) }
    }

    /// Keeps senders of body bytes waiting until [`Self::open_window`].
    pub fn shut_window(&self) {
        self.state.borrow_mut().shut = true;
    }

    /// Lets senders send the first window of body bytes.
    pub fn open_window(&self) {
        let mut state = self.state.borrow_mut();
        state.shut = false;
        wake(&mut state.writer);
        if let Some(hook) = &state.on_consumed {
            hook(WINDOW_BYTES);
        }
    }

    /// Calls work in that holds a place: its sender is ready from now on, and sends [`StreamEvent::Begin`].
    pub fn call_in(&self) {
        let mut state = self.state.borrow_mut();
        state.shut = false;
        wake(&mut state.writer);
        if let Some(hook) = &state.on_consumed {
            hook(CALL_CREDIT);
        }
    }

    /// Waits until body bytes may be sent.
    pub async fn ready(&self) -> Result<(), StreamGone> {
        poll_fn(|context| self.poll_room(context)).await
    }

    /// Adds an event without waiting for room.
    pub fn push(&self, event: StreamEvent) -> Result<(), StreamGone> {
        let mut state = self.state.borrow_mut();
        if state.reader_gone {
            return Err(StreamGone);
        }
        if let StreamEvent::Data(data, _) = &event {
            state.queued_bytes += data.len();
        }
        if matches!(event, StreamEvent::Cancelled | StreamEvent::Failed(_)) {
            state.cancelled = true;
            wake(&mut state.canceller);
        }
        state.events.push_back(event);
        wake(&mut state.reader);
        Ok(())
    }

    /// Adds an event once the window has room for it.
    pub async fn send(&self, event: StreamEvent) -> Result<(), StreamGone> {
        if matches!(event, StreamEvent::Data(..)) {
            poll_fn(|context| self.poll_room(context)).await?;
        }
        self.push(event)
    }

    fn poll_room(&self, context: &mut Context<'_>) -> Poll<Result<(), StreamGone>> {
        let mut state = self.state.borrow_mut();
        if state.reader_gone {
            return Poll::Ready(Err(StreamGone));
        }
        if state.queued_bytes < WINDOW_BYTES && !state.shut {
            return Poll::Ready(Ok(()));
        }
        state.writer = Some(context.waker().clone());
        Poll::Pending
    }

    /// Takes the next event.
    pub async fn next(&self) -> StreamEvent {
        poll_fn(|context| self.poll_next(context)).await
    }

    /// Polls for the next event.
    pub fn poll_next(&self, context: &mut Context<'_>) -> Poll<StreamEvent> {
        let mut state = self.state.borrow_mut();
        let event = match state.events.pop_front() {
            Some(event) => event,
            None => {
                state.reader = Some(context.waker().clone());
                return Poll::Pending;
            }
        };
        if let StreamEvent::Data(data, last) = &event {
            state.note_consumed(data.len(), *last);
        }
        Poll::Ready(event)
    }

    /// Waits until the other side has cancelled or failed the exchange; events stay in the pipe.
    pub async fn cancelled(&self) {
        poll_fn(|context| {
            let mut state = self.state.borrow_mut();
            if state.cancelled {
                return Poll::Ready(());
            }
            state.canceller = Some(context.waker().clone());
            Poll::Pending
        })
        .await
    }

    /// Marks the receiving end as gone; senders are told and queued events dropped.
    pub fn close(&self) {
        let mut state = self.state.borrow_mut();
        state.reader_gone = true;
        state.events.clear();
        state.queued_bytes = 0;
        wake(&mut state.writer);
    }
}

impl PipeState {
    fn note_consumed(&mut self, bytes: usize, last: bool) {
        self.queued_bytes -= bytes;
        wake(&mut self.writer);
        self.consumed += bytes;
        if last || self.consumed < CREDIT_STEP {
            return;
        }
        if let Some(hook) = &self.on_consumed {
            hook(self.consumed);
        }
        self.consumed = 0;
    }
}

fn wake(place: &mut Option<Waker>) {
    if let Some(waker) = place.take() {
        waker.wake();
    }
}

#[derive(Debug)]
struct CreditState {
    left: i64,
    closed: bool,
    waiter: Option<Waker>,
}

/// `SendCredit` is what may still be sent in one direction of one exchange.
#[derive(Debug)]
pub struct SendCredit {
    state: RefCell<CreditState>,
}

impl SendCredit {
    /// Builds the credit of an answer: a whole window at once.
    pub fn of_answer() -> Self {
        Self::new(WINDOW_BYTES as i64)
    }

    /// Builds the credit of a request: nothing until the host's daemon starts the work, so that
    /// what a refused request still has to send was never sent.
    pub fn of_request() -> Self {
        Self::new(0)
    }

    fn new(left: i64) -> Self {
        let state = CreditState { left, closed: false, waiter: None };
        Self { state: RefCell::new(state) }
    }

    /// Adds credit that the receiver gave.
    pub fn add(&self, bytes: i32) {
        let mut state = self.state.borrow_mut();
        state.left += i64::from(bytes.max(0));
        wake(&mut state.waiter);
    }

    /// Ends the stream; whoever waits for credit is told.
    pub fn close(&self) {
        let mut state = self.state.borrow_mut();
        state.closed = true;
        wake(&mut state.waiter);
    }

    /// Waits until body bytes may be sent.
    pub async fn ready(&self) -> Result<(), StreamGone> {
        self.take(0, false).await
    }

    async fn take(&self, bytes: usize, last: bool) -> Result<(), StreamGone> {
        poll_fn(|context| self.poll_take(bytes, last, context)).await
    }

    fn poll_take(
        &self,
        bytes: usize,
        last: bool,
        context: &mut Context<'_>,
    ) -> Poll<Result<(), StreamGone>> {
        let mut state = self.state.borrow_mut();
        if state.closed {
            return Poll::Ready(Err(StreamGone));
        }
        // The end of a body needs no window of its own.
        if state.left > 0 || (bytes == 0 && last) {
            state.left -= bytes as i64;
            return Poll::Ready(Ok(()));
        }
        state.waiter = Some(context.waker().clone());
        Poll::Pending
    }
}

/// `RemoteSink` is the sending end of one direction of an exchange over a link.
#[derive(Debug, Clone)]
pub struct RemoteSink {
    /// Number of the exchange on its link.
    pub exchange: i64,
    /// Queue of the link.
    pub sender: FrameSender,
    /// What may still be sent.
    pub credit: Rc<SendCredit>,
}

impl RemoteSink {
    async fn send(&self, event: StreamEvent) -> Result<(), StreamGone> {
        match event {
            StreamEvent::Head(head) => self.post(FrameBody::Answer(head)),
            StreamEvent::Begin(head) => self.post(FrameBody::CalledIn(*head)),
            StreamEvent::Failed(failure) => self.post(FrameBody::Failure(failure)),
            StreamEvent::Cancelled => {
                self.post(FrameBody::Cancel(CancelNotice { caller_gone: true }))
            }
            StreamEvent::Data(data, last) => self.send_data(data, last).await,
        }
    }

    async fn send_data(&self, mut data: Bytes, last: bool) -> Result<(), StreamGone> {
        loop {
            let part = data.split_to(data.len().min(CHUNK_BYTES_MAX));
            self.credit.take(part.len(), last).await?;
            let chunk = BodyChunk { data: part.to_vec(), last: last && data.is_empty() };
            self.post(FrameBody::Chunk(chunk))?;
            if data.is_empty() {
                return Ok(());
            }
        }
    }

    fn post(&self, body: FrameBody) -> Result<(), StreamGone> {
        self.sender.send(self.exchange, body).map(drop).map_err(|_| StreamGone)
    }
}

/// `EventSink` is the sending end of one direction of an exchange.
#[derive(Clone)]
pub enum EventSink {
    /// The receiver is in this process.
    Local(Rc<EventPipe>),
    /// The receiver is at the other end of a link.
    Remote(RemoteSink),
}

impl EventSink {
    /// Waits until body bytes may be sent.
    pub async fn ready(&self) -> Result<(), StreamGone> {
        match self {
            Self::Local(pipe) => pipe.ready().await,
            Self::Remote(sink) => sink.credit.ready().await,
        }
    }

    /// Sends work that was called in; unlike body bytes it waits for no window.
    pub fn begin(&self, head: DispatchHead) -> Result<(), StreamGone> {
        match self {
            Self::Local(pipe) => pipe.push(StreamEvent::Begin(Box::new(head))),
            Self::Remote(sink) => sink.post(FrameBody::CalledIn(head)),
        }
    }

    /// Polls whether body bytes may be sent.
    pub fn poll_ready(&self, context: &mut Context<'_>) -> Poll<Result<(), StreamGone>> {
        match self {
            Self::Local(pipe) => pipe.poll_room(context),
            Self::Remote(sink) => sink.credit.poll_take(0, false, context),
        }
    }

    /// Sends an event; body bytes wait for the window.
    pub async fn send(&self, event: StreamEvent) -> Result<(), StreamGone> {
        match self {
            Self::Local(pipe) => pipe.send(event).await,
            Self::Remote(sink) => sink.send(event).await,
        }
    }
}

/// Builds the pipe of a direction that comes over a link and gives credit as it is read.
pub fn remote_pipe(exchange: i64, sender: &FrameSender) -> EventPipe {
    let sender = sender.clone();
    EventPipe::new(Some(Box::new(move |bytes| {
        let grant = CreditGrant { bytes: bytes as i32 };
        // A closed link ends the exchange by itself; there is nobody left to give credit to.
        let _ = sender.send(exchange, FrameBody::Credit(grant));
    })))
}
