// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Backend servers whose side of each exchange is a script: when to read, what to answer, and how
//! the connection ends.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use basaltarch_platform::headers::names;

use super::{loopback_address, TestBackend, EVENT_TIMEOUT};

/// Time without progress of a write after which its reader counts as blocked.
const BLOCKED_AFTER: Duration = Duration::from_millis(300);

/// A request as it reached a scripted server.
#[derive(Debug, Clone, Default)]
pub struct SeenRequest {
    /// Request line; whatever else was received in its place for a request that nobody sent.
    pub line: String,
    /// Value of `x-request-id`, or of the field for ids on the platform.
    pub id: String,
    /// Body as far as it was read.
    pub body: Vec<u8>,
    /// Whether the body was read to its end.
    pub is_whole: bool,
}

/// What happens to a connection after an exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AfterExchange {
    /// The next request is read from the connection.
    Keep,
    /// The connection is closed. The system resets it if bytes that arrived were not read.
    Close,
}

/// Where the body of a request ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BodyEnd {
    Length(usize),
    Chunked,
}

/// One exchange on a connection, from the server's side.
pub struct ScriptedExchange<'a> {
    /// Number of the exchange at its server, from 0.
    pub number: usize,
    /// Request as far as it was read.
    pub seen: SeenRequest,
    stream: &'a mut TcpStream,
    buffer: &'a mut Vec<u8>,
    end: BodyEnd,
}

impl ScriptedExchange<'_> {
    /// Reads the body to its end; returns whether it arrived whole.
    pub fn read_body(&mut self) -> bool {
        if !self.seen.is_whole {
            self.seen.is_whole = match self.end {
                BodyEnd::Length(length) => self.read_length(length),
                BodyEnd::Chunked => self.read_chunks(),
            };
        }
        self.seen.is_whole
    }

    /// Reads the first `count` bytes of a body with a length, or the whole body if it is shorter or
    /// in chunks; returns whether they arrived. Later reads go on from there.
    pub fn read_up_to(&mut self, count: usize) -> bool {
        match self.end {
            BodyEnd::Length(length) if count < length => {
                while self.buffer.len() < count {
                    if !receive(self.stream, self.buffer) {
                        self.seen.body = self.buffer.clone();
                        return false;
                    }
                }
                self.seen.body = self.buffer[..count].to_vec();
                true
            }
            BodyEnd::Chunked if count == 0 => true,
            _ => self.read_body(),
        }
    }

    /// Says whether more of a body with a length is to come than was received.
    pub fn awaits_more(&self) -> bool {
        let is_short = |length| self.buffer.len() < length;
        !self.seen.is_whole && matches!(self.end, BodyEnd::Length(length) if is_short(length))
    }

    /// Waits until the connection ends.
    pub fn await_end(&mut self) {
        while receive(self.stream, self.buffer) {}
    }

    /// Waits until bytes of the body have arrived, and leaves them unread.
    pub fn await_unread_bytes(&self) {
        let mut byte = [0];
        while self.stream.peek(&mut byte).is_err_and(|error| error.kind() == ErrorKind::Interrupted)
        {
        }
    }

    /// Returns the address of the other end of the connection.
    pub fn peer(&self) -> SocketAddr {
        self.stream.peer_addr().expect("peer")
    }

    /// Writes bytes; returns `false` if the connection failed.
    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Writes `piece` until nothing is taken for [`BLOCKED_AFTER`]; returns the bytes written.
    pub fn write_until_blocked(&mut self, piece: &[u8]) -> usize {
        self.stream.set_write_timeout(Some(BLOCKED_AFTER)).expect("timeout");
        let mut written = 0;
        while let Ok(count) = self.stream.write(piece) {
            written += count;
        }
        self.stream.set_write_timeout(None).expect("timeout");
        written
    }

    /// Writes `piece` over and over until the connection ends.
    pub fn write_until_ended(&mut self, piece: &[u8]) {
        while self.write(piece) {}
    }

    /// Answers as a server of the platform does: with the id of the request and the server's stamp.
    pub fn answer_platform(&mut self, status: &str, lines: &str, body: &str) -> bool {
        let id = &self.seen.id;
        let (id_name, stamp_name) = (names::REQUEST_ID, names::STAMP);
        let lines = format!("{id_name}: {id}\r\n{stamp_name}: stamp\r\n{lines}");
        self.answer(status, &lines, body)
    }

    /// Sends the end of the response's direction of the connection.
    pub fn shut_write(&mut self) {
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    /// Answers with a status, header lines and a body of known length.
    pub fn answer(&mut self, status: &str, lines: &str, body: &str) -> bool {
        let length = body.len();
        let head = format!("HTTP/1.1 {status}\r\n{lines}Content-Length: {length}\r\n\r\n{body}");
        self.write(head.as_bytes())
    }

    /// Answers that the request was not run.
    pub fn answer_shed(&mut self) -> bool {
        self.answer("503 Service Unavailable", "basaltarch-shed: 1\r\n", "")
    }

    fn read_length(&mut self, length: usize) -> bool {
        while self.buffer.len() < length {
            if !receive(self.stream, self.buffer) {
                self.seen.body = std::mem::take(self.buffer);
                return false;
            }
        }
        self.seen.body = self.buffer.drain(..length).collect();
        true
    }

    fn read_chunks(&mut self) -> bool {
        loop {
            let Some(line) = take_until(self.stream, self.buffer, b"\r\n") else { return false };
            let size = String::from_utf8_lossy(&line).trim().to_owned();
            let Ok(size) = usize::from_str_radix(&size, 16) else { return false };
            while self.buffer.len() < size + 2 {
                if !receive(self.stream, self.buffer) {
                    return false;
                }
            }
            self.seen.body.extend(self.buffer.drain(..size + 2).take(size));
            if size == 0 {
                return true;
            }
        }
    }
}

