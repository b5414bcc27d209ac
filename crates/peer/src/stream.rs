// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The two directions of an exchange, within a process and over a link.
//!
//! Each direction has a flow-control window: a sender waits once that many body bytes are in
//! flight, until the receiver has consumed some of them.

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

/// Body bytes that may be in flight in one direction of one exchange: 64 KiB sustains 20 MB/s over
/// the 3 ms round trip between failure domains.
pub const WINDOW_BYTES: usize = 64 * units::KIB;
/// Credit by which a host offers a slot to a reservation.
const OFFER_CREDIT: usize = 1;
/// Consumed bytes after which credit is returned; half a window keeps the sender busy.
const CREDIT_STEP: usize = WINDOW_BYTES / 2;

/// `StreamEvent` is one event in one direction of an exchange.
#[derive(Debug, Clone, PartialEq)]
pub enum StreamEvent {
    /// The head of an answer.
    Head(AnswerHead),
    /// The request of a reservation that was offered a slot.
    Begin(Box<DispatchHead>),
    /// Body bytes and whether they are the last, which may be empty.
    Data(Bytes, bool),
    /// The exchange ended without a complete answer.
    Failed(ExchangeFailure),
    /// The ingress cancelled the exchange.
    Cancelled,
}

/// `StreamGone` says that the other end of a stream has closed it.
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
    cancel_watcher: Option<Waker>,
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
    /// Builds a pipe; `on_consumed` gets counts of consumed bytes, to return credit over a link.
    pub fn new(on_consumed: Option<ConsumedHook>) -> Self {
        let state = PipeState {
            events: VecDeque::new(),
            queued_bytes: 0,
            consumed: 0,
            reader_gone: false,
            cancelled: false,
            shut: false,
            reader: None,
            cancel_watcher: None,
            writer: None,
            on_consumed,
        };
        Self { state: RefCell::new(state) }
    }

    /// Blocks senders of body bytes until [`Self::open_window`].
    pub fn shut_window(&self) {
        self.state.borrow_mut().shut = true;
    }

    /// Grants senders the first window of body bytes.
    pub fn open_window(&self) {
        let mut state = self.state.borrow_mut();
        state.shut = false;
        wake(&mut state.writer);
        if let Some(hook) = &state.on_consumed {
            hook(WINDOW_BYTES);
        }
    }

    /// Offers a slot to a reservation: its sender becomes ready and sends [`StreamEvent::Begin`].
    pub fn offer_slot(&self) {
        let mut state = self.state.borrow_mut();
        state.shut = false;
        wake(&mut state.writer);
        if let Some(hook) = &state.on_consumed {
            hook(OFFER_CREDIT);
        }
    }

    /// Waits until body bytes may be sent.
    pub async fn ready(&self) -> Result<(), StreamGone> {
        poll_fn(|context| self.poll_room(context)).await
    }

    /// Adds an event without waiting for the window.
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
            wake(&mut state.cancel_watcher);
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

    /// Waits for the next event and removes it.
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

    /// Waits until the other side has cancelled or failed the exchange; removes no event.
    pub async fn cancelled(&self) {
        poll_fn(|context| {
            let mut state = self.state.borrow_mut();
            if state.cancelled {
                return Poll::Ready(());
            }
            state.cancel_watcher = Some(context.waker().clone());
            Poll::Pending
        })
        .await
    }

    /// Closes the receiving end: senders fail with [`StreamGone`] and queued events are dropped.
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

fn wake(registered: &mut Option<Waker>) {
    if let Some(waker) = registered.take() {
        waker.wake();
    }
}

#[derive(Debug)]
struct CreditState {
    left: i64,
    closed: bool,
    waiter: Option<Waker>,
}

/// `SendCredit` counts the body bytes that may still be sent in one direction of one exchange.
#[derive(Debug)]
pub struct SendCredit {
    state: RefCell<CreditState>,
}

impl SendCredit {
    /// Builds the credit of an answer: a whole window from the start.
    pub fn of_answer() -> Self {
        Self::new(WINDOW_BYTES as i64)
    }

    /// Builds the credit of a request: none until the host's daemon starts the request, so that the
    /// rest of the body of a refused request is never sent.
    pub fn of_request() -> Self {
        Self::new(0)
    }

    fn new(left: i64) -> Self {
        let state = CreditState { left, closed: false, waiter: None };
        Self { state: RefCell::new(state) }
    }

    /// Adds credit granted by the receiver.
    pub fn add(&self, bytes: i32) {
        let mut state = self.state.borrow_mut();
        state.left += i64::from(bytes.max(0));
        wake(&mut state.waiter);
    }

    /// Closes the stream; a sender that waits for credit fails with [`StreamGone`].
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
        // An empty last chunk needs no credit.
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
    /// Send queue of the link.
    pub sender: FrameSender,
    /// Credit left for body bytes.
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

    /// Sends the request of a reservation that was offered a slot; unlike body bytes, it does not
    /// wait for the window.
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

/// Builds the pipe of a direction received over a link, which returns credit as it is read.
pub fn remote_pipe(exchange: i64, sender: &FrameSender) -> EventPipe {
    let sender = sender.clone();
    EventPipe::new(Some(Box::new(move |bytes| {
        let grant = CreditGrant { bytes: bytes as i32 };
        // A closed link ends the exchange anyway, so that its credit no longer matters.
        let _ = sender.send(exchange, FrameBody::Credit(grant));
    })))
}
