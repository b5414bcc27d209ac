// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! A small server for the administration API and for simulated servers (`basaltarch-standin`).
//! Requests are read as a whole; replies are sent as a whole or streamed. Callers' requests are
//! served by the ingress role of a daemon instead.

use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use basaltarch_core::account::{AccountFull, ByteAccount, ByteHold};
use basaltarch_decide::eviction::ConnectionStage;
use bytes::{Bytes, BytesMut};
use futures_util::stream::LocalBoxStream;
use futures_util::{select_biased, FutureExt, StreamExt};
use http::{header, request, HeaderMap, HeaderValue, Method, StatusCode};
use monoio::net::{TcpListener, TcpStream};
use serde::Serialize;

use crate::body::{BodyLimits, BodyReader};
use crate::connection::{self, ConnectionTurn, HttpStream};
use crate::errors::HttpError;
use crate::fields;
use crate::framing::{self, BodyFraming};
use crate::head::{self, HeadLimits};
use crate::table::{ConnectionEntry, ConnectionTable};
use crate::writer;

/// Maximum wait for the client to accept a piece of a reply.
const STREAM_WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Size in bytes of the pieces in which a whole reply is sent.
const REPLY_PIECE_BYTES: usize = 64 * 1024;
/// Bytes of a body that are held without an account.
const FREE_BODY_BYTES: usize = 16 * 1024;

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

/// `HeadCheck` returns the reply to a request that is refused by its head, if it is.
pub type HeadCheck = Rc<dyn Fn(&request::Parts) -> Option<ServerReply>>;

/// `ServerPolicy` says which requests a server reads.
#[derive(Clone)]
pub struct ServerPolicy {
    /// Limits on the requests.
    pub limits: ServerLimits,
    /// Account of the bodies that are held.
    pub account: ByteAccount,
    /// Checks the head of a request before its body is read.
    pub refuse_head: HeadCheck,
}

impl From<ServerLimits> for ServerPolicy {
    fn from(limits: ServerLimits) -> Self {
        Self { limits, account: ByteAccount::default(), refuse_head: Rc::new(|_| None) }
    }
}

/// Accepts connections forever, at most `max_connections` at once, and serves the requests on each.
pub async fn serve_all<F, Fut>(
    listener: TcpListener,
    max_connections: usize,
    policy: impl Into<ServerPolicy>,
    handle: F,
) where
    F: Fn(ServerRequest) -> Fut + 'static,
    Fut: Future<Output = ServerReply> + 'static,
{
    let handle = Rc::new(handle);
    let policy = policy.into();
    let serve_connection = move |stream, from, entry| {
        let (handle, policy) = (handle.clone(), policy.clone());
        serve(stream, from, entry, policy, move |request| handle(request))
    };
    let table = ConnectionTable::default();
    connection::accept_all(listener, max_connections, table, serve_connection).await;
}

/// Serves requests on one connection until the connection ends.
pub async fn serve<F, Fut>(
    stream: TcpStream,
    from: SocketAddr,
    entry: Rc<ConnectionEntry>,
    policy: ServerPolicy,
    handle: F,
) where
    F: Fn(ServerRequest) -> Fut,
    Fut: Future<Output = ServerReply>,
{
    let mut stream = HttpStream::new(stream);
    let mut turn = ConnectionTurn::default();
    loop {
        let (request, mut hold) = match next_request(&mut stream, from, &entry, &policy).await {
            Some(received) => received,
            None => return,
        };
        entry.enter(ConnectionStage::Serving);
        let close = fields::wants_close(request.head.version, &request.head.headers);
        let method = request.head.method.clone();
        let reply = handle(request).await;
        if reply.hang_up {
            return;
        }
        let reply = hold_reply(reply, &mut hold);
        let sent = send_unless_evicted(&mut stream, &entry, &method, reply, close).await;
        if sent.is_err() || close {
            return;
        }
        entry.enter(ConnectionStage::Idle);
        stream.reader.release();
        turn.end_request().await;
        if entry.is_evicted() {
            return;
        }
    }
}

/// Reads the next request, and refuses one that can't be served. Returns `None` once the connection
/// is over.
async fn next_request(
    stream: &mut HttpStream,
    from: SocketAddr,
    entry: &ConnectionEntry,
    policy: &ServerPolicy,
) -> Option<(ServerRequest, ByteHold)> {
    let read = {
        let mut reading = std::pin::pin!(read_request(stream, from, entry, policy).fuse());
        let mut evicted = std::pin::pin!(entry.evicted().fuse());
        select_biased! {
            read = reading => read,
            () = evicted => return None,
        }
    };
    match read {
        Ok(received) => Some(received),
        Err(refusal) => {
            refuse_request(stream, entry, refusal).await;
            None
        }
    }
}

/// `ReadRefusal` is why a request was not read to its end.
enum ReadRefusal {
    /// The request can't be read.
    Unreadable(HttpError),
    /// The request is refused by this reply.
    Refused(Box<ServerReply>),
    /// The bodies that are held leave no memory for this one.
    Full(AccountFull),
}

impl From<HttpError> for ReadRefusal {
    fn from(error: HttpError) -> Self {
        Self::Unreadable(error)
    }
}

