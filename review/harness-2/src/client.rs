//! A sound client: it waits as long as it says, and tells what it got.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::http::{self, MessageReader};
use crate::record::Record;

const CONNECT_TIME_MAX: Duration = Duration::from_secs(1);

/// One request.
#[derive(Debug, Clone)]
pub struct Request {
    pub id: String,
    pub method: &'static str,
    pub host: String,
    pub target: String,
    pub body: Vec<u8>,
    pub deadline: Duration,
    /// Time after which the client leaves, if it leaves early.
    pub leaves_after: Option<Duration>,
}

/// How a request ended for its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    /// A whole answer with this status.
    Answered(u16),
    /// The connection ended without a whole answer.
    Cut,
    /// The client left at its deadline without a whole answer.
    GaveUp,
    /// The client left early, as it was told to.
    Left,
}

/// What a client saw of its request.
#[derive(Debug, Clone)]
pub struct Outcome {
    pub id: String,
    pub daemon: usize,
    pub sent: Duration,
    /// When the first byte of the answer's body arrived.
    pub first_byte: Option<Duration>,
    pub ended: Duration,
    pub end: Ended,
    /// Identifier of the upstream, from the stamp of the answer.
    pub upstream: Option<String>,
}

/// Sends a request to the daemon with this index and waits for its end. `on_first_byte` is called
/// when the first byte of the answer's body has arrived.
pub fn run(
    record: &Record,
    daemon: usize,
    address: SocketAddr,
    request: &Request,
    on_first_byte: impl FnOnce(),
) -> Outcome {
    let mut outcome = Outcome {
        id: request.id.clone(),
        daemon,
        sent: record.now(),
        first_byte: None,
        ended: Duration::ZERO,
        end: Ended::Cut,
        upstream: None,
    };
    record.note_at(
        outcome.sent,
        format!(
            "client sends {} {} {} to daemon {daemon}",
            request.id, request.method, request.target
        ),
    );
    let wait = request.leaves_after.unwrap_or(request.deadline).min(request.deadline);
    let until = Instant::now() + wait;
    let result = exchange(record, address, request, until, &mut outcome, on_first_byte);
    outcome.ended = record.now();
    outcome.end = match result {
        Ok(status) => Ended::Answered(status),
        Err(error) if is_timeout(&error) => match request.leaves_after {
            Some(_) => Ended::Left,
            None => Ended::GaveUp,
        },
        Err(_) => Ended::Cut,
    };
    record.note_at(
        outcome.ended,
        format!("client of {} got {:?} from {:?}", request.id, outcome.end, outcome.upstream),
    );
    outcome
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
}

fn exchange(
    record: &Record,
    address: SocketAddr,
    request: &Request,
    until: Instant,
    outcome: &mut Outcome,
    on_first_byte: impl FnOnce(),
) -> io::Result<u16> {
    let time_left = || {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            Err(io::Error::from(io::ErrorKind::TimedOut))
        } else {
            Ok(left)
        }
    };
    let mut stream = http::connect(address, CONNECT_TIME_MAX.min(time_left()?))?;
    let deadline = request.deadline.as_millis().to_string();
    let fields = [
        ("Host", request.host.as_str()),
        ("Request-Id", request.id.as_str()),
        ("Deadline-Ms", deadline.as_str()),
    ];
    http::send(&mut stream, request.method, &request.target, &fields, &request.body)?;
    let mut reader = MessageReader::new(stream);
    reader.stream.set_read_timeout(Some(time_left()?))?;
    let head = reader.read_head()?;
    let stamp = head.field("server-stamp").and_then(|stamp| stamp.split('.').next());
    outcome.upstream = stamp.map(str::to_owned);
    if head.content_length() != Some(0) {
        reader.stream.set_read_timeout(Some(time_left()?))?;
        reader.await_byte()?;
        outcome.first_byte = Some(record.now());
        on_first_byte();
    }
    // Each read has the time that is left, so that pieces that keep coming don't extend the wait.
    reader.stream.set_read_timeout(Some(time_left()?))?;
    reader.read_body(&head, true)?;
    Ok(head.status())
}
