// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Connections that fail in one direction while the other is used.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use basaltarch_http::body::{BodyLimits, BodyReader};
use basaltarch_http::connection::HttpStream;
use basaltarch_http::errors::HttpError;
use basaltarch_http::framing::BodyFraming;
use basaltarch_http::writer;
use bytes::{Bytes, BytesMut};
use monoio::{LegacyDriver, RuntimeBuilder};

const ADDRESS: ([u8; 4], u16) = ([127, 0, 0, 1], 0);
/// Start of the body that the peer sends before it closes.
const BODY: &[u8] = b"the start of a body that ends with its connection";

fn listen() -> TcpListener {
    TcpListener::bind(SocketAddr::from(ADDRESS)).expect("bind")
}

/// Accepts a connection, sends [`BODY`], ends its direction in order if `in_order`, and closes the
/// connection while bytes that arrived are unread, so that the system resets it.
fn answer_and_reset(listener: TcpListener, in_order: bool) {
    let (mut stream, _) = listener.accept().expect("a connection");
    stream.write_all(BODY).expect("a written body");
    if in_order {
        stream.shutdown(Shutdown::Write).expect("an end");
    }
    await_unread(&stream);
}

fn await_unread(stream: &TcpStream) {
    assert_eq!(stream.peek(&mut [0]).expect("unread bytes"), 1);
}

/// Writes until a write fails, then reads a body that ends with its connection.
async fn write_then_read(address: SocketAddr) -> Result<Vec<u8>, HttpError> {
    let mut stream = HttpStream::connect(address, Duration::from_secs(20)).await?;
    let mut buffer = BytesMut::new();
    let piece = Bytes::from_static(&[b'x'; 1024]);
    while writer::send_piece(
        &mut stream.writer,
        &mut buffer,
        BodyFraming::Chunked,
        piece.clone(),
        false,
    )
    .await
    .is_ok()
    {}
    let mut body = BodyReader::new(BodyFraming::UntilClose, BodyLimits::default());
    let mut received = Vec::new();
    while let Some(piece) = body.next(&mut stream.reader).await? {
        received.extend_from_slice(&piece);
    }
    Ok(received)
}

fn play(in_order: bool) -> Result<Vec<u8>, HttpError> {
    let listener = listen();
    let address = listener.local_addr().expect("address");
    let peer = thread::spawn(move || answer_and_reset(listener, in_order));
    let mut runtime =
        RuntimeBuilder::<LegacyDriver>::new().enable_timer().build().expect("runtime");
    let result = runtime.block_on(write_then_read(address));
    peer.join().expect("the peer ends");
    result
}

/// Guards against a reset body that looks complete because a write took the reset's error.
#[test]
fn verify_a_reset_that_a_write_saw_is_no_end_of_a_body() {
    for _ in 0..20 {
        let result = play(false);
        assert!(matches!(result, Err(HttpError::Broken { .. })), "{result:?}");
    }
}

/// Guards against the loss of a complete body whose sender resets only the other direction.
#[test]
fn verify_a_body_that_ended_in_order_before_the_reset_is_complete() {
    for _ in 0..20 {
        assert_eq!(play(true).expect("a complete body"), BODY);
    }
}

/// Guards against a connection that counts as sound again after a read took its error.
#[test]
fn verify_a_read_after_a_failed_read_is_no_end() {
    let listener = listen();
    let address = listener.local_addr().expect("address");
    let peer = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut byte = [0];
        stream.read_exact(&mut byte).expect("a byte");
        await_unread(&stream);
    });
    let mut runtime =
        RuntimeBuilder::<LegacyDriver>::new().enable_timer().build().expect("runtime");
    runtime.block_on(async {
        let mut stream =
            HttpStream::connect(address, Duration::from_secs(20)).await.expect("connected");
        let mut buffer = BytesMut::from(&b"two"[..]);
        writer::flush(&mut stream.writer, &mut buffer).await.expect("written");
        assert!(stream.reader.fill(1).await.is_err(), "the reset");
        assert!(stream.reader.fill(1).await.is_err(), "and no end after it");
    });
    peer.join().expect("the peer ends");
}
