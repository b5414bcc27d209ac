// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The health and load endpoints, which report configured values.

use basaltarch_http::connection::HttpStream;
use basaltarch_http::errors::HttpError;
use basaltarch_platform::headers;
use bytes::Bytes;
use http::{request, HeaderMap, StatusCode};

use crate::backend::{reply, sending};
use crate::backend::{BackendFaults, BackendStandin};

/// Path of the health endpoint. The response has the status `health_status` of the faults, whatever
/// the state of the server.
pub const HEALTH_PATH: &str = "/health";
/// Path of the load endpoint. The response reports `claimed_load` of the faults, whatever the
/// number of requests in flight.
pub const LOAD_PATH: &str = "/load";

/// Answers a request to the health or load endpoint.
pub async fn answer(
    stream: &mut HttpStream,
    standin: &BackendStandin,
    head: &request::Parts,
    faults: &BackendFaults,
) -> Result<(), HttpError> {
    standin.runs.borrow_mut().probes += 1;
    let (status, text) = match head.uri.path() {
        HEALTH_PATH => (faults.health_status, String::new()),
        _ => (StatusCode::OK.as_u16(), faults.claimed_load.to_string()),
    };
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
    let no_faults = BackendFaults::default();
    let body = Bytes::from(text);
    let mut headers = HeaderMap::new();
    if standin.options.fields.expected_server.is_some() {
        reply::put(&mut headers, headers::SERVER_NAME, &standin.options.name);
    }
    sending::send_buffered(stream, &head.method, status, &headers, body, &no_faults).await
}
