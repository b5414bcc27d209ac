// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Builds the responses of a simulated backend server: status, header fields and body.

use basaltarch_http::connection::HttpStream;
use basaltarch_http::errors::HttpError;
use basaltarch_http::fields;
use basaltarch_http::framing::BodyFraming;
use basaltarch_http::writer;
use bytes::{Bytes, BytesMut};
use http::{header, request, HeaderMap, HeaderName, HeaderValue, StatusCode};
use rand::RngExt;

use crate::backend::{sending, uploads};
use crate::backend::{BackendFaults, BackendStandin};

/// Refuses a request that was not run, with its id and a shed notice.
pub async fn refuse(
    stream: &mut HttpStream,
    standin: &BackendStandin,
    head: &request::Parts,
    status: StatusCode,
) -> Result<(), HttpError> {
    let mut buffer = build_refusal(standin, head, status);
    writer::flush(&mut stream.writer, &mut buffer).await
}

/// Builds the refusal of a request.
pub fn build_refusal(
    standin: &BackendStandin,
    head: &request::Parts,
    status: StatusCode,
) -> BytesMut {
    let mut headers = HeaderMap::new();
    if let Some(id) = head.headers.get(standin.request_field()) {
        headers.insert(standin.request_field(), id.clone());
    }
    headers.insert(standin.options.fields.shed.clone(), HeaderValue::from_static("1"));
    let mut buffer = BytesMut::new();
    writer::put_response_head(&mut buffer, status, &headers, BodyFraming::Empty, false);
    buffer
}

/// Builds a copy of the response to a request that was run.
pub fn build_copy(
    standin: &BackendStandin,
    head: &request::Parts,
    faults: &BackendFaults,
) -> BytesMut {
    let status = StatusCode::from_u16(faults.status).unwrap_or(StatusCode::OK);
    let headers = response_headers(standin, head, faults);
    let body = response_text(standin, head, status);
    let framing = BodyFraming::Length(body.len() as u64);
    let mut buffer = BytesMut::new();
    writer::put_response_head(&mut buffer, status, &headers, framing, false);
    buffer.extend_from_slice(&body);
    buffer
}

/// Sends the response to a request that was run. `body` is the body of the request.
pub async fn answer(
    stream: &mut HttpStream,
    standin: &BackendStandin,
    head: &request::Parts,
    faults: &BackendFaults,
    body: Bytes,
) -> Result<(), HttpError> {
    let path = head.uri.path();
    let is_error = standin.draws_error(faults, path);
    let status = match (is_error, StatusCode::from_u16(faults.status)) {
        (true, _) => StatusCode::INTERNAL_SERVER_ERROR,
        (false, Ok(status)) => status,
        (false, Err(_)) => requested_status(path),
    };
    let headers = response_headers(standin, head, faults);
    if faults.stray || faults.partial {
        let number = standin.rng.borrow_mut().random_range(0..usize::MAX);
        let mut buffer = BytesMut::new();
        if faults.partial {
            uploads::put_partial_refusal(&mut buffer, standin, headers, number);
            return writer::flush(&mut stream.writer, &mut buffer).await;
        }
        uploads::put_stray_refusal(&mut buffer, standin, number);
        writer::flush(&mut stream.writer, &mut buffer).await?;
    }
    if faults.surplus {
        let mut surplus_headers = headers.clone();
        put(&mut surplus_headers, standin.request_field(), "an-earlier-request");
        let body = Bytes::from_static(b"the answer to an earlier request\n");
        let no_faults = BackendFaults::default();
        sending::send_buffered(
            stream,
            &head.method,
            StatusCode::OK,
            &surplus_headers,
            body,
            &no_faults,
        )
        .await?;
    }
    if faults.twice {
        let body = response_text(standin, head, status);
        sending::send_buffered(stream, &head.method, status, &headers, body, faults).await?;
    }
    if let Some(length) = path.strip_prefix("/bytes/").and_then(|text| text.parse().ok()) {
        return sending::send_generated(stream, &headers, length, faults).await;
    }
    let body = match path {
        "/echo" => body,
        _ => response_text(standin, head, status),
    };
    sending::send_buffered(stream, &head.method, status, &headers, body, faults).await
}

/// Returns the header fields of a response.
pub fn response_headers(
    standin: &BackendStandin,
    head: &request::Parts,
    faults: &BackendFaults,
) -> HeaderMap {
    let names = &standin.options.fields;
    let mut headers = HeaderMap::new();
    put(&mut headers, HeaderName::from_static("x-served-by"), &standin.options.name);
    if let Some(id) = head.headers.get(standin.request_field()) {
        headers.insert(standin.request_field(), id.clone());
    }
    if let Some(name) = names.stamp.as_ref().filter(|_| !faults.unstamped) {
        put(&mut headers, name.clone(), "stamp");
    }
    if faults.encoded {
        put(&mut headers, header::CONTENT_ENCODING, "gzip");
    }
    if faults.drain {
        put(&mut headers, names.drain.clone(), "1");
    }
    for (name, value) in &faults.notices {
        if let Ok(name) = HeaderName::from_bytes(name.as_bytes()) {
            put(&mut headers, name, value);
        }
    }
    headers
}

/// Returns the status CODE for a path `/status/CODE`, and 200 for any other path.
fn requested_status(path: &str) -> StatusCode {
    let requested_code = path.strip_prefix("/status/").and_then(|text| text.parse::<u16>().ok());
    requested_code.and_then(|code| StatusCode::from_u16(code).ok()).unwrap_or(StatusCode::OK)
}

fn response_text(standin: &BackendStandin, head: &request::Parts, status: StatusCode) -> Bytes {
    let id = fields::single(&head.headers, &standin.request_field()).unwrap_or("-");
    Bytes::from(format!("{} {} {} {id}\n", standin.options.name, status.as_u16(), head.uri.path()))
}

/// Sets a header field. A value that is not valid in a header field is not set.
pub fn put(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}
