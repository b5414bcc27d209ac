// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The control endpoints, by which tests set faults and read the counters.

use basaltarch_http::body::{BodyLimits, BodyReader};
use basaltarch_http::connection::HttpStream;
use basaltarch_http::errors::HttpError;
use basaltarch_http::framing::BodyFraming;
use basaltarch_http::writer;
use bytes::{Bytes, BytesMut};
use http::{request, HeaderMap, StatusCode};
use serde::Serialize;

use crate::backend::{BackendRuns, BackendStandin};

/// Path of the faults: `GET` reads the faults in force, `PUT` sets new faults.
pub const FAULTS_PATH: &str = "/__control/faults";
/// Path of the counters of received and run requests: `GET` reads the counters, `DELETE` resets
/// them.
pub const RUNS_PATH: &str = "/__control/runs";

/// Reads the body of a control request and answers it.
pub async fn answer(
    stream: &mut HttpStream,
    standin: &BackendStandin,
    head: &request::Parts,
    framing: BodyFraming,
) -> Result<(), HttpError> {
    let mut reader = BodyReader::new(framing, BodyLimits::default());
    let mut body = BytesMut::new();
    while let Some(chunk) = reader.next(&mut stream.reader).await? {
        body.extend_from_slice(&chunk);
    }
    let (status, text) = control_reply(standin, head, &body);
    let mut buffer = BytesMut::new();
    let framing = BodyFraming::Length(text.len() as u64);
    writer::put_response_head(&mut buffer, status, &HeaderMap::new(), framing, false);
    writer::send_piece(&mut stream.writer, &mut buffer, framing, Bytes::from(text), true).await
}

fn control_reply(
    standin: &BackendStandin,
    head: &request::Parts,
    body: &[u8],
) -> (StatusCode, String) {
    match (head.method.as_str(), head.uri.path()) {
        ("GET", RUNS_PATH) => (StatusCode::OK, to_text(&*standin.runs.borrow())),
        ("DELETE", RUNS_PATH) => {
            *standin.runs.borrow_mut() = BackendRuns::default();
            (StatusCode::OK, "{}".to_owned())
        }
        ("GET", FAULTS_PATH) => (StatusCode::OK, to_text(&*standin.faults.borrow())),
        ("PUT", FAULTS_PATH) => match serde_json::from_slice(body) {
            Ok(faults) => {
                *standin.faults.borrow_mut() = faults;
                (StatusCode::OK, "{}".to_owned())
            }
            Err(error) => (StatusCode::UNPROCESSABLE_ENTITY, error.to_string()),
        },
        _ => (StatusCode::NOT_FOUND, "no such control path".to_owned()),
    }
}

fn to_text(value: &impl Serialize) -> String {
    serde_json::to_string(value).unwrap_or_default()
}
