//! A client on a machine: one request on a connection of its own.

use std::io;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use crate::message::MessageStream;
use crate::record::CaseRecord;

/// `ClientRequest` is a request and the way in which its body is sent.
pub struct ClientRequest<'a> {
    /// Method of the request.
    pub method: &'a str,
    /// Host and path of the request.
    pub host: &'a str,
    /// Path of the request.
    pub path: &'a str,
    /// Id of the attempt.
    pub id: &'a str,
    /// Deadline in milliseconds.
    pub deadline_ms: u64,
    /// Body of the request.
    pub body: &'a [u8],
    /// Whether the body is sent in chunks, and not with a length.
    pub chunked: bool,
    /// Pause before each of the later pieces of the body.
    pub pause: Duration,
    /// Bytes of a piece.
    pub piece_bytes: usize,
}

/// Sends the request to the daemon; returns the status of the answer, 0 if there is none or it is
/// not complete.
pub fn send(outbound: SocketAddr, record: &CaseRecord, request: &ClientRequest<'_>) -> u16 {
    send_and_count(outbound, record, request).0
}

/// Sends the request to the daemon as [`send`] does; also returns the length of the answer.
pub fn send_and_count(
    outbound: SocketAddr,
    record: &CaseRecord,
    request: &ClientRequest<'_>,
) -> (u16, usize) {
    let id = request.id;
    let framing = if request.chunked { "in chunks" } else { "with a length" };
    record.line(format!(
        "client sends {id} ({} {}, {} bytes of body {framing})",
        request.method,
        request.path,
        request.body.len()
    ));
    match exchange(outbound, request) {
        Ok((status, length, outcome)) => {
            record
                .line(format!("client gets {status} for {id}{outcome}, {length} bytes, complete"));
            (status, length)
        }
        Err(error) => {
            record.line(format!("client gets no complete answer for {id}: {error}"));
            (0, 0)
        }
    }
}

fn exchange(outbound: SocketAddr, request: &ClientRequest<'_>) -> io::Result<(u16, usize, String)> {
    let patience = Duration::from_millis(request.deadline_ms + 1000);
    let mut stream = MessageStream::connect(outbound, patience)?;
    let ClientRequest { method, host, path, id, deadline_ms, body, .. } = request;
    let framing = match (body.is_empty(), request.chunked) {
        (true, _) => String::new(),
        (false, true) => "Transfer-Encoding: chunked\r\n".to_owned(),
        (false, false) => format!("Content-Length: {}\r\n", body.len()),
    };
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nRequest-Id: {id}\r\n\
         Deadline-Ms: {deadline_ms}\r\n{framing}\r\n"
    );
    stream.write(head.as_bytes())?;
    send_body(&mut stream, request);
    let head = stream.read_head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let answer = stream.read_body(&head)?;
    let outcome = head.field("basaltarch-outcome").map(|outcome| {
        let reason = head.field("basaltarch-reason").unwrap_or_default();
        format!(" ({outcome}, {reason})")
    });
    let stamp = head.field("server-stamp").map(|stamp| format!(" (made by {stamp})"));
    let outcome = outcome.or(stamp).unwrap_or_default();
    Ok((head.status(), answer.len(), outcome))
}

/// Sends the body; stops if the connection doesn't take it, as the answer may be there already.
fn send_body(stream: &mut MessageStream, request: &ClientRequest<'_>) {
    for (number, piece) in request.body.chunks(request.piece_bytes.max(1)).enumerate() {
        if number > 0 && !request.pause.is_zero() {
            thread::sleep(request.pause);
        }
        let sent = match request.chunked {
            true => {
                let mut chunk = format!("{:x}\r\n", piece.len()).into_bytes();
                chunk.extend_from_slice(piece);
                chunk.extend_from_slice(b"\r\n");
                stream.write(&chunk)
            }
            false => stream.write(piece),
        };
        if sent.is_err() {
            return;
        }
    }
    if request.chunked && !request.body.is_empty() {
        let _ = stream.write(b"0\r\n\r\n");
    }
}

/// Builds a body of this length, which differs at each offset and from those of other requests.
pub fn build_body(seed: u64, length: usize) -> Vec<u8> {
    let mut state = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    let mut body = Vec::with_capacity(length);
    while body.len() < length {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        body.push(b'a' + (state % 26) as u8);
    }
    body
}
