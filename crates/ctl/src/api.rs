// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Calls to the resource API of a daemon.

use std::net::SocketAddr;
use std::time::Duration;

use basaltarch_http::body::{BodyLimits, BodyReader};
use basaltarch_http::client::{self, HttpClient};
use basaltarch_http::connection::HttpStream;
use basaltarch_http::errors::HttpError;
use basaltarch_http::framing;
use basaltarch_http::head::{self, HeadLimits};
use bytes::{Bytes, BytesMut};
use http::{header, HeaderMap, HeaderName, HeaderValue, Method};
use serde_json::Value;

use crate::errors::CommandError;

/// Timeout of one call. A daemon needs less time than this to report the outcome of a change, or to
/// report that the outcome is unknown.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest time without data on a watch: three times the interval at which a daemon sends
/// bookmarks, the lines that keep an idle watch alive.
const WATCH_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// `AdminApi` is a client of the resource API of one daemon.
pub struct AdminApi {
    address: SocketAddr,
    token: String,
    actor: String,
    client: HttpClient,
}

impl AdminApi {
    /// Builds the client of the daemon at `address`.
    pub fn new(address: SocketAddr, token: String, actor: String) -> Self {
        Self { address, token, actor, client: HttpClient::new(address, CALL_TIMEOUT) }
    }

    /// Builds the client of the daemon at `address` with the token and actor of this client.
    pub fn with_address(&self, address: SocketAddr) -> Self {
        Self::new(address, self.token.clone(), self.actor.clone())
    }

    fn headers(&self) -> HeaderMap {
        let mut headers = HeaderMap::new();
        let mut set = |name, value: &str| {
            if let Ok(value) = HeaderValue::from_str(value) {
                headers.insert(name, value);
            }
        };
        set(header::AUTHORIZATION, &format!("Bearer {}", self.token));
        set(HeaderName::from_static("basaltarch-actor"), &self.actor);
        set(header::HOST, &self.address.to_string());
        headers
    }

    fn unreachable_error(&self, source: HttpError) -> CommandError {
        CommandError::Unreachable { address: self.address.to_string(), source }
    }

    /// Makes a call and returns the JSON of the reply.
    pub async fn call(
        &self,
        method: Method,
        target: &str,
        body: Option<&Value>,
        precondition: Option<(HeaderName, String)>,
    ) -> Result<Value, CommandError> {
        let mut headers = self.headers();
        if let Some((name, value)) = precondition {
            if let Ok(value) = HeaderValue::from_str(&value) {
                headers.insert(name, value);
            }
        }
        let body = body.map_or(Bytes::new(), |body| Bytes::from(body.to_string()));
        let calling = self.client.call(method, target, headers, body);
        let reply = calling.await.map_err(|source| self.unreachable_error(source))?;
        let value: Value = serde_json::from_slice(&reply.body).unwrap_or(Value::Null);
        if reply.status.is_success() {
            return Ok(value);
        }
        Err(CommandError::Refused {
            status: reply.status.as_u16(),
            message: refusal_text(reply.status.as_u16(), &value),
        })
    }

    /// Sends a GET request and returns the JSON of the reply.
    pub async fn get(&self, target: &str) -> Result<Value, CommandError> {
        self.call(Method::GET, target, None, None).await
    }

    /// Calls `on_line` with each line of a watch until the watch ends.
    pub async fn watch(
        &self,
        target: &str,
        mut on_line: impl FnMut(&Value),
    ) -> Result<(), CommandError> {
        let lines = self.read_lines(target, &mut on_line);
        lines.await.map_err(|source| self.unreachable_error(source))?
    }

    /// Reads the lines of a watch. The inner error is a refusal by the daemon, and the outer error
    /// is a failed connection.
    async fn read_lines(
        &self,
        target: &str,
        on_line: &mut impl FnMut(&Value),
    ) -> Result<Result<(), CommandError>, HttpError> {
        let mut stream = HttpStream::connect(self.address, CALL_TIMEOUT).await?;
        client::send(&mut stream, &Method::GET, target, &self.headers(), Bytes::new()).await?;
        let head = head::read_response(&mut stream.reader, &HeadLimits::default()).await?;
        let framing = framing::of_response(&head, &Method::GET)?;
        let limits = BodyLimits { idle: WATCH_IDLE_TIMEOUT, ..BodyLimits::default() };
        let mut body = BodyReader::new(framing, limits);
        let mut buffer = BytesMut::new();
        while let Some(chunk) = body.next(&mut stream.reader).await? {
            buffer.extend_from_slice(&chunk);
            while head.status.is_success() {
                let end = match buffer.iter().position(|byte| *byte == b'\n') {
                    Some(end) => end,
                    None => break,
                };
                let line = buffer.split_to(end + 1);
                on_line(&serde_json::from_slice(&line).unwrap_or(Value::Null));
            }
        }
        if head.status.is_success() {
            return Ok(Ok(()));
        }
        let value = serde_json::from_slice(&buffer).unwrap_or(Value::Null);
        Ok(Err(CommandError::Refused {
            status: head.status.as_u16(),
            message: refusal_text(head.status.as_u16(), &value),
        }))
    }
}

fn refusal_text(status: u16, value: &Value) -> String {
    let message = value["error"].as_str().unwrap_or("no reason given");
    let mut text = format!("refused with status {status}: {message}");
    if !value["in_force"].is_null() {
        text.push_str(&format!("\nin force: {}", value["in_force"]));
    }
    if !value["start_again_at"].is_null() {
        text.push_str(&format!("\nstart again at: {}", value["start_again_at"]));
    }
    text
}
