// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Holds connections to a daemon open, either idle or each with a running request, so that the
//! memory of the daemon can be read while the connections are open.

use std::net::SocketAddr;
use std::time::Duration;

use basaltarch_http::client;
use basaltarch_http::connection::HttpStream;
use basaltarch_http::errors::HttpError;
use bytes::Bytes;
use http::{header, HeaderMap, HeaderName, HeaderValue, Method};

use crate::errors::BenchError;

/// Time-out for opening one of the connections.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// `HoldOptions` holds the number, target and kind of the held connections.
#[derive(Debug, Clone)]
pub struct HoldOptions {
    /// Address at which a daemon listens for callers.
    pub address: SocketAddr,
    /// Number of connections that are held open.
    pub connection_count: usize,
    /// Time for which the connections are held open, and for which the requests on them run.
    pub hold_time: Duration,
    /// Host and path of a request that runs on each connection; `None` for idle connections.
    pub request: Option<(String, String)>,
}

/// Opens the connections, prints a line once all are open, and holds the connections for
/// `hold_time`.
pub async fn run(options: HoldOptions) -> Result<(), BenchError> {
    let mut held_connections = Vec::with_capacity(options.connection_count);
    for _ in 0..options.connection_count {
        let opened = open_connection(&options).await;
        held_connections.push(opened.map_err(|source| BenchError::Call {
            what: format!("daemon at {}", options.address),
            source,
        })?);
    }
    println!("holding {} connections", held_connections.len());
    monoio::time::sleep(options.hold_time).await;
    Ok(())
}

async fn open_connection(options: &HoldOptions) -> Result<HttpStream, HttpError> {
    let mut stream = HttpStream::connect(options.address, CONNECT_TIMEOUT).await?;
    if let Some((host, path)) = &options.request {
        let mut headers = HeaderMap::new();
        if let Ok(host) = HeaderValue::from_str(host) {
            headers.insert(header::HOST, host);
        }
        let service_time_ms = HeaderValue::from(options.hold_time.as_millis() as u64);
        headers.insert(HeaderName::from_static("x-work-ms"), service_time_ms);
        client::send(&mut stream, &Method::GET, path, &headers, Bytes::new()).await?;
    }
    Ok(stream)
}
