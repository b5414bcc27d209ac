// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! A connection to the platform that fell silent holds up no more than the call on it.

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

/// Connections that answer one call and fall silent then.
const SILENT: usize = 3;

/// Answers each call with an empty page.
async fn serve(listener: TcpListener, opened: Rc<Cell<usize>>) {
    while let Ok((stream, _)) = listener.accept().await {
        let number = opened.get() + 1;
        opened.set(number);
        monoio::spawn(answer(stream, number <= SILENT));
    }
}

async fn answer(stream: TcpStream, falls_silent: bool) {
    let mut stream = HttpStream::new(stream);
    let body = serde_json::to_string(&PageBody::default()).expect("text");
    let reply = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
    let mut calls = 0;
    while head::read_request(&mut stream.reader, &HeadLimits::default()).await.is_ok() {
        calls += 1;
        if falls_silent && calls > 1 {
            continue;
        }
        let (written, _) = stream.writer.write_all(reply.clone().into_bytes()).await;
        written.expect("written");
    }
}

#[test]
fn verify_a_call_without_an_answer_takes_the_resting_connections_with_it() {
    let ran = runtime::run(async {
        let listener = connection::bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("bind");
        let client = PlatformClient::new(listener.local_addr().expect("address"), 100.0, 100.0);
        let opened = Rc::new(Cell::new(0));
        monoio::spawn(serve(listener, opened.clone()));
        let calls = (0..SILENT).map(|_| client.read_table("t"));
        assert!(future::join_all(calls).await.iter().all(Result::is_ok));
        assert_eq!(opened.get(), SILENT, "each has a connection of its own, which rests now");
        client.read_table("t").await.expect_err("it goes along a silent one");
        client.read_table("t").await.expect("the next doesn't");
        assert_eq!(opened.get(), SILENT + 1);
    });
    ran.expect("runtime");
}
