// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Frames on a peer link: encoding, decoding and the send queue.

use std::cell::RefCell;
use std::future::poll_fn;
use std::io::Write;
use std::rc::Rc;
use std::task::{Poll, Waker};

use basaltarch_core::units;
use bytes::{Buf, BufMut, BytesMut};
use monoio::buf::{IoBuf, IoBufMut};
use monoio::io::{AsyncReadRent, AsyncWriteRent, AsyncWriteRentExt};
use thrift::protocol::{
    TCompactInputProtocol, TCompactOutputProtocol, TOutputProtocol, TSerializable,
};

use crate::compression::{LinkDecoder, LinkEncoder};
use crate::errors::{self, LinkError};
use crate::protocol::{FrameBody, PeerFrame};

/// Size of the length prefix of each frame, in bytes.
const LENGTH_BYTES: usize = 4;
/// Maximum frame length in bytes. A frame has room for one body chunk ([`CHUNK_BYTES_MAX`]) and the
/// longest head that an ingress accepts (32 KiB). At least the same number of bytes remains for the
/// fields that daemons add.
pub const FRAME_BYTES_MAX: usize = 256 * units::KIB;
/// Maximum body bytes in one frame: half of the flow-control window of an exchange, so that two
/// chunks can be in flight.
pub const CHUNK_BYTES_MAX: usize = 32 * units::KIB;
/// Maximum bytes in the send queue of one link. Flow-control windows bound the bytes that exchanges
/// queue. A longer queue means that the other side no longer reads.
pub const QUEUE_BYTES_MAX: usize = 32 * 1024 * units::KIB;
/// Capacity in bytes up to which a written buffer is used again. A larger one is left from a burst.
const SPARE_BYTES_MAX: usize = 512 * units::KIB;
/// Number of bytes by which the buffer grows before a read of uncompressed frames.
const READ_GROWTH_BYTES: usize = 64 * units::KIB;

/// Free capacity below which the buffer grows before a read of uncompressed frames. This constant
/// is also the buffer size of a read of compressed frames.
const READ_BYTES_MIN: usize = 8 * units::KIB;

/// Appends a frame with its length prefix to `buffer`.
pub fn encode(frame: &PeerFrame, buffer: &mut BytesMut) -> Result<(), LinkError> {
    let start = buffer.len();
    buffer.put_u32(0);
    let mut output = TCompactOutputProtocol::new(buffer.writer());
    frame.write_to_out_protocol(&mut output).map_err(errors::malformed)?;
    output.flush().map_err(errors::malformed)?;
    let length = buffer.len() - start - LENGTH_BYTES;
    if length > FRAME_BYTES_MAX {
        buffer.truncate(start);
        return Err(LinkError::FrameTooLong { bytes: length, allowed: FRAME_BYTES_MAX });
    }
    let mut prefix = &mut buffer[start..start + LENGTH_BYTES];
    prefix.write_all(&(length as u32).to_be_bytes()).map_err(errors::malformed)?;
    Ok(())
}

/// Removes the first complete frame from `buffer`, if there is one.
pub fn decode(buffer: &mut BytesMut) -> Result<Option<PeerFrame>, LinkError> {
    if buffer.len() < LENGTH_BYTES {
        return Ok(None);
    }
    let length = u32::from_be_bytes([buffer[0], buffer[1], buffer[2], buffer[3]]) as usize;
    if length > FRAME_BYTES_MAX {
        return Err(LinkError::FrameTooLong { bytes: length, allowed: FRAME_BYTES_MAX });
    }
    if buffer.len() < LENGTH_BYTES + length {
        return Ok(None);
    }
    buffer.advance(LENGTH_BYTES);
    let body = buffer.split_to(length);
    let mut input = TCompactInputProtocol::new(&body[..]);
    let frame = PeerFrame::read_from_in_protocol(&mut input).map_err(errors::malformed)?;
    Ok(Some(frame))
}

