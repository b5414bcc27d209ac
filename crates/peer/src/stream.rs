// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Streams the events of an exchange in its two directions, within a process and over a link.
//!
//! Each direction has a flow-control window: once a whole window of body bytes is in flight, the
//! sender waits until the receiver has consumed some of these bytes.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{ready, Context, Poll, Waker};

use basaltarch_core::units;
use bytes::{Bytes, BytesMut};

use crate::frames::{FrameSender, CHUNK_BYTES_MAX};
use crate::protocol::{
    AnswerHead, BodyChunk, CancelNotice, CreditGrant, DispatchHead, ExchangeFailure, FrameBody,
};

/// Body bytes that may be in flight in one direction of one exchange: 64 KiB sustains 20 MB/s over
/// the 3 ms round trip between failure domains.
pub const WINDOW_BYTES: usize = 64 * units::KIB;
/// Credit by which a host offers a slot to a reservation. One byte is enough to make the sender at
/// the ingress ready, and a ready sender sends the request.
const OFFER_CREDIT_BYTES: usize = 1;
/// Number of consumed bytes after which credit is returned; half a window keeps the sender busy.
const CREDIT_STEP_BYTES: usize = WINDOW_BYTES / 2;

/// Size in bytes up to which pieces of a body are merged while they wait. A piece takes more memory
/// than its bytes, so a window of tiny pieces would take many times its size.
const MERGED_BYTES_MAX: usize = 16 * units::KIB;

/// `StreamEvent` is one event in one direction of an exchange.
#[derive(Debug, Clone, PartialEq)]
pub enum StreamEvent {
    /// The head of an answer.
    Head(AnswerHead),
    /// The request of a reservation that was offered a slot.
    Begin(Box<DispatchHead>),
    /// A piece of the body, and whether this piece is the last. The last piece may be empty.
    Data(Bytes, bool),
    /// The exchange ended without a complete answer.
    Failed(ExchangeFailure),
    /// The ingress cancelled the exchange.
    Cancelled,
}

/// `StreamClosed` is the error of sending on a stream whose receiving end or link is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamClosed;

type ConsumedHook = Box<dyn Fn(usize)>;

struct PipeState {
    events: VecDeque<StreamEvent>,
    queued_bytes: usize,
    uncredited_bytes: usize,
    is_reader_closed: bool,
    cancelled: bool,
    is_window_shut: bool,
    reader_waker: Option<Waker>,
    cancel_waker: Option<Waker>,
    sender_waker: Option<Waker>,
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
    /// Builds a pipe; `on_consumed` gets the number of bytes to return as credit over a link.
    pub fn new(on_consumed: Option<ConsumedHook>) -> Self {
        let state = PipeState {
            events: VecDeque::new(),
            queued_bytes: 0,
            uncredited_bytes: 0,
            is_reader_closed: false,
            cancelled: false,
            is_window_shut: false,
            reader_waker: None,
            cancel_waker: None,
            sender_waker: None,
            on_consumed,
        };
        Self { state: RefCell::new(state) }
    }

    /// Blocks senders of body bytes until [`Self::open_window`] or [`Self::offer_slot`] is called.
    pub fn shut_window(&self) {
        self.state.borrow_mut().is_window_shut = true;
    }

    /// Grants senders the first window of body bytes.
    pub fn open_window(&self) {
        let mut state = self.state.borrow_mut();
        state.is_window_shut = false;
        wake(&mut state.sender_waker);
        if let Some(hook) = &state.on_consumed {
            hook(WINDOW_BYTES);
        }
    }

    /// Offers a slot to a reservation: the sink of the ingress becomes ready, and the ingress sends
    /// [`StreamEvent::Begin`].
    pub fn offer_slot(&self) {
        let mut state = self.state.borrow_mut();
        state.is_window_shut = false;
        wake(&mut state.sender_waker);
        if let Some(hook) = &state.on_consumed {
            hook(OFFER_CREDIT_BYTES);
        }
    }

    /// Waits until body bytes may be sent.
    pub async fn ready(&self) -> Result<(), StreamClosed> {
        poll_fn(|context| self.poll_room(context)).await
    }

    /// Adds an event without waiting for the window.
    pub fn push(&self, event: StreamEvent) -> Result<(), StreamClosed> {
        let mut state = self.state.borrow_mut();
        if state.is_reader_closed {
            return Err(StreamClosed);
        }
        if let StreamEvent::Data(data, _) = &event {
            state.queued_bytes += data.len();
        }
        if matches!(event, StreamEvent::Cancelled | StreamEvent::Failed(_)) {
            state.cancelled = true;
            wake(&mut state.cancel_waker);
        }
        state.push(event);
        wake(&mut state.reader_waker);
        Ok(())
    }

