// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Holds connections open, idle or each with a running request, so that the memory of a daemon can
//! be read meanwhile.

use std::net::SocketAddr;
use std::time::Duration;

use basaltarch_http::client;
use basaltarch_http::connection::HttpStream;
use basaltarch_http::errors::HttpError;
use bytes::Bytes;
use http::{header, HeaderMap, HeaderName, HeaderValue, Method};

use crate::errors::BenchError;

/// Time-out for opening one connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// `HoldOptions` holds the number, target and kind of the held connections.
#[derive(Debug, Clone)]
pub struct HoldOptions {
    /// Address at which a daemon listens for callers.
    pub address: SocketAddr,
    /// Number of connections.
    pub count: usize,
    /// Time for which the connections are held.
    pub time: Duration,
    /// Host and path of a request that runs on each connection; `None` for idle connections.
    pub request: Option<(String, String)>,
}

/// Opens the connections, prints a line, and holds them.
pub async fn run(options: HoldOptions) -> Result<(), BenchError> {
    let mut held = Vec::with_capacity(options.count);
    for _ in 0..options.count {
        let opened = open(&options).await;
        held.push(opened.map_err(|source| BenchError::Call {
            what: format!("daemon at {}", options.address),
            source,
        })?);
    }
    println!("holding {} connections", held.len());
    monoio::time::sleep(options.time).await;
    Ok(())
}

async fn open(options: &HoldOptions) -> Result<HttpStream, HttpError> {
    let mut stream = HttpStream::connect(options.address, CONNECT_TIMEOUT).await?;
    if let Some((host, path)) = &options.request {
        let mut headers = HeaderMap::new();
        if let Ok(host) = HeaderValue::from_str(host) {
            headers.insert(header::HOST, host);
        }
        let millis = HeaderValue::from(options.time.as_millis() as u64);
        headers.insert(HeaderName::from_static("x-work-ms"), millis);
        client::send(&mut stream, &Method::GET, path, &headers, Bytes::new()).await?;
    }
    Ok(stream)
}
