// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! A small server for the administration API and for simulated servers (`basaltarch-standin`).
//! Requests are read as a whole; replies are sent as a whole or streamed. Callers' requests are
//! served by the ingress role of a daemon instead.

use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::stream::LocalBoxStream;
use futures_util::StreamExt;
use http::{header, request, HeaderMap, HeaderValue, Method, StatusCode};
use monoio::net::{TcpListener, TcpStream};
use serde::Serialize;

use crate::body::{BodyLimits, BodyReader};
use crate::connection::{self, ConnectionCount, HttpStream};
use crate::errors::HttpError;
use crate::fields;
use crate::framing::{self, BodyFraming};
use crate::head::{self, HeadLimits};
use crate::writer;

/// Maximum wait for the client to accept a piece of a streamed reply.
const STREAM_WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// `ServerRequest` is a request with its complete body.
#[derive(Debug)]
pub struct ServerRequest {
    /// Head of the request.
    pub head: request::Parts,
    /// Body of the request.
    pub body: Bytes,
    /// Address of the client.
    pub from: SocketAddr,
}

impl ServerRequest {
    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.head.uri.path()
    }

    /// Returns the value of a query parameter, without percent-decoding.
    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.head.uri.query()?;
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }
}

/// `ReplyBody` is the body of a reply.
pub enum ReplyBody {
    /// The complete body.
    Whole(Bytes),
    /// Pieces of the body, each of which is sent as soon as it is available; the reply ends with
    /// the stream.
    Stream(LocalBoxStream<'static, Bytes>),
}

/// `ServerReply` is the reply to a request.
pub struct ServerReply {
    /// Status of the reply.
    pub status: StatusCode,
    /// Header fields of the reply.
    pub headers: HeaderMap,
    /// Body of the reply.
    pub body: ReplyBody,
    /// Whether the connection is closed without a reply, which only simulated servers do.
    pub hang_up: bool,
}

impl ServerReply {
    /// Builds a reply with an empty body.
    pub fn empty(status: StatusCode) -> Self {
        Self::text(status, "")
    }

    /// Builds a reply with a text body.
    pub fn text(status: StatusCode, text: impl Into<String>) -> Self {
        Self::whole(status, "text/plain; charset=utf-8", Bytes::from(text.into()))
    }

    /// Builds a reply with a JSON body.
    pub fn json(status: StatusCode, value: &impl Serialize) -> Self {
        let body = serde_json::to_vec(value).unwrap_or_default();
        Self::whole(status, "application/json", Bytes::from(body))
    }

    /// Builds a reply with a complete body of the given media type.
    pub fn whole(status: StatusCode, media_type: &'static str, body: Bytes) -> Self {
        let mut headers = HeaderMap::new();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(media_type));
        Self { status, headers, body: ReplyBody::Whole(body), hang_up: false }
    }

    /// Adds a header field; a value that is not allowed in a header field is omitted.
    pub fn with_field(mut self, name: header::HeaderName, value: &str) -> Self {
        if let Ok(value) = HeaderValue::from_str(value) {
            self.headers.insert(name, value);
        }
        self
    }
}

/// `ServerLimits` is the set of limits on the requests that a server reads.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServerLimits {
    /// Limits on heads.
    pub head: HeadLimits,
    /// Limits on bodies.
    pub body: BodyLimits,
}

impl ServerLimits {
    /// Returns limits with bodies of up to `bytes`.
    pub fn with_body_bytes(bytes: u64) -> Self {
        let mut limits = Self::default();
        limits.body.bytes = bytes;
        limits
    }
}

/// Accepts connections forever, at most `max_connections` at once, and serves the requests on each.
pub async fn serve_all<F, Fut>(
    listener: TcpListener,
    max_connections: usize,
    limits: ServerLimits,
    handle: F,
) where
    F: Fn(ServerRequest) -> Fut + 'static,
    Fut: Future<Output = ServerReply> + 'static,
{
    let handle = Rc::new(handle);
    let serve_connection = move |stream, from| {
        let handle = handle.clone();
        serve(stream, from, limits, move |request| handle(request))
    };
    connection::accept_all(listener, max_connections, ConnectionCount::default(), serve_connection)
        .await;
}

/// Serves requests on one connection until the connection ends.
pub async fn serve<F, Fut>(stream: TcpStream, from: SocketAddr, limits: ServerLimits, handle: F)
where
    F: Fn(ServerRequest) -> Fut,
    Fut: Future<Output = ServerReply>,
{
    let mut stream = HttpStream::new(stream);
    loop {
        let request = match read_request(&mut stream, from, &limits).await {
            Ok(request) => request,
            Err(error) => {
                refuse_request(&mut stream, &error).await;
                return;
            }
        };
        let close = fields::wants_close(request.head.version, &request.head.headers);
        let method = request.head.method.clone();
        let reply = handle(request).await;
        if reply.hang_up || write_reply(&mut stream, &method, reply, close).await.is_err() || close
        {
            return;
        }
    }
}

async fn read_request(
    stream: &mut HttpStream,
    from: SocketAddr,
    limits: &ServerLimits,
) -> Result<ServerRequest, HttpError> {
    let head = head::read_request(&mut stream.reader, &limits.head).await?;
    let framing = framing::of_request(&head)?;
    if fields::expects_continue(&head) {
        let mut line = BytesMut::from(&b"HTTP/1.1 100 Continue\r\n\r\n"[..]);
        writer::flush(&mut stream.writer, &mut line).await?;
    }
    let mut reader = BodyReader::new(framing, limits.body);
    let mut body = BytesMut::new();
    while let Some(piece) = reader.next(&mut stream.reader).await? {
        body.extend_from_slice(&piece);
    }
    let body = body.freeze();
    Ok(ServerRequest { head, body, from })
}

async fn refuse_request(stream: &mut HttpStream, error: &HttpError) {
    if let Some(status) = error.status() {
        let reply = ServerReply::text(status, format!("{error}\n"));
        if write_reply(stream, &Method::GET, reply, true).await.is_ok() {
            stream.linger().await;
        }
    }
}

async fn write_reply(
    stream: &mut HttpStream,
    method: &Method,
    reply: ServerReply,
    close: bool,
) -> Result<(), HttpError> {
    let mut buffer = BytesMut::new();
    match reply.body {
        ReplyBody::Whole(body) => {
            let framing = match body.len() as u64 {
                0 => BodyFraming::Empty,
                length => BodyFraming::Length(length),
            };
            writer::put_response_head(&mut buffer, reply.status, &reply.headers, framing, close);
            let body = if method == Method::HEAD { Bytes::new() } else { body };
            writer::send_piece(&mut stream.writer, &mut buffer, framing, body, true).await
        }
        ReplyBody::Stream(mut pieces) => {
            let framing = BodyFraming::Chunked;
            writer::put_response_head(&mut buffer, reply.status, &reply.headers, framing, close);
            writer::flush(&mut stream.writer, &mut buffer).await?;
            while let Some(piece) = pieces.next().await {
                let send =
                    writer::send_piece(&mut stream.writer, &mut buffer, framing, piece, false);
                match monoio::time::timeout(STREAM_WRITE_TIMEOUT, send).await {
                    Ok(result) => result?,
                    Err(_) => {
                        return Err(HttpError::TimedOut { what: "the client to read the reply" })
                    }
                }
            }
            writer::send_piece(&mut stream.writer, &mut buffer, framing, Bytes::new(), true).await
        }
    }
}