    /// Adds an event. A piece of the body waits until the window has room.
    pub async fn send(&self, event: StreamEvent) -> Result<(), StreamClosed> {
        if matches!(event, StreamEvent::Data(..)) {
            poll_fn(|context| self.poll_room(context)).await?;
        }
        self.push(event)
    }

    fn poll_room(&self, context: &mut Context<'_>) -> Poll<Result<(), StreamClosed>> {
        let mut state = self.state.borrow_mut();
        if state.is_reader_closed {
            return Poll::Ready(Err(StreamClosed));
        }
        if state.queued_bytes < WINDOW_BYTES && !state.is_window_shut {
            return Poll::Ready(Ok(()));
        }
        state.sender_waker = Some(context.waker().clone());
        Poll::Pending
    }

    /// Waits for the next event, removes it from the pipe and returns it.
    pub async fn next(&self) -> StreamEvent {
        poll_fn(|context| self.poll_next(context)).await
    }

    /// Polls for the next event.
    pub fn poll_next(&self, context: &mut Context<'_>) -> Poll<StreamEvent> {
        let mut state = self.state.borrow_mut();
        let event = match state.events.pop_front() {
            Some(event) => event,
            None => {
                state.reader_waker = Some(context.waker().clone());
                return Poll::Pending;
            }
        };
        if let StreamEvent::Data(data, last) = &event {
            state.record_consumed(data.len(), *last);
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
            state.cancel_waker = Some(context.waker().clone());
            Poll::Pending
        })
        .await
    }

    /// Closes the receiving end: senders fail with [`StreamClosed`] and queued events are dropped.
    pub fn close(&self) {
        let mut state = self.state.borrow_mut();
        state.is_reader_closed = true;
        state.events.clear();
        state.queued_bytes = 0;
        wake(&mut state.sender_waker);
    }
}

impl PipeState {
    /// Adds an event; merges a short piece of the body with the short piece in front of it.
    fn push(&mut self, event: StreamEvent) {
        let (data, last) = match event {
            StreamEvent::Data(data, last) if data.len() < MERGED_BYTES_MAX => (data, last),
            other => return self.events.push_back(other),
        };
        match self.events.back_mut() {
            Some(StreamEvent::Data(waiting, is_last))
                if !*is_last && waiting.len() + data.len() <= MERGED_BYTES_MAX =>
            {
                let mut merged = owned(std::mem::take(waiting));
                merged.extend_from_slice(&data);
                *waiting = merged.freeze();
                *is_last = last;
            }
            _ => self.events.push_back(StreamEvent::Data(data, last)),
        }
    }

    fn record_consumed(&mut self, bytes: usize, last: bool) {
        self.queued_bytes -= bytes;
        wake(&mut self.sender_waker);
        self.uncredited_bytes += bytes;
        if last || self.uncredited_bytes < CREDIT_STEP_BYTES {
            return;
        }
        if let Some(hook) = &self.on_consumed {
            hook(self.uncredited_bytes);
        }
        self.uncredited_bytes = 0;
    }
}

/// Returns the bytes for a change, copied only if something else holds them too.
fn owned(bytes: Bytes) -> BytesMut {
    bytes.try_into_mut().unwrap_or_else(|shared| BytesMut::from(&shared[..]))
}

fn wake(registered: &mut Option<Waker>) {
    if let Some(waker) = registered.take() {
        waker.wake();
    }
}

#[derive(Debug)]
struct CreditState {
    available_bytes: i64,
    is_closed: bool,
    sender_waker: Option<Waker>,
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

    fn new(available_bytes: i64) -> Self {
        let state = CreditState { available_bytes, is_closed: false, sender_waker: None };
        Self { state: RefCell::new(state) }
    }

    /// Adds credit granted by the receiver.
    pub fn add(&self, bytes: i32) {
        let mut state = self.state.borrow_mut();
        state.available_bytes += i64::from(bytes.max(0));
        wake(&mut state.sender_waker);
    }

    /// Takes the credit of an offered slot, so that body bytes wait for the window.
    fn use_offer(&self) {
        let mut state = self.state.borrow_mut();
        state.available_bytes = state.available_bytes.min(0);
    }

    /// Closes the stream; a sender that waits for credit fails with [`StreamClosed`].
    pub fn close(&self) {
        let mut state = self.state.borrow_mut();
        state.is_closed = true;
        wake(&mut state.sender_waker);
    }

    /// Waits until body bytes may be sent.
    pub async fn ready(&self) -> Result<(), StreamClosed> {
        poll_fn(|context| self.poll_take(0, false, context)).await
    }

