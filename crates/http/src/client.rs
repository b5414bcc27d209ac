// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! A small client for requests and replies that fit in memory, with a small connection pool.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::FutureExt;
use http::{header, HeaderMap, HeaderValue, Method, StatusCode};

use crate::body::{BodyLimits, BodyReader};
use crate::connection::HttpStream;
use crate::errors::HttpError;
use crate::fields;
use crate::framing::{self, BodyFraming};
use crate::head::{self, HeadLimits};
use crate::writer;

/// Maximum number of idle connections in the pool.
const IDLE_CONNECTIONS_MAX: usize = 8;
/// Maximum size in bytes of a reply's body, unless the client sets another. Replies are held in
/// memory.
const REPLY_BYTES_MAX: u64 = 64 * 1024 * 1024;

/// `ClientReply` is a reply with its complete body.
#[derive(Debug)]
pub struct ClientReply {
    /// Status of the reply.
    pub status: StatusCode,
    /// Header fields of the reply.
    pub headers: HeaderMap,
    /// Body of the reply.
    pub body: Bytes,
}

/// `HttpClient` is a client for one address; requests and replies are held in memory as a whole.
#[derive(Debug)]
pub struct HttpClient {
    address: SocketAddr,
    timeout: Duration,
    limits: BodyLimits,
    idle: RefCell<Vec<HttpStream>>,
    tcp_keepalive: Option<Duration>,
}

impl HttpClient {
    /// Builds a client; each call takes at most `timeout`.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            address,
            timeout,
            limits: BodyLimits { bytes: REPLY_BYTES_MAX, ..BodyLimits::default() },
            idle: RefCell::default(),
            tcp_keepalive: None,
        }
    }

    /// Enables TCP keep-alive, by which the system detects a dead peer after about three times
    /// `probe_interval`.
    pub fn tcp_keepalive(mut self, probe_interval: Duration) -> Self {
        self.tcp_keepalive = Some(probe_interval);
        self
    }

    /// Sets the maximum size of a reply's body in bytes.
    pub fn reply_bytes_max(mut self, bytes: u64) -> Self {
        self.limits.bytes = bytes;
        self
    }

    /// Returns the address that requests go to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the idle connections. After one connection was found dead, the idle connections to
    /// the same address are likely to be dead too.
    pub fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Sends a request and reads the whole reply.
    pub async fn call(
        &self,
        method: Method,
        target: &str,
        headers: HeaderMap,
        body: Bytes,
    ) -> Result<ClientReply, HttpError> {
        let exchange = self.exchange(method, target, headers, body);
        match monoio::time::timeout(self.timeout, exchange).await {
            Ok(result) => result,
            Err(_) => Err(HttpError::TimedOut { what: "a reply" }),
        }
    }

    async fn exchange(
        &self,
        method: Method,
        target: &str,
        mut headers: HeaderMap,
        body: Bytes,
    ) -> Result<ClientReply, HttpError> {
        let mut stream = self.take_or_connect().await?;
        if !headers.contains_key(header::HOST) {
            if let Ok(value) = HeaderValue::from_str(&self.address.to_string()) {
                headers.insert(header::HOST, value);
            }
        }
        send(&mut stream, &method, target, &headers, body).await?;
        let (reply, close) = receive(&mut stream, &method, self.limits).await?;
        let mut idle = self.idle.borrow_mut();
        if !close && idle.len() < IDLE_CONNECTIONS_MAX {
            idle.push(stream);
        }
        Ok(reply)
    }

    async fn connect(&self) -> Result<HttpStream, HttpError> {
        match self.tcp_keepalive {
            Some(probe_interval) => {
                HttpStream::connect_with_keepalive(self.address, self.timeout, probe_interval).await
            }
            None => HttpStream::connect(self.address, self.timeout).await,
        }
    }

    async fn take_or_connect(&self) -> Result<HttpStream, HttpError> {
        loop {
            let idle_stream = self.idle.borrow_mut().pop();
            let mut stream = match idle_stream {
                Some(stream) => stream,
                None => return self.connect().await,
            };
            if is_reusable(&mut stream) {
                return Ok(stream);
            }
        }
    }
}

/// Returns whether an idle connection is still open and has brought no bytes since its last
/// message. Such bytes are no response to the next request (RFC 9112 section 9.2).
pub fn is_reusable(stream: &mut HttpStream) -> bool {
    if !stream.reader.buffer.is_empty() {
        return false;
    }
    let reading = stream.reader.fill(crate::reader::HEAD_READ_BYTES);
    reading.now_or_never().is_none()
}

/// Sends a request with its complete body.
pub async fn send(
    stream: &mut HttpStream,
    method: &Method,
    target: &str,
    headers: &HeaderMap,
    body: Bytes,
) -> Result<(), HttpError> {
    let framing = match body.len() as u64 {
        0 => BodyFraming::Empty,
        length => BodyFraming::Length(length),
    };
    let mut buffer = BytesMut::new();
    writer::put_request_head(&mut buffer, method, target, headers, framing);
    writer::send_piece(&mut stream.writer, &mut buffer, framing, body, true).await
}

/// Reads a reply with its complete body. Also returns whether the connection ends after the reply.
pub async fn receive(
    stream: &mut HttpStream,
    method: &Method,
    limits: BodyLimits,
) -> Result<(ClientReply, bool), HttpError> {
    let head = head::read_final_response(&mut stream.reader, &HeadLimits::default()).await?;
    let framing = framing::of_response(&head, method)?;
    let mut reader = BodyReader::new(framing, limits);
    let mut body = BytesMut::new();
    while let Some(piece) = reader.next(&mut stream.reader).await? {
        body.extend_from_slice(&piece);
    }
    let close =
        framing == BodyFraming::UntilClose || fields::wants_close(head.version, &head.headers);
    let reply = ClientReply { status: head.status, headers: head.headers, body: body.freeze() };
    Ok((reply, close))
}
