// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Links after their handshake. Each side of a link routes the frames that it receives to their
//! exchanges.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use basaltarch_core::outcome::{FailureOutcome, NotRunReason, UnknownReason};
use bytes::Bytes;
use fnv::FnvHashMap;
use monoio::io::AsyncReadRent;

use crate::errors::LinkError;
use crate::frames::{self, FrameReader, FrameSender};
use crate::handshake::PeerIdentity;
use crate::protocol::{
    BodyChunk, CancelNotice, DispatchHead, ExchangeFailure, FrameBody, PeerFrame,
};
use crate::stream::{
    self, EventPipe, EventSink, RemoteSink, SendCredit, StreamClosed, StreamEvent,
};

/// Exchange number of frames that belong to no exchange.
pub const NO_EXCHANGE: i64 = 0;

struct DialledExchange {
    answer: Rc<EventPipe>,
    credit: Rc<SendCredit>,
    dispatch_position: u64,
}

/// `DialledLink` is the dialling side of a link.
pub struct DialledLink {
    /// Identity of the daemon at the other end.
    pub peer: PeerIdentity,
    sender: FrameSender,
    exchanges: RefCell<FnvHashMap<i64, DialledExchange>>,
    next_exchange: Cell<i64>,
}

/// `OutboundExchange` is the ingress side of an exchange. Dropping an unfinished exchange cancels
/// the request at the host.
pub struct OutboundExchange {
    /// Sink for the rest of the request body.
    pub body: EventSink,
    /// Pipe from which the answer is read.
    pub answer: Rc<EventPipe>,
    cancel: Option<Box<dyn FnOnce()>>,
}

impl OutboundExchange {
    /// Builds an exchange; `cancel` runs if the exchange is dropped before [`Self::finish`] is
    /// called.
    pub fn new(body: EventSink, answer: Rc<EventPipe>, cancel: Box<dyn FnOnce()>) -> Self {
        Self { body, answer, cancel: Some(cancel) }
    }

    /// Sends the request to the host that offered its reservation a slot.
    pub fn begin(&self, head: DispatchHead) -> Result<(), StreamClosed> {
        self.body.begin(head)
    }

    /// Marks the exchange as finished, so that dropping the exchange sends no cancel.
    pub fn finish(&mut self) {
        self.cancel = None;
    }
}

impl Drop for OutboundExchange {
    fn drop(&mut self) {
        self.answer.close();
        if let Some(cancel) = self.cancel.take() {
            cancel();
        }
    }
}

impl DialledLink {
    /// Builds the dialling side of a link to `peer`.
    pub fn new(peer: PeerIdentity, sender: FrameSender) -> Rc<Self> {
        Rc::new(Self { peer, sender, exchanges: RefCell::default(), next_exchange: Cell::new(1) })
    }

    /// Returns the send queue of the link.
    pub fn sender(&self) -> &FrameSender {
        &self.sender
    }

    /// Returns the number of unfinished exchanges.
    pub fn exchange_count(&self) -> usize {
        self.exchanges.borrow().len()
    }

    /// Starts an exchange by sending the head of its request.
    pub fn dispatch(self: &Rc<Self>, head: DispatchHead) -> Result<OutboundExchange, LinkError> {
        let exchange = self.next_exchange.get();
        self.next_exchange.set(exchange + 1);
        let dispatch_position = self.sender.send(exchange, FrameBody::Dispatch(head))?;
        let answer = Rc::new(stream::remote_pipe(exchange, &self.sender));
        let credit = Rc::new(SendCredit::of_request());
        let entry =
            DialledExchange { answer: answer.clone(), credit: credit.clone(), dispatch_position };
        self.exchanges.borrow_mut().insert(exchange, entry);
        let body = EventSink::Remote(RemoteSink { exchange, sender: self.sender.clone(), credit });
        let link = self.clone();
        let cancel = Box::new(move || link.cancel(exchange));
        Ok(OutboundExchange::new(body, answer, cancel))
    }

    fn cancel(&self, exchange: i64) {
        let removed_exchange = self.exchanges.borrow_mut().remove(&exchange);
        if let Some(entry) = removed_exchange {
            entry.credit.close();
            let notice = CancelNotice { caller_gone: true };
            let _ = self.sender.send(exchange, FrameBody::Cancel(notice));
        }
    }

    /// Reads frames until the link ends; `on_frame` is called for each frame, and `on_control` gets
    /// the frames that belong to no exchange.
    pub async fn run<R: AsyncReadRent>(
        &self,
        reader: &mut FrameReader<R>,
        on_frame: impl Fn(),
        on_control: impl Fn(FrameBody),
    ) -> LinkError {
        loop {
            let frame = match reader.next().await {
                Ok(frame) => frame,
                Err(error) => return error,
            };
            on_frame();
            if frame.exchange == NO_EXCHANGE {
                on_control(frame.body);
            } else if let Err(error) = self.route_frame(frame) {
                return error;
            }
        }
    }

    fn route_frame(&self, frame: PeerFrame) -> Result<(), LinkError> {
        let exchange = frame.exchange;
        let (last, event) = match frame.body {
            FrameBody::Answer(head) => (head.last, StreamEvent::Head(head)),
            FrameBody::Chunk(chunk) => (chunk.last, chunk_event(chunk)),
            FrameBody::Failure(failure) => (true, StreamEvent::Failed(failure)),
            FrameBody::Credit(grant) => {
                if let Some(entry) = self.exchanges.borrow().get(&exchange) {
                    entry.credit.add(grant.bytes);
                }
                return Ok(());
            }
            other => return Err(LinkError::Unexpected { frame: frames::frame_name(&other) }),
        };
        // A cancelled exchange is no longer in the table, and an answer to a cancelled exchange is
        // dropped.
        let mut exchanges = self.exchanges.borrow_mut();
        if let Some(entry) = exchanges.get(&exchange) {
            let _ = entry.answer.push(event);
            if last {
                entry.credit.close();
                exchanges.remove(&exchange);
            }
        }
        Ok(())
    }

