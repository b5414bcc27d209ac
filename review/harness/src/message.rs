//! Just enough HTTP/1.1 for a stand-in of an upstream, a client and an operator.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// `MessageHead` is the start line and the header fields of a message.
#[derive(Debug, Clone)]
pub struct MessageHead {
    /// The start line without its line end.
    pub start: String,
    /// Names, in lower case, and values.
    pub fields: Vec<(String, String)>,
}

impl MessageHead {
    /// Returns the value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// Returns the second word of the start line: a target, or a status.
    pub fn second_word(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the status of a response, 0 if there is none.
    pub fn status(&self) -> u16 {
        self.second_word().parse().unwrap_or(0)
    }

    /// Returns the declared length of the body, if there is one.
    pub fn length(&self) -> Option<usize> {
        self.field("content-length").and_then(|value| value.parse().ok())
    }

    /// Says whether the body comes in chunks.
    pub fn is_chunked(&self) -> bool {
        self.field("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked"))
    }
}

/// `MessageStream` is a connection with the bytes that were read and not used yet.
pub struct MessageStream {
    /// The connection.
    pub tcp: TcpStream,
    buffer: Vec<u8>,
}

impl MessageStream {
    /// Wraps a connection.
    pub fn new(tcp: TcpStream) -> Self {
        let _ = tcp.set_nodelay(true);
        Self { tcp, buffer: Vec::new() }
    }

    /// Connects; reads wait for at most `patience`.
    pub fn connect(address: SocketAddr, patience: Duration) -> io::Result<Self> {
        let tcp = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        tcp.set_read_timeout(Some(patience))?;
        Ok(Self::new(tcp))
    }

    /// Reads more bytes into the buffer; returns `false` at the end of the connection.
    fn fill(&mut self) -> io::Result<bool> {
        let mut bytes = [0; 16 * 1024];
        let count = self.tcp.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count > 0)
    }

    /// Reads a head; `None` at the end of the connection before a head.
    pub fn read_head(&mut self) -> io::Result<Option<MessageHead>> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|window| window == b"\r\n\r\n") {
                let head: Vec<u8> = self.buffer.drain(..end + 4).collect();
                return Ok(Some(parse_head(&String::from_utf8_lossy(&head[..end]))));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    /// Reads at most `max` bytes; none at the end of the connection.
    pub fn read_some(&mut self, max: usize) -> io::Result<Vec<u8>> {
        if self.buffer.is_empty() && !self.fill()? {
            return Ok(Vec::new());
        }
        let count = self.buffer.len().min(max);
        Ok(self.buffer.drain(..count).collect())
    }

    fn read_exactly(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|window| window == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads the whole body of a message.
    pub fn read_body(&mut self, head: &MessageHead) -> io::Result<Vec<u8>> {
        if !head.is_chunked() {
            return self.read_exactly(head.length().unwrap_or(0));
        }
        let mut body = Vec::new();
        loop {
            let line = self.read_line()?;
            let size = usize::from_str_radix(line.trim(), 16)
                .map_err(|_| io::Error::new(io::ErrorKind::InvalidData, "chunk size"))?;
            if size == 0 {
                self.read_line()?;
                return Ok(body);
            }
            body.extend(self.read_exactly(size)?);
            self.read_line()?;
        }
    }

    /// Writes bytes.
    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.tcp.write_all(bytes)
    }
}

fn parse_head(text: &str) -> MessageHead {
    let mut lines = text.split("\r\n");
    let start = lines.next().unwrap_or_default().to_owned();
    let fields = lines.filter_map(|line| line.split_once(':'));
    let fields = fields.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
    MessageHead { start, fields: fields.collect() }
}

/// Sends one request on a new connection and returns the status and the body of the response.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    body: &str,
    patience: Duration,
) -> io::Result<(u16, String)> {
    let mut stream = MessageStream::connect(address, patience)?;
    let head = format!(
        "{method} {target} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    stream.write(head.as_bytes())?;
    stream.write(body.as_bytes())?;
    let head = stream.read_head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let body = stream.read_body(&head)?;
    Ok((head.status(), String::from_utf8_lossy(&body).into_owned()))
}
