//! A minimal HTTP/1.1 client and message reader on blocking sockets.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A message head: its first line and its header fields with lower-case names.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub first_line: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    pub fn content_length(&self) -> Option<usize> {
        self.field("content-length").and_then(|text| text.parse().ok())
    }

    pub fn is_chunked(&self) -> bool {
        self.field("transfer-encoding").is_some_and(|text| text.eq_ignore_ascii_case("chunked"))
    }
}

/// Reads messages from a connection.
pub struct MessageReader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

fn ended() -> io::Error {
    io::ErrorKind::UnexpectedEof.into()
}

impl MessageReader {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: Vec::new() }
    }

    /// Reads more bytes; an error at the end of the connection.
    fn fill(&mut self) -> io::Result<usize> {
        let mut piece = [0; 16 * 1024];
        match self.stream.read(&mut piece)? {
            0 => Err(ended()),
            count => {
                self.buffer.extend_from_slice(&piece[..count]);
                Ok(count)
            }
        }
    }

    pub fn read_head(&mut self) -> io::Result<Head> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first_line = lines.next().unwrap_or("").to_owned();
                let fields = lines.filter_map(|line| line.split_once(':'));
                let fields = fields
                    .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
                    .collect();
                return Ok(Head { first_line, fields });
            }
            self.fill()?;
        }
    }

    fn read_exact_bytes(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            self.fill()?;
        }
        Ok(self.buffer.drain(..count).collect())
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|bytes| bytes == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            self.fill()?;
        }
    }

    fn read_chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = self.read_line()?;
            let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
            body.extend(self.read_exact_bytes(size)?);
            self.read_line()?;
            if size == 0 {
                return Ok(body);
            }
        }
    }

    /// Reads the body of a request or of a response; a response without a length ends with its
    /// connection.
    pub fn read_body(&mut self, head: &Head, is_response: bool) -> io::Result<Vec<u8>> {
        if head.is_chunked() {
            return self.read_chunks();
        }
        match head.content_length() {
            Some(count) => self.read_exact_bytes(count),
            None if is_response => {
                while self.fill().is_ok() {}
                Ok(std::mem::take(&mut self.buffer))
            }
            None => Ok(Vec::new()),
        }
    }

    /// Waits for the first byte of a body, without removing it.
    pub fn await_byte(&mut self) -> io::Result<()> {
        if self.buffer.is_empty() {
            self.fill()?;
        }
        Ok(())
    }
}

pub fn connect(address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Writes a request with these header lines and body.
pub fn send(
    stream: &mut TcpStream,
    method: &str,
    target: &str,
    fields: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in fields {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method != "GET" {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Makes one call on a new connection and returns the head of its whole answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    fields: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Head> {
    let until = Instant::now() + limit;
    let mut stream = connect(address, limit)?;
    stream.set_read_timeout(Some(limit))?;
    let host = address.to_string();
    let mut all = vec![("Host", host.as_str()), ("Connection", "close")];
    if fields.iter().any(|(name, _)| *name == "Host") {
        all.remove(0);
    }
    all.extend_from_slice(fields);
    send(&mut stream, method, target, &all, body)?;
    let mut reader = MessageReader::new(stream);
    let head = reader.read_head()?;
    let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    reader.stream.set_read_timeout(Some(left))?;
    reader.read_body(&head, true)?;
    Ok(head)
}

/// Reads the body of an answer to a GET request.
pub fn body_of(address: SocketAddr, target: &str, limit: Duration) -> io::Result<Vec<u8>> {
    let mut stream = connect(address, limit)?;
    stream.set_read_timeout(Some(limit))?;
    send(&mut stream, "GET", target, &[("Host", "store"), ("Connection", "close")], b"")?;
    let mut reader = MessageReader::new(stream);
    let head = reader.read_head()?;
    reader.read_body(&head, true)
}