/// A server in threads that plays a script for each request and keeps what it received.
pub struct ScriptedServer {
    pub backend: TestBackend,
    seen: Arc<Mutex<Vec<SeenRequest>>>,
}

impl ScriptedServer {
    /// Starts a server of this name; `script` plays each exchange.
    pub fn start(
        name: &str,
        script: impl Fn(&mut ScriptedExchange<'_>) -> AfterExchange + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind(loopback_address()).expect("bind");
        let address = listener.local_addr().expect("address");
        let seen = Arc::new(Mutex::new(Vec::new()));
        let (script, all_seen) = (Arc::new(script), seen.clone());
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (script, seen) = (script.clone(), all_seen.clone());
                thread::spawn(move || serve(stream, &*script, &seen));
            }
        });
        Self { backend: TestBackend { name: name.to_owned(), address }, seen }
    }

    /// Returns the requests that were received, in the order in which their scripts ended.
    pub fn seen(&self) -> Vec<SeenRequest> {
        self.seen
            .lock()
            .expect("seen")
            .iter()
            .filter(|seen| !seen.line.is_empty())
            .cloned()
            .collect()
    }
}

fn serve(
    mut stream: TcpStream,
    script: &dyn Fn(&mut ScriptedExchange<'_>) -> AfterExchange,
    all_seen: &Mutex<Vec<SeenRequest>>,
) {
    stream.set_nodelay(true).expect("nodelay");
    stream.set_read_timeout(Some(EVENT_TIMEOUT)).expect("timeout");
    let mut buffer = Vec::new();
    while let Some(head) = take_until(&mut stream, &mut buffer, b"\r\n\r\n") {
        let head = String::from_utf8_lossy(&head).into_owned();
        let line = head.lines().next().unwrap_or_default().to_owned();
        let id = field(&head, "x-request-id").or_else(|| field(&head, names::REQUEST_ID));
        let id = id.unwrap_or_default();
        let length = field(&head, "content-length").and_then(|text| text.parse().ok());
        let is_chunked = field(&head, "transfer-encoding").is_some();
        let end = if is_chunked { BodyEnd::Chunked } else { BodyEnd::Length(length.unwrap_or(0)) };
        let seen = SeenRequest { line, id, ..SeenRequest::default() };
        let number = {
            let mut all_seen = all_seen.lock().expect("seen");
            // The place is taken first, so that exchanges of all connections are numbered.
            all_seen.push(SeenRequest::default());
            all_seen.len() - 1
        };
        let (stream, buffer) = (&mut stream, &mut buffer);
        let mut exchange = ScriptedExchange { number, seen, stream, buffer, end };
        let after = script(&mut exchange);
        all_seen.lock().expect("seen")[number] = exchange.seen;
        if after == AfterExchange::Close {
            return;
        }
    }
}

/// Returns the value of a header field.
fn field(head: &str, name: &str) -> Option<String> {
    let mut fields = head.lines().filter_map(|line| line.split_once(':'));
    fields.find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim().to_owned())
}

/// Removes and returns the bytes up to `end`, without it; `None` once the connection has ended.
fn take_until(stream: &mut TcpStream, buffer: &mut Vec<u8>, end: &[u8]) -> Option<Vec<u8>> {
    loop {
        if let Some(position) = buffer.windows(end.len()).position(|window| window == end) {
            let taken = buffer.drain(..position).collect();
            buffer.drain(..end.len());
            return Some(taken);
        }
        if !receive(stream, buffer) {
            return None;
        }
    }
}

/// Appends received bytes to `buffer`; returns `false` once the connection has ended or failed.
fn receive(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> bool {
    let mut chunk = [0; 16384];
    loop {
        match stream.read(&mut chunk) {
            Ok(count) => {
                buffer.extend_from_slice(&chunk[..count]);
                return count > 0;
            }
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(_) => return false,
        }
    }
}