    /// Ends the link and fails every open exchange. An exchange fails as not run if none of its
    /// bytes were handed to the operating system, otherwise with an unknown outcome.
    pub fn end(&self) {
        self.sender.close();
        for (_, entry) in self.exchanges.borrow_mut().drain() {
            let outcome = if self.sender.was_submitted(entry.dispatch_position) {
                FailureOutcome::Unknown(UnknownReason::PeerLost)
            } else {
                FailureOutcome::NotRun(NotRunReason::PeerUnreachable)
            };
            entry.credit.close();
            let _ = entry.answer.push(StreamEvent::Failed(failure_of(outcome)));
        }
    }
}

/// Builds an [`ExchangeFailure`] without a load report.
pub fn failure_of(outcome: FailureOutcome) -> ExchangeFailure {
    ExchangeFailure { outcome: outcome.wire_number(), retry_after_ms: 0, report: None }
}

fn chunk_event(chunk: BodyChunk) -> StreamEvent {
    StreamEvent::Data(Bytes::from(chunk.data), chunk.last)
}

/// `InboundExchange` is the host side of an exchange.
pub struct InboundExchange {
    /// Number of the exchange on its link.
    pub exchange: i64,
    /// Head of the request.
    pub head: DispatchHead,
    /// Pipe from which the rest of the request body is read.
    pub body: Rc<EventPipe>,
    /// Sink for the answer.
    pub answer: EventSink,
}

struct AcceptedExchange {
    body: Rc<EventPipe>,
    credit: Rc<SendCredit>,
}

/// `AcceptedLink` is the accepting side of a link.
pub struct AcceptedLink {
    /// Identity of the daemon at the other end.
    pub peer: PeerIdentity,
    sender: FrameSender,
    exchanges: Rc<RefCell<FnvHashMap<i64, AcceptedExchange>>>,
}

impl AcceptedLink {
    /// Builds the accepting side of a link from `peer`.
    pub fn new(peer: PeerIdentity, sender: FrameSender) -> Rc<Self> {
        Rc::new(Self { peer, sender, exchanges: Rc::default() })
    }

    /// Returns the send queue of the link.
    pub fn sender(&self) -> &FrameSender {
        &self.sender
    }

    /// Reads frames until the link ends; `on_dispatch` gets each new exchange, and `on_control`
    /// gets the frames that belong to no exchange.
    pub async fn run<R: AsyncReadRent>(
        self: &Rc<Self>,
        reader: &mut FrameReader<R>,
        on_dispatch: impl Fn(InboundExchange),
        on_control: impl Fn(FrameBody),
    ) -> LinkError {
        loop {
            let frame = match reader.next().await {
                Ok(frame) => frame,
                Err(error) => return error,
            };
            match frame.body {
                FrameBody::Dispatch(head) => on_dispatch(self.open_exchange(frame.exchange, head)),
                body if frame.exchange == NO_EXCHANGE => on_control(body),
                body => {
                    if let Err(error) = self.route_frame(frame.exchange, body) {
                        return error;
                    }
                }
            }
        }
    }

    fn open_exchange(&self, exchange: i64, head: DispatchHead) -> InboundExchange {
        let body = Rc::new(stream::remote_pipe(exchange, &self.sender));
        let credit = Rc::new(SendCredit::of_answer());
        let entry = AcceptedExchange { body: body.clone(), credit: credit.clone() };
        self.exchanges.borrow_mut().insert(exchange, entry);
        let answer =
            EventSink::Remote(RemoteSink { exchange, sender: self.sender.clone(), credit });
        InboundExchange { exchange, head, body, answer }
    }

    /// Removes an exchange whose answer is complete and closes its streams.
    pub fn forget(&self, exchange: i64) {
        if let Some(entry) = self.exchanges.borrow_mut().remove(&exchange) {
            entry.body.close();
            entry.credit.close();
        }
    }

    fn route_frame(&self, exchange: i64, body: FrameBody) -> Result<(), LinkError> {
        let exchanges = self.exchanges.borrow();
        // Frames of a finished exchange, which may still be in transit, are dropped.
        let entry = match exchanges.get(&exchange) {
            Some(entry) => entry,
            None => return Ok(()),
        };
        match body {
            FrameBody::Chunk(chunk) => {
                let _ = entry.body.push(chunk_event(chunk));
            }
            FrameBody::Credit(grant) => entry.credit.add(grant.bytes),
            FrameBody::CalledIn(head) => {
                let _ = entry.body.push(StreamEvent::Begin(Box::new(head)));
            }
            FrameBody::Cancel(_) => {
                entry.credit.close();
                let _ = entry.body.push(StreamEvent::Cancelled);
            }
            other => return Err(LinkError::Unexpected { frame: frames::frame_name(&other) }),
        }
        Ok(())
    }

    /// Ends the link and cancels every open exchange.
    pub fn end(&self) {
        self.sender.close();
        for (_, entry) in self.exchanges.borrow_mut().drain() {
            entry.credit.close();
            let _ = entry.body.push(StreamEvent::Cancelled);
        }
    }
}
