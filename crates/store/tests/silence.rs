// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! A black-holed connection to the platform delays only the call that uses it. After an outage, all
//! idle connections may be black-holed. If these connections were kept, each of them would delay
//! one more call until the timeout of that call.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use basaltarch_http::connection::{self, HttpStream};
use basaltarch_http::head::{self, HeadLimits};
use basaltarch_platform::rows::PageBody;
use basaltarch_store::platform::PlatformClient;
use basaltarch_telemetry::runtime;
use futures_util::future;
use monoio::io::AsyncWriteRentExt;
use monoio::net::{TcpListener, TcpStream};

/// Number of connections, counted from the first, that answer one call and no later call.
const UNRESPONSIVE_CONNECTIONS: usize = 3;

/// Accepts connections and counts them; the first [`UNRESPONSIVE_CONNECTIONS`] become unresponsive.
async fn accept_connections(listener: TcpListener, connection_count: Rc<Cell<usize>>) {
    while let Ok((stream, _)) = listener.accept().await {
        let number = connection_count.get() + 1;
        connection_count.set(number);
        monoio::spawn(answer_calls(stream, number <= UNRESPONSIVE_CONNECTIONS));
    }
}

/// Answers each call with an empty page; a connection that becomes unresponsive answers only the
/// first call.
async fn answer_calls(stream: TcpStream, becomes_unresponsive: bool) {
    let mut stream = HttpStream::new(stream);
    let body = serde_json::to_string(&PageBody::default()).expect("text");
    let reply = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
    let mut call_count = 0;
    while head::read_request(&mut stream.reader, &HeadLimits::default()).await.is_ok() {
        call_count += 1;
        if becomes_unresponsive && call_count > 1 {
            continue;
        }
        let (written, _) = stream.writer.write_all(reply.clone().into_bytes()).await;
        written.expect("written");
    }
}

#[test]
fn verify_a_call_without_an_answer_closes_the_idle_connections() {
    let run_result = runtime::run(async {
        let listener = connection::bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("bind");
        let client = PlatformClient::new(listener.local_addr().expect("address"), 100.0, 100.0);
        let connection_count = Rc::new(Cell::new(0));
        monoio::spawn(accept_connections(listener, connection_count.clone()));
        let calls = (0..UNRESPONSIVE_CONNECTIONS).map(|_| client.read_table("t"));
        assert!(future::join_all(calls).await.iter().all(Result::is_ok));
        assert_eq!(
            connection_count.get(),
            UNRESPONSIVE_CONNECTIONS,
            "each call opened a connection, which is idle now"
        );
        client.read_table("t").await.expect_err("the call uses a black-holed connection");
        client.read_table("t").await.expect("the next call uses a new connection");
        assert_eq!(connection_count.get(), UNRESPONSIVE_CONNECTIONS + 1);
    });
    run_result.expect("runtime");
}
