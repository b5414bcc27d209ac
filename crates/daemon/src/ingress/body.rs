// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The body of a caller's request: what is kept of it, and what was passed on.
//!
//! Only the start of a body is kept. A further attempt needs the whole body, so it is possible only
//! while everything behind the kept start is still on the caller's connection.

use std::future::poll_fn;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use basaltarch_core::account::AccountFull;
use basaltarch_core::units;
use basaltarch_http::body::{BodyLimits, BodyReader};
use basaltarch_http::connection::HttpStream;
use basaltarch_http::errors::HttpError;
use basaltarch_http::framing::BodyFraming;
use basaltarch_http::reader::{ByteReader, BODY_READ_BYTES};
use basaltarch_peer::stream::{EventSink, StreamClosed};
use bytes::Bytes;
use monoio::io::AsyncReadRent;
use snafu::{ResultExt, Snafu};

use crate::ingress::hold::RequestHold;
use crate::state::DaemonState;

/// Number of bytes of a body that are read before the request is dispatched, and kept for a retry.
/// A shorter body is sent in the first frame, and a slow caller holds no slot while sending a
/// shorter body.
pub const KEPT_BYTES: usize = 64 * units::KIB;

/// `KeepError` says why the start of a body was not kept.
#[derive(Debug, Snafu)]
pub enum KeepError {
    /// The connection, or the framing of the body, is broken, or the body did not arrive in time.
    #[snafu(display("the body can't be read: {source}"))]
    Unreadable {
        /// What is wrong.
        source: HttpError,
    },
    /// The memory for what callers send is used up.
    #[snafu(display("{source}"))]
    Full {
        /// Error of the account.
        source: AccountFull,
    },
}

/// `RequestBody` is the body of one request, read from the caller's connection.
#[derive(Debug)]
pub struct RequestBody {
    kept: Bytes,
    rest: BodyReader,
    has_passed_on: bool,
}

/// `BodyStart` is the start of a body of which every byte can still be sent. Only
/// [`RequestBody::start`] makes one, so no attempt can begin with less than the whole body ahead.
#[derive(Debug, Clone)]
pub struct BodyStart {
    bytes: Bytes,
    is_whole: bool,
}

impl BodyStart {
    /// Returns the bytes that are kept.
    pub fn bytes(&self) -> &Bytes {
        &self.bytes
    }

    /// Says whether the kept bytes are the whole body.
    pub fn is_whole(&self) -> bool {
        self.is_whole
    }
}

impl RequestBody {
    /// Builds a body of which nothing was read.
    pub fn new(framing: BodyFraming, limits: BodyLimits) -> Self {
        let rest = BodyReader::with_growing_reads(framing, limits);
        Self { kept: Bytes::new(), rest, has_passed_on: false }
    }

    /// Reads the body to its end or to [`KEPT_BYTES`] and keeps what was read.
    ///
    /// # Errors
    ///
    /// Returns the error of the connection or of the body's framing, [`HttpError::TimedOut`] after
    /// `time_left`, or [`KeepError::Full`] if `hold` can't take the bytes.
    pub async fn keep_start(
        &mut self,
        state: &DaemonState,
        stream: &mut HttpStream,
        hold: &RequestHold,
        time_left: Duration,
    ) -> Result<(), KeepError> {
        if self.rest.is_done() {
            return Ok(());
        }
        let reading = read_start(state, &mut self.rest, stream, hold);
        self.kept = match monoio::time::timeout(time_left, reading).await {
            Ok(result) => result?,
            Err(_) => {
                return Err(HttpError::TimedOut { what: "the body" }).context(UnreadableSnafu)
            }
        };
        Ok(())
    }

    /// Returns the bytes that are kept, whether or not the request can still be sent.
    pub fn kept(&self) -> &Bytes {
        &self.kept
    }

    /// Says whether the body was read to its end from the caller's connection.
    pub fn is_read(&self) -> bool {
        self.rest.is_done()
    }

    /// Returns the start of the body for an attempt; `None` if bytes behind the start were passed to
    /// an earlier attempt and are gone.
    pub fn start(&self) -> Option<BodyStart> {
        let start = || BodyStart { bytes: self.kept.clone(), is_whole: self.rest.is_done() };
        (!self.has_passed_on).then(start)
    }

