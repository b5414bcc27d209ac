// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! A plain blocking HTTP client that exposes the reply as it was received.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use serde_json::Value;

const READ_TIMEOUT: Duration = Duration::from_secs(40);

/// A reply as it was received.
#[derive(Debug, Clone, Default)]
pub struct Reply {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
    /// Whether the whole body arrived, by its content length or its last chunk. Always false for a
    /// body that ends with the connection.
    pub complete: bool,
}

impl Reply {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    pub fn header(&self, name: &str) -> Option<String> {
        self.head.lines().skip(1).find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then(|| value.trim().to_owned())
        })
    }

    pub fn outcome(&self) -> Option<String> {
        self.header("basaltarch-outcome")
    }

    pub fn reason(&self) -> Option<String> {
        self.header("basaltarch-reason")
    }
}

/// Connects to a daemon, backend server or platform; reads time out after [`READ_TIMEOUT`].
pub fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("connect");
    stream.set_read_timeout(Some(READ_TIMEOUT)).expect("timeout");
    stream.set_nodelay(true).expect("nodelay");
    stream
}

/// Formats a request. Adds a `Host` header if there is none, and the length of a non-empty body.
pub fn request_text(method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> String {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        text.push_str("Host: test\r\n");
    }
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    text.push_str(body);
    text
}

/// Makes one request on a new connection; fails the test if no complete reply head is received.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Reply {
    try_call(address, method, path, headers, body).expect("a reply")
}

/// Makes one request on a new connection; returns `None` if no complete reply head is received.
pub fn try_call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<Reply> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(READ_TIMEOUT)).ok()?;
    let text = request_text(method, path, headers, body);
    stream.write_all(text.as_bytes()).ok()?;
    read_reply(&mut stream, method)
}

/// Sends bytes unchanged on a new connection and reads the reply as that to a GET request.
pub fn send_raw(address: SocketAddr, bytes: &[u8]) -> Option<Reply> {
    let mut stream = connect(address);
    stream.write_all(bytes).ok()?;
    read_reply(&mut stream, "GET")
}

/// Reads the final reply to a request and skips interim replies.
pub fn read_reply(stream: &mut TcpStream, method: &str) -> Option<Reply> {
    let mut buffer = Vec::new();
    loop {
        let reply = read_next_reply(stream, method, &mut buffer)?;
        if reply.status >= 200 {
            return Some(reply);
        }
    }
}

/// Reads the next reply, interim or final. Received bytes that follow the reply stay in `buffer`.
pub fn read_next_reply(
    stream: &mut TcpStream,
    method: &str,
    buffer: &mut Vec<u8>,
) -> Option<Reply> {
    let end = loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            break end + 4;
        }
        if !receive_into(stream, buffer) {
            return None;
        }
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end);
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let mut reply = Reply { status, head, ..Reply::default() };
    let has_no_body = method == "HEAD" || status < 200 || status == 204 || status == 304;
    if has_no_body {
        reply.complete = true;
        return Some(reply);
    }
    let length = reply.header("content-length").and_then(|text| text.parse().ok());
    match length {
        Some(length) => read_sized_body(stream, buffer, length, &mut reply),
        None if reply.header("transfer-encoding").is_some() => {
            read_chunked_body(stream, buffer, &mut reply)
        }
        None => while receive_into(stream, &mut reply.body) {},
    }
    Some(reply)
}

/// Appends received bytes to `buffer`; returns false once the connection has ended or failed.
fn receive_into(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> bool {
    let mut chunk = [0; 16384];
    loop {
        match stream.read(&mut chunk) {
            Ok(count) if count > 0 => {
                buffer.extend_from_slice(&chunk[..count]);
                return true;
            }
            // A signal interrupts the read, such as SIGCHLD when a daemon of another test ends. The
            // connection is still usable.
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            _ => return false,
        }
    }
}

fn read_sized_body(stream: &mut TcpStream, buffer: &mut Vec<u8>, length: usize, reply: &mut Reply) {
    while buffer.len() < length && receive_into(stream, buffer) {}
    reply.complete = buffer.len() >= length;
    reply.body = buffer.drain(..length.min(buffer.len())).collect();
}

fn read_chunked_body(stream: &mut TcpStream, buffer: &mut Vec<u8>, reply: &mut Reply) {
    loop {
        let line_end = loop {
            if let Some(end) = buffer.windows(2).position(|window| window == b"\r\n") {
                break end;
            }
            if !receive_into(stream, buffer) {
                return;
            }
        };
        let line = String::from_utf8_lossy(&buffer[..line_end]).into_owned();
        let size = usize::from_str_radix(line.trim(), 16).expect("chunk size");
        while buffer.len() < line_end + 2 + size + 2 {
            if !receive_into(stream, buffer) {
                return;
            }
        }
        reply.body.extend_from_slice(&buffer[line_end + 2..line_end + 2 + size]);
        buffer.drain(..line_end + 2 + size + 2);
        if size == 0 {
            reply.complete = true;
            return;
        }
    }
}