async fn read_request(
    stream: &mut HttpStream,
    from: SocketAddr,
    entry: &ConnectionEntry,
    policy: &ServerPolicy,
) -> Result<(ServerRequest, ByteHold), ReadRefusal> {
    let limits = &policy.limits;
    let head = head::read_request(&mut stream.reader, &limits.head).await?;
    entry.enter(ConnectionStage::Receiving);
    let framing = framing::of_request(&head)?;
    limits.body.check_length(framing)?;
    if let Some(reply) = (policy.refuse_head)(&head) {
        return Err(ReadRefusal::Refused(Box::new(reply)));
    }
    if fields::expects_continue(&head) {
        let mut line = BytesMut::from(&b"HTTP/1.1 100 Continue\r\n\r\n"[..]);
        writer::flush(&mut stream.writer, &mut line).await?;
    }
    let mut reader = BodyReader::with_growing_reads(framing, limits.body);
    let mut body = BytesMut::new();
    let mut hold = policy.account.open_hold();
    while let Some(piece) = reader.next(&mut stream.reader).await? {
        entry.note_moved(piece.len());
        reserve_body(&mut body, piece.len(), &mut hold)?;
        body.extend_from_slice(&piece);
    }
    let body = body.freeze();
    Ok((ServerRequest { head, body, from }, hold))
}

/// Makes room for `more` bytes of a body, and takes that room from the account.
fn reserve_body(body: &mut BytesMut, more: usize, hold: &mut ByteHold) -> Result<(), ReadRefusal> {
    let needed = body.len() + more;
    if needed <= body.capacity() {
        return Ok(());
    }
    let capacity = needed.next_power_of_two();
    if capacity > FREE_BODY_BYTES {
        // While the body moves to its larger room, both are held.
        let held_bytes = (capacity + body.capacity()) as u64;
        hold.try_reach(held_bytes).map_err(ReadRefusal::Full)?;
    }
    body.reserve(capacity - body.len());
    Ok(())
}

/// Takes the body of a reply from the account: a client that doesn't read the reply makes the server
/// hold it. Returns a short refusal if the account is full.
fn hold_reply(reply: ServerReply, hold: &mut ByteHold) -> ServerReply {
    let length = match &reply.body {
        ReplyBody::Whole(body) if body.len() > FREE_BODY_BYTES => body.len() as u64,
        _ => return reply,
    };
    match hold.try_reach(hold.bytes() + length) {
        Ok(()) => reply,
        Err(error) => account_refusal(error),
    }
}

fn account_refusal(error: AccountFull) -> ServerReply {
    let message = format!("{error}; try again later\n");
    ServerReply::text(StatusCode::SERVICE_UNAVAILABLE, message)
}

/// Sends a reply. A client that doesn't read a whole reply makes room for others.
async fn send_unless_evicted(
    stream: &mut HttpStream,
    entry: &ConnectionEntry,
    method: &Method,
    reply: ServerReply,
    close: bool,
) -> Result<(), HttpError> {
    if let ReplyBody::Stream(_) = reply.body {
        return write_reply(stream, method, reply, close).await;
    }
    entry.enter(ConnectionStage::Blocked);
    let mut writing = std::pin::pin!(write_reply(stream, method, reply, close).fuse());
    let mut evicted = std::pin::pin!(entry.evicted().fuse());
    select_biased! {
        result = writing => result,
        () = evicted => Err(HttpError::Closed),
    }
}

async fn refuse_request(stream: &mut HttpStream, entry: &ConnectionEntry, refusal: ReadRefusal) {
    let reply = match refusal {
        ReadRefusal::Refused(reply) => *reply,
        ReadRefusal::Full(error) => account_refusal(error),
        ReadRefusal::Unreadable(error) => match error.status() {
            Some(status) => ServerReply::text(status, format!("{error}\n")),
            None => return,
        },
    };
    if write_reply(stream, &Method::GET, reply, true).await.is_ok() {
        stream.linger_unless_evicted(entry).await;
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
            let mut body = if method == Method::HEAD { Bytes::new() } else { body };
            loop {
                let piece = body.split_to(body.len().min(REPLY_PIECE_BYTES));
                send_reply_piece(stream, &mut buffer, framing, piece, body.is_empty()).await?;
                if body.is_empty() {
                    return Ok(());
                }
            }
        }
        ReplyBody::Stream(mut pieces) => {
            let framing = BodyFraming::Chunked;
            writer::put_response_head(&mut buffer, reply.status, &reply.headers, framing, close);
            send_reply_piece(stream, &mut buffer, framing, Bytes::new(), false).await?;
            while let Some(piece) = pieces.next().await {
                send_reply_piece(stream, &mut buffer, framing, piece, false).await?;
            }
            send_reply_piece(stream, &mut buffer, framing, Bytes::new(), true).await
        }
    }
}

async fn send_reply_piece(
    stream: &mut HttpStream,
    buffer: &mut BytesMut,
    framing: BodyFraming,
    piece: Bytes,
    last: bool,
) -> Result<(), HttpError> {
    let sending = writer::send_piece(&mut stream.writer, buffer, framing, piece, last);
    match monoio::time::timeout(STREAM_WRITE_TIMEOUT, sending).await {
        Ok(result) => result,
        Err(_) => Err(HttpError::TimedOut { what: "the client to read the reply" }),
    }
}
