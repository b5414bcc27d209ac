// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Replies to a client that holds them in memory: a reply is the one to its call, and no peer makes
//! the client hold or read bytes without end.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use basaltarch_http::client::{ClientReply, HttpClient};
use basaltarch_http::errors::HttpError;
use bytes::Bytes;
use http::{HeaderMap, Method};
use monoio::{LegacyDriver, RuntimeBuilder};
use test_case::test_case;

const ADDRESS: ([u8; 4], u16) = ([127, 0, 0, 1], 0);
const CALL_TIMEOUT: Duration = Duration::from_secs(20);
/// Size of the replies that the tests allow.
const REPLY_BYTES_MAX: u64 = 64 * 1024;

/// Runs `answer` for each connection in a thread.
fn start_server(answer: impl Fn(TcpStream) + Send + Sync + Copy + 'static) -> SocketAddr {
    let listener = TcpListener::bind(SocketAddr::from(ADDRESS)).expect("bind");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            thread::spawn(move || answer(stream));
        }
    });
    address
}

/// Reads what has arrived of a request; returns `false` at the end of the connection.
fn read_request(stream: &mut TcpStream) -> bool {
    matches!(stream.read(&mut [0; 4096]), Ok(count) if count > 0)
}

/// Makes calls one after the other with one client.
fn call_each(address: SocketAddr, targets: &[&str]) -> Vec<Result<ClientReply, HttpError>> {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build().expect("runs");
    runtime.block_on(async {
        let client = HttpClient::new(address, CALL_TIMEOUT).reply_bytes_max(REPLY_BYTES_MAX);
        let mut replies = Vec::new();
        for target in targets {
            let calling = client.call(Method::GET, target, HeaderMap::new(), Bytes::new());
            replies.push(calling.await);
        }
        replies
    })
}

fn send_body_without_end(mut stream: TcpStream) {
    read_request(&mut stream);
    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n");
    while stream.write_all(&[b'a'; 4096]).is_ok() {}
}

fn send_interim_responses_without_end(mut stream: TcpStream) {
    read_request(&mut stream);
    while stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").is_ok() {}
}

fn send_empty_lines_without_end(mut stream: TcpStream) {
    read_request(&mut stream);
    while stream.write_all(&[b'\r', b'\n'].repeat(1024)).is_ok() {}
}

// Guards against a peer that makes the client read until its memory or its time is used up.
#[test_case(send_body_without_end, "the body is larger than 65536 bytes" ; "body")]
#[test_case(send_interim_responses_without_end, "more than 8 interim responses" ; "interim responses")]
#[test_case(send_empty_lines_without_end, "the head is larger than 16384 bytes" ; "empty lines")]
fn verify_a_reply_without_end_is_an_error(answer: fn(TcpStream), error: &str) {
    let replies = call_each(start_server(answer), &["/"]);
    let message = replies[0].as_ref().expect_err("no reply").to_string();
    assert_eq!(message, error);
}

fn answer_with_surplus(mut stream: TcpStream) {
    let surplus = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nsurplus";
    while read_request(&mut stream) {
        let reply = format!("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nreal{surplus}");
        let _ = stream.write_all(reply.as_bytes());
    }
}

// Guards against bytes behind a reply that are read as the reply to the next call.
#[test]
fn verify_bytes_behind_a_reply_never_become_the_next_reply() {
    let replies = call_each(start_server(answer_with_surplus), &["/first", "/second", "/third"]);
    let bodies: Vec<Bytes> =
        replies.into_iter().map(|reply| reply.expect("a reply").body).collect();
    assert_eq!(bodies, ["real", "real", "real"]);
}
