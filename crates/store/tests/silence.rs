// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! A black-holed connection to the platform delays only the call that uses it. After an outage, all
//! idle connections may be black-holed; if they were kept, each would delay one more call until its
//! timeout.

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

/// Number of connections, from the first, that answer one call and then none.
const UNRESPONSIVE_CONNECTIONS: usize = 3;

/// Accepts connections; the first of them become unresponsive.
async fn serve(listener: TcpListener, opened: Rc<Cell<usize>>) {
    while let Ok((stream, _)) = listener.accept().await {
        let number = opened.get() + 1;
        opened.set(number);
        monoio::spawn(answer(stream, number <= UNRESPONSIVE_CONNECTIONS));
    }
}

/// Answers each call with an empty page; a connection that becomes unresponsive answers only the
/// first call.
async fn answer(stream: TcpStream, becomes_unresponsive: bool) {
    let mut stream = HttpStream::new(stream);
    let body = serde_json::to_string(&PageBody::default()).expect("text");
    let reply = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
    let mut calls = 0;
    while head::read_request(&mut stream.reader, &HeadLimits::default()).await.is_ok() {
        calls += 1;
        if becomes_unresponsive && calls > 1 {
            continue;
        }
        let (written, _) = stream.writer.write_all(reply.clone().into_bytes()).await;
        written.expect("written");
    }
}

#[test]
fn verify_a_call_without_an_answer_closes_the_idle_connections() {
    let ran = runtime::run(async {
        let listener = connection::bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("bind");
        let client = PlatformClient::new(listener.local_addr().expect("address"), 100.0, 100.0);
        let opened = Rc::new(Cell::new(0));
        monoio::spawn(serve(listener, opened.clone()));
        let calls = (0..UNRESPONSIVE_CONNECTIONS).map(|_| client.read_table("t"));
        assert!(future::join_all(calls).await.iter().all(Result::is_ok));
        assert_eq!(
            opened.get(),
            UNRESPONSIVE_CONNECTIONS,
            "each call opened a connection, which is idle now"
        );
        client.read_table("t").await.expect_err("the call uses a black-holed connection");
        client.read_table("t").await.expect("the next call uses a new connection");
        assert_eq!(opened.get(), UNRESPONSIVE_CONNECTIONS + 1);
    });
    ran.expect("runtime");
}