    /// Reads and returns the next bytes behind the start, to pass them on; empty at the end of the
    /// body. Cancel safe.
    ///
    /// # Errors
    ///
    /// Returns the error of the connection or of the body's framing.
    pub async fn next_piece<R: AsyncReadRent>(
        &mut self,
        reader: &mut ByteReader<R>,
    ) -> Result<Bytes, HttpError> {
        let piece = self.rest.next(reader).await?.unwrap_or_default();
        self.has_passed_on |= !piece.is_empty();
        Ok(piece)
    }
}

async fn read_start(
    state: &DaemonState,
    rest: &mut BodyReader,
    stream: &mut HttpStream,
    hold: &RequestHold,
) -> Result<Bytes, KeepError> {
    let mut start = Vec::new();
    while start.len() < KEPT_BYTES {
        let read = rest.next(&mut stream.reader).await.context(UnreadableSnafu)?;
        let Some(piece) = read else { break };
        hold.entry.note_moved(piece.len());
        let needed = start.len() + piece.len();
        if needed > start.capacity() {
            let capacity = needed.next_power_of_two().min(KEPT_BYTES + BODY_READ_BYTES);
            hold.take_body(state, capacity).await.context(FullSnafu)?;
            start.reserve_exact(capacity - start.len());
        }
        start.extend_from_slice(&piece);
    }
    Ok(Bytes::from(start))
}

/// `BodyUpload` sends the body of a request to the host of one attempt.
///
/// The upload goes on while different parts of the ingress wait for the attempt. A wait that ends
/// drops the future that sends, so bytes that were read stay in `due` until they are sent.
#[derive(Debug)]
pub struct BodyUpload {
    due: Bytes,
    stage: UploadStage,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum UploadStage {
    /// More of the body follows what is due.
    Open,
    /// The body ends with what is due.
    Last,
    /// The end of the body was sent, or the exchange needs no more of it.
    Ended,
}

/// `UploadEnd` is why an upload ended.
#[derive(Debug)]
pub enum UploadEnd {
    /// The whole body was sent.
    Sent,
    /// The exchange takes no more of the body.
    ExchangeEnded,
    /// The caller's connection or the framing of its body failed.
    Unreadable(HttpError),
}

impl BodyUpload {
    /// Builds the upload of an attempt whose dispatch carries the start of the body.
    pub fn after_start(start: &BodyStart) -> Self {
        let stage = if start.is_whole { UploadStage::Ended } else { UploadStage::Open };
        Self { due: Bytes::new(), stage }
    }

    /// Builds the upload of an attempt whose dispatch carries nothing of the body.
    pub fn of_whole(start: &BodyStart) -> Self {
        let stage = if start.is_whole { UploadStage::Last } else { UploadStage::Open };
        Self { due: start.bytes.clone(), stage }
    }

    /// Ends the upload of an exchange that needs no more of the body.
    pub fn end(&mut self) {
        self.due.clear();
        self.stage = UploadStage::Ended;
    }

    /// Sends the body to its end. Cancel safe: a later call goes on where this one was dropped.
    ///
    /// Nothing is read from the caller before the host has started the request: if the host refuses
    /// the request, the unread rest can still be sent to another host.
    pub async fn run<R: AsyncReadRent>(
        &mut self,
        body: &mut RequestBody,
        reader: &mut ByteReader<R>,
        sink: &EventSink,
    ) -> UploadEnd {
        loop {
            let sent = poll_fn(|context| self.poll_due(sink, context)).await;
            if sent.is_err() {
                return UploadEnd::ExchangeEnded;
            }
            if self.stage == UploadStage::Ended {
                return UploadEnd::Sent;
            }
            if sink.ready().await.is_err() {
                return UploadEnd::ExchangeEnded;
            }
            match body.next_piece(reader).await {
                Ok(piece) => self.due = piece,
                Err(error) => return UploadEnd::Unreadable(error),
            }
            if body.is_read() {
                self.stage = UploadStage::Last;
            }
        }
    }

    /// Polls to send what was read of the body.
    pub fn poll_due(
        &mut self,
        sink: &EventSink,
        context: &mut Context<'_>,
    ) -> Poll<Result<(), StreamClosed>> {
        while !self.due.is_empty() || self.stage == UploadStage::Last {
            let is_last = self.stage == UploadStage::Last;
            if ready!(sink.poll_send_part(&mut self.due, is_last, context)).is_err() {
                return Poll::Ready(Err(StreamClosed));
            }
            if is_last && self.due.is_empty() {
                self.stage = UploadStage::Ended;
            }
        }
        Poll::Ready(Ok(()))
    }
}