/// Returns the name of a frame for errors and logs.
pub fn frame_name(body: &FrameBody) -> &'static str {
    match body {
        FrameBody::Dispatch(_) => "dispatch",
        FrameBody::Answer(_) => "answer",
        FrameBody::Chunk(_) => "chunk",
        FrameBody::Credit(_) => "credit",
        FrameBody::Failure(_) => "failure",
        FrameBody::Cancel(_) => "cancel",
        FrameBody::Heartbeat(_) => "heartbeat",
        FrameBody::Pull(_) => "pull",
        FrameBody::News(_) => "news",
        FrameBody::GrantRequest(_) => "grant-request",
        FrameBody::GrantReply(_) => "grant-reply",
        FrameBody::Hello(_) => "hello",
        FrameBody::Proof(_) => "proof",
        FrameBody::Withdraw(_) => "withdraw",
        FrameBody::RowsRequest(_) => "rows-request",
        FrameBody::RowsNews(_) => "rows-news",
        FrameBody::SuspectNews(_) => "suspect-news",
        FrameBody::LoadQuestion(_) => "load-question",
        FrameBody::LoadAnswer(_) => "load-answer",
        FrameBody::CalledIn(_) => "called-in",
    }
}

/// `FrameReader` reads frames from a connection.
#[derive(Debug)]
pub struct FrameReader<R> {
    io: R,
    buffer: BytesMut,
    decoder: Option<LinkDecoder>,
    on_read: fn(usize),
}

impl<R: AsyncReadRent> FrameReader<R> {
    /// Builds a reader over the read half of a connection; `on_read` gets the byte count of each
    /// read.
    pub fn new(io: R, on_read: fn(usize)) -> Self {
        Self { io, buffer: BytesMut::new(), decoder: None, on_read }
    }

    /// Decompresses everything received from now on, including bytes that are already buffered.
    pub fn start_decoding(&mut self) {
        let mut decoder = LinkDecoder::default();
        decoder.feed(&self.buffer.split());
        self.decoder = Some(decoder);
    }

    /// Reads the next frame. Not cancel-safe: dropping the future loses the bytes read so far.
    pub async fn next(&mut self) -> Result<PeerFrame, LinkError> {
        loop {
            if let Some(frame) = decode(&mut self.buffer)? {
                return Ok(frame);
            }
            if !self.decompress_more()? {
                self.fill().await?;
            }
        }
    }

    fn decompress_more(&mut self) -> Result<bool, LinkError> {
        match &mut self.decoder {
            Some(decoder) => decoder.decode(&mut self.buffer),
            None => Ok(false),
        }
    }

    async fn fill(&mut self) -> Result<(), LinkError> {
        if self.decoder.is_some() {
            return self.fill_compressed().await;
        }
        let mut buffer = std::mem::take(&mut self.buffer);
        let begin = buffer.len();
        if buffer.capacity() - begin < READ_BYTES_MIN {
            buffer.reserve(READ_GROWTH_BYTES);
        }
        let end = buffer.capacity();
        let (result, slice) = self.io.read(buffer.slice_mut(begin..end)).await;
        self.buffer = slice.into_inner();
        let count = result.map_err(|source| LinkError::Broken { source })?;
        if count == 0 {
            return Err(LinkError::Closed);
        }
        (self.on_read)(count);
        Ok(())
    }

    async fn fill_compressed(&mut self) -> Result<(), LinkError> {
        let (result, compressed) = self.io.read(BytesMut::with_capacity(READ_BYTES_MIN)).await;
        let count = result.map_err(|source| LinkError::Broken { source })?;
        if count == 0 {
            return Err(LinkError::Closed);
        }
        (self.on_read)(count);
        if let Some(decoder) = &mut self.decoder {
            decoder.feed(&compressed);
        }
        Ok(())
    }
}

#[derive(Debug, Default)]
struct SendQueue {
    buffer: BytesMut,
    queued_bytes_total: u64,
    submitted_bytes_total: u64,
    closed: bool,
    writer_waker: Option<Waker>,
}