    fn poll_take(
        &self,
        bytes: usize,
        last: bool,
        context: &mut Context<'_>,
    ) -> Poll<Result<(), StreamClosed>> {
        let mut state = self.state.borrow_mut();
        if state.is_closed {
            return Poll::Ready(Err(StreamClosed));
        }
        // An empty last chunk needs no credit.
        if state.available_bytes > 0 || (bytes == 0 && last) {
            state.available_bytes -= bytes as i64;
            return Poll::Ready(Ok(()));
        }
        state.sender_waker = Some(context.waker().clone());
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
    /// Credit for the body bytes that may still be sent.
    pub credit: Rc<SendCredit>,
}

impl RemoteSink {
    async fn send(&self, event: StreamEvent) -> Result<(), StreamClosed> {
        match event {
            StreamEvent::Head(head) => self.send_frame(FrameBody::Answer(head)),
            StreamEvent::Begin(head) => self.send_frame(FrameBody::CalledIn(*head)),
            StreamEvent::Failed(failure) => self.send_frame(FrameBody::Failure(failure)),
            StreamEvent::Cancelled => {
                self.send_frame(FrameBody::Cancel(CancelNotice { caller_gone: true }))
            }
            StreamEvent::Data(data, last) => self.send_data(data, last).await,
        }
    }

    async fn send_data(&self, mut data: Bytes, last: bool) -> Result<(), StreamClosed> {
        loop {
            poll_fn(|context| self.poll_send_part(&mut data, last, context)).await?;
            if data.is_empty() {
                return Ok(());
            }
        }
    }

    fn poll_send_part(
        &self,
        data: &mut Bytes,
        last: bool,
        context: &mut Context<'_>,
    ) -> Poll<Result<(), StreamClosed>> {
        let length = data.len().min(CHUNK_BYTES_MAX);
        let last = last && length == data.len();
        if ready!(self.credit.poll_take(length, last, context)).is_err() {
            return Poll::Ready(Err(StreamClosed));
        }
        let chunk = BodyChunk { data: data.split_to(length).to_vec(), last };
        Poll::Ready(self.send_frame(FrameBody::Chunk(chunk)))
    }

    fn send_frame(&self, body: FrameBody) -> Result<(), StreamClosed> {
        self.sender.send(self.exchange, body).map(drop).map_err(|_| StreamClosed)
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
    pub async fn ready(&self) -> Result<(), StreamClosed> {
        match self {
            Self::Local(pipe) => pipe.ready().await,
            Self::Remote(sink) => sink.credit.ready().await,
        }
    }

    /// Sends the request of a reservation that was offered a slot; unlike body bytes, the request
    /// does not wait for the window. The request uses the offer up: body bytes wait until the host
    /// opens the window, when the request has started.
    pub fn begin(&self, head: DispatchHead) -> Result<(), StreamClosed> {
        match self {
            Self::Local(pipe) => {
                pipe.shut_window();
                pipe.push(StreamEvent::Begin(Box::new(head)))
            }
            Self::Remote(sink) => {
                sink.credit.use_offer();
                sink.send_frame(FrameBody::CalledIn(head))
            }
        }
    }

    /// Polls whether body bytes may be sent.
    pub fn poll_ready(&self, context: &mut Context<'_>) -> Poll<Result<(), StreamClosed>> {
        match self {
            Self::Local(pipe) => pipe.poll_room(context),
            Self::Remote(sink) => sink.credit.poll_take(0, false, context),
        }
    }

    /// Polls to send the first part of `data`, which is removed from `data` when it is sent and not
    /// before. `last` says whether the body ends with `data`.
    pub fn poll_send_part(
        &self,
        data: &mut Bytes,
        last: bool,
        context: &mut Context<'_>,
    ) -> Poll<Result<(), StreamClosed>> {
        match self {
            Self::Local(pipe) => {
                let room = ready!(pipe.poll_room(context));
                Poll::Ready(
                    room.and_then(|()| pipe.push(StreamEvent::Data(std::mem::take(data), last))),
                )
            }
            Self::Remote(sink) => sink.poll_send_part(data, last, context),
        }
    }

    /// Sends an event; body bytes wait for the window.
    pub async fn send(&self, event: StreamEvent) -> Result<(), StreamClosed> {
        match self {
            Self::Local(pipe) => pipe.send(event).await,
            Self::Remote(sink) => sink.send(event).await,
        }
    }
}

/// Builds the pipe for a direction that is received over a link. The pipe returns credit to the
/// sender as its body bytes are read.
pub fn remote_pipe(exchange: i64, sender: &FrameSender) -> EventPipe {
    let sender = sender.clone();
    EventPipe::new(Some(Box::new(move |bytes| {
        let grant = CreditGrant { bytes: bytes as i32 };
        // A send error is ignored: a closed link ends the exchange anyway.
        let _ = sender.send(exchange, FrameBody::Credit(grant));
    })))
}
