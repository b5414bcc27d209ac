// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Requests whose body follows from their id, so that the server knows each byte that is due. The
//! last part of the path says how the server responds: after the body, from before the body on,
//! before the body with a refusal, or after a refusal that belongs to no request.

use std::hash::Hasher;

use basaltarch_http::body::{BodyLimits, BodyReader};
use basaltarch_http::connection::HttpStream;
use basaltarch_http::errors::HttpError;
use basaltarch_http::fields;
use basaltarch_http::framing::BodyFraming;
use basaltarch_http::writer;
use bytes::{Bytes, BytesMut};
use fnv::FnvHasher;
use http::{request, HeaderMap, HeaderValue, StatusCode};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::backend::{reply, runs, BackendStandin};

/// Size in bytes of what is sent of an early response before the body is read: more than a daemon
/// holds back of a response.
const EARLY_BYTES: usize = 64 * 1024;

/// Longest body of an upload, in bytes: several times what a daemon keeps of a body.
const UPLOAD_BYTES: usize = 300_000;

/// Statuses of the refusals without an id that are sent in front of responses.
const STRAY_STATUSES: [StatusCode; 4] = [
    StatusCode::SERVICE_UNAVAILABLE,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::REQUEST_TIMEOUT,
];

/// Statuses of responses that have a part of what makes a refusal, each with whether the response has
/// a shed notice.
const PARTIAL_REFUSALS: [(StatusCode, bool); 6] = [
    (StatusCode::SERVICE_UNAVAILABLE, false),
    (StatusCode::TOO_MANY_REQUESTS, false),
    (StatusCode::MISDIRECTED_REQUEST, false),
    (StatusCode::REQUEST_TIMEOUT, false),
    (StatusCode::REQUEST_TIMEOUT, true),
    (StatusCode::BAD_REQUEST, true),
];

/// `UploadAct` is how a server responds to a long body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UploadAct {
    /// The body is read, then the response is sent.
    Digest,
    /// The response begins before the body is read, and ends after it.
    EarlyDigest,
    /// The request is refused with a shed notice before its body is read; the body is read after
    /// that.
    EarlyShed,
    /// The body is read, then a refusal that belongs to no request is sent, then the response.
    StrayRefusal,
    /// The body is read, then a response is sent that has a part of what makes a refusal, with the id
    /// of the request.
    PartialRefusal,
}

impl UploadAct {
    /// Returns the act that the last part of a path names.
    pub fn of_path(path: &str) -> Option<Self> {
        match path.rsplit('/').next()? {
            "digest" => Some(Self::Digest),
            "early-digest" => Some(Self::EarlyDigest),
            "early-shed" => Some(Self::EarlyShed),
            "stray-refusal" => Some(Self::StrayRefusal),
            "partial-refusal" => Some(Self::PartialRefusal),
            _ => None,
        }
    }
}

/// Builds the body of the upload with this id. Bodies of different ids have other bytes.
pub fn build_body(id: &str) -> Bytes {
    let mut hasher = FnvHasher::default();
    hasher.write(id.as_bytes());
    let mut rng = ChaCha8Rng::seed_from_u64(hasher.finish());
    let mut body = vec![0; rng.random_range(1..=UPLOAD_BYTES)];
    rng.fill(&mut body[..]);
    Bytes::from(body)
}

/// Returns the end of a response to a body: its length and a hash of its bytes.
pub fn describe(body: &[u8]) -> String {
    let mut hasher = FnvHasher::default();
    hasher.write(body);
    format!("{} {:016x}", body.len(), hasher.finish())
}

/// Serves a request by its act. The connection can be used again after that.
pub async fn serve(
    stream: &mut HttpStream,
    standin: &BackendStandin,
    head: &request::Parts,
    framing: BodyFraming,
    act: UploadAct,
) -> Result<(), HttpError> {
    let id = fields::single(&head.headers, &standin.request_field()).unwrap_or("-");
    if act == UploadAct::EarlyShed {
        reply::refuse(stream, standin, head, StatusCode::SERVICE_UNAVAILABLE).await?;
        return read(stream, standin, framing, id).await.map(drop);
    }
    runs::record_run(standin, head);
    let mut buffer = BytesMut::new();
    let headers = reply::response_headers(standin, head, &standin.faults.borrow().clone());
    if act == UploadAct::EarlyDigest {
        put_head(&mut buffer, &headers);
        put_padding(&mut buffer);
        writer::flush(&mut stream.writer, &mut buffer).await?;
    }
    let body = read(stream, standin, framing, id).await?;
    if act == UploadAct::PartialRefusal {
        put_partial_refusal(&mut buffer, standin, headers, body.len());
        return writer::flush(&mut stream.writer, &mut buffer).await;
    }
    if act == UploadAct::StrayRefusal {
        put_stray_refusal(&mut buffer, standin, body.len());
    }
    if act != UploadAct::EarlyDigest {
        put_head(&mut buffer, &headers);
    }
    let (name, path) = (&standin.options.name, head.uri.path());
    let text = Bytes::from(format!("{name} 200 {path} {id} {}\n", describe(&body)));
    writer::send_piece(&mut stream.writer, &mut buffer, BodyFraming::Chunked, text, true).await
}

/// Puts a refusal without an id into the buffer; `number` selects its status.
pub fn put_stray_refusal(buffer: &mut BytesMut, standin: &BackendStandin, number: usize) {
    let status = STRAY_STATUSES[number % STRAY_STATUSES.len()];
    let mut headers = HeaderMap::new();
    headers.insert(standin.options.fields.shed.clone(), HeaderValue::from_static("1"));
    writer::put_response_head(buffer, status, &headers, BodyFraming::Empty, false);
}

/// Puts a response with these header fields into the buffer that has a part of what makes a refusal;
/// `number` selects which.
pub fn put_partial_refusal(
    buffer: &mut BytesMut,
    standin: &BackendStandin,
    mut headers: HeaderMap,
    number: usize,
) {
    let (status, is_noticed) = PARTIAL_REFUSALS[number % PARTIAL_REFUSALS.len()];
    if is_noticed {
        headers.insert(standin.options.fields.shed.clone(), HeaderValue::from_static("1"));
    }
    writer::put_response_head(buffer, status, &headers, BodyFraming::Empty, false);
}

fn put_head(buffer: &mut BytesMut, headers: &HeaderMap) {
    writer::put_response_head(buffer, StatusCode::OK, headers, BodyFraming::Chunked, false);
}

fn put_padding(buffer: &mut BytesMut) {
    writer::put_piece(buffer, BodyFraming::Chunked, &[b' '; EARLY_BYTES], false);
}

/// Reads the body, and records the id if other bytes arrive than are due, however many.
async fn read(
    stream: &mut HttpStream,
    standin: &BackendStandin,
    framing: BodyFraming,
    id: &str,
) -> Result<BytesMut, HttpError> {
    let due = build_body(id);
    let mut reader = BodyReader::new(framing, BodyLimits::default());
    let mut body = BytesMut::new();
    let result = loop {
        match reader.next(&mut stream.reader).await {
            Ok(Some(piece)) => body.extend_from_slice(&piece),
            Ok(None) => break Ok(()),
            Err(error) => break Err(error),
        }
    };
    let is_as_sent = if result.is_ok() { due == body } else { due.starts_with(&body) };
    if !is_as_sent {
        standin.runs.borrow_mut().other_bodies.push(id.to_owned());
    }
    result.map(|()| body)
}