/// `FrameSender` is the send queue of a link. A single task writes its frames to the connection.
#[derive(Debug, Clone, Default)]
pub struct FrameSender {
    queue: Rc<RefCell<SendQueue>>,
}

impl FrameSender {
    /// Queues a frame and returns the position of its first byte, for [`Self::was_submitted`].
    pub fn send(&self, exchange: i64, body: FrameBody) -> Result<u64, LinkError> {
        let mut queue = self.queue.borrow_mut();
        if queue.closed {
            return Err(LinkError::Closed);
        }
        let length_before = queue.buffer.len();
        if length_before > QUEUE_BYTES_MAX {
            return Err(LinkError::Stalled { bytes: length_before });
        }
        let position = queue.queued_bytes_total;
        encode(&PeerFrame { exchange, body }, &mut queue.buffer)?;
        queue.queued_bytes_total += (queue.buffer.len() - length_before) as u64;
        if let Some(writer_waker) = queue.writer_waker.take() {
            writer_waker.wake();
        }
        Ok(position)
    }

    /// Says whether any byte at or after `position` was handed to the operating system.
    pub fn was_submitted(&self, position: u64) -> bool {
        self.queue.borrow().submitted_bytes_total > position
    }

    /// Returns the number of queued bytes not yet handed to the operating system.
    pub fn bytes_waiting(&self) -> u64 {
        self.queue.borrow().buffer.len() as u64
    }

    /// Rejects all further frames and ends the writing task once the queue is empty.
    pub fn close(&self) {
        let mut queue = self.queue.borrow_mut();
        queue.closed = true;
        if let Some(writer_waker) = queue.writer_waker.take() {
            writer_waker.wake();
        }
    }

    /// Says whether the queue is closed.
    pub fn is_closed(&self) -> bool {
        self.queue.borrow().closed
    }

    /// Writes queued frames to `io`, compressed if there is an `encoder`, until the queue is closed
    /// and empty or writing fails; `on_write` gets the number of bytes of each write.
    pub async fn run<W: AsyncWriteRent>(
        &self,
        mut io: W,
        mut encoder: Option<LinkEncoder>,
        on_write: fn(usize),
    ) -> Result<(), LinkError> {
        let mut spare_buffer = BytesMut::new();
        loop {
            let batch = match self.next_batch(spare_buffer).await {
                Some(batch) => batch,
                None => return Ok(()),
            };
            spare_buffer = match &mut encoder {
                Some(encoder) => {
                    let mut compressed = Vec::new();
                    encoder.encode(&batch, &mut compressed);
                    write_buffer(&mut io, compressed, on_write).await?;
                    batch
                }
                None => write_buffer(&mut io, batch, on_write).await?,
            };
            spare_buffer.clear();
            if spare_buffer.capacity() > SPARE_BYTES_MAX {
                spare_buffer = BytesMut::new();
            }
        }
    }

    async fn next_batch(&self, spare_buffer: BytesMut) -> Option<BytesMut> {
        let mut spare_buffer = Some(spare_buffer);
        poll_fn(|context| {
            let mut queue = self.queue.borrow_mut();
            if !queue.buffer.is_empty() {
                queue.submitted_bytes_total = queue.queued_bytes_total;
                let empty_buffer = spare_buffer.take().unwrap_or_default();
                return Poll::Ready(Some(std::mem::replace(&mut queue.buffer, empty_buffer)));
            }
            if queue.closed {
                return Poll::Ready(None);
            }
            queue.writer_waker = Some(context.waker().clone());
            Poll::Pending
        })
        .await
    }
}

/// Writes a whole buffer and returns the buffer for reuse.
async fn write_buffer<W: AsyncWriteRent, B: IoBuf>(
    io: &mut W,
    buffer: B,
    on_write: fn(usize),
) -> Result<B, LinkError> {
    let (result, buffer) = io.write_all(buffer).await;
    let count = result.map_err(|source| LinkError::Broken { source })?;
    on_write(count);
    Ok(buffer)
}
