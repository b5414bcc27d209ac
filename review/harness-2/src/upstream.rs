//! A sound application upstream: it works on `slots` requests at once and queues a few more, stops
//! at the time it is handed, drops a request whose connection closes, and says what it did not run.

use std::collections::HashMap;
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Head, MessageReader};
use crate::record::Record;

const QUEUE: usize = 36;
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(1500);
const HEARTBEAT_TIME_MAX: Duration = Duration::from_secs(1);
const HEALTH_TIME: Duration = Duration::from_millis(25);
const STEP: Duration = Duration::from_millis(5);

/// How the upstream answers.
#[derive(Debug, Clone, Copy)]
pub enum AnswerStyle {
    /// The whole answer after the work.
    AtEnd,
    /// The answer in pieces of equal size, spread evenly over the work.
    Pieces { count: usize, bytes: usize },
    /// The head and a first piece at once, and the rest after the work.
    EarlyHead { bytes: usize },
}

/// What an upstream is and how it works.
#[derive(Debug, Clone)]
pub struct Spec {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: usize,
    pub work: Duration,
    pub style: AnswerStyle,
}

/// What happened to a request at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunKind {
    Arrived,
    Began,
    Ended,
    /// The connection closed while the upstream was at work.
    Dropped,
    /// The time that the upstream was handed passed.
    TimedOut,
    /// The upstream turned the request away.
    NotRun,
    /// The request ran, and its answer was lost.
    AnswerLost,
}

#[derive(Debug, Clone)]
pub struct RunEvent {
    pub at: Duration,
    pub upstream: String,
    pub request: String,
    pub kind: RunKind,
    /// Service of the machine where the request began, as the request says.
    pub caller: Option<String>,
}

/// The runs of all upstreams of a case.
#[derive(Clone)]
pub struct Runs {
    events: Arc<Mutex<Vec<RunEvent>>>,
    record: Record,
}

impl Runs {
    pub fn new(record: &Record) -> Self {
        Self { events: Arc::default(), record: record.clone() }
    }

    fn note(&self, upstream: &str, request: &str, kind: RunKind) {
        self.note_from(upstream, request, kind, None);
    }

    fn note_from(&self, upstream: &str, request: &str, kind: RunKind, caller: Option<&str>) {
        let at = self.record.now();
        self.record.note_at(at, format!("upstream {upstream} request {request} {kind:?}"));
        let event = RunEvent {
            at,
            upstream: upstream.to_owned(),
            request: request.to_owned(),
            kind,
            caller: caller.map(str::to_owned),
        };
        if let Ok(mut events) = self.events.lock() {
            events.push(event);
        }
    }

    pub fn all(&self) -> Vec<RunEvent> {
        self.events.lock().map(|events| events.clone()).unwrap_or_default()
    }

    /// Returns how often each request began to run.
    pub fn begun(&self) -> HashMap<String, Vec<RunEvent>> {
        let mut begun: HashMap<String, Vec<RunEvent>> = HashMap::new();
        for event in self.all().into_iter().filter(|event| event.kind == RunKind::Began) {
            begun.entry(event.request.clone()).or_default().push(event);
        }
        begun
    }
}

struct Slots {
    running: usize,
    waiting: usize,
}

struct Shared {
    spec: Spec,
    runs: Runs,
    slots: Mutex<Slots>,
    freed: Condvar,
    is_down: AtomicBool,
    /// Whether the upstream has deregistered: it sends no heartbeat, and its health check fails.
    is_leaving: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
    /// Of how many requests the answer of one is lost; 0 for none.
    lost_of: AtomicU64,
    run_count: AtomicU64,
    /// How late the heartbeats of a draining upstream arrive, in ms; 0 if it is not draining.
    draining_delay: AtomicU64,
}

/// One incarnation of an upstream.
pub struct Upstream {
    shared: Arc<Shared>,
    pub address: SocketAddr,
    sequence: Arc<AtomicU64>,
}

impl Upstream {
    /// Starts an incarnation at an address.
    pub fn start(spec: Spec, address: SocketAddr, runs: &Runs) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        runs.record.note(format!("upstream {} starts at {address}", spec.id));
        let shared = Arc::new(Shared {
            spec,
            runs: runs.clone(),
            slots: Mutex::new(Slots { running: 0, waiting: 0 }),
            freed: Condvar::new(),
            is_down: AtomicBool::new(false),
            is_leaving: AtomicBool::new(false),
            streams: Mutex::default(),
            lost_of: AtomicU64::new(0),
            run_count: AtomicU64::new(0),
            draining_delay: AtomicU64::new(0),
        });
        let accepting = shared.clone();
        thread::spawn(move || accept(&accepting, &listener));
        Ok(Self { shared, address, sequence: Arc::default() })
    }

    /// From now on, the answer of one in `count` requests is lost; 0 for none.
    pub fn lose_answers(&self, count: u64) {
        self.shared.lost_of.store(count, Ordering::SeqCst);
    }

    /// Builds the next heartbeat.
    fn heartbeat(&self, state: &str) -> (String, String) {
        let Spec { id, service, zone, slots, .. } = &self.shared.spec;
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let target = format!("/basaltarch/rpc?call=instances.heartbeat&of={id}");
        let body = format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"slots\":{slots},\"state\":\"{state}\",\"coldRemainingS\":0,\
             \"sequence\":{sequence}}}",
            self.address
        );
        (target, body)
    }

    /// Sends heartbeats to a daemon until the upstream ends. Each arrives `delay` after it is sent,
    /// also if the upstream has ended meanwhile.
    pub fn send_heartbeats(&self, control: SocketAddr, delay: Duration) {
        let shared = self.shared.clone();
        let heartbeats =
            Self { shared: shared.clone(), address: self.address, sequence: self.sequence.clone() };
        thread::spawn(move || {
            let is_over = || {
                shared.is_down.load(Ordering::SeqCst) || shared.is_leaving.load(Ordering::SeqCst)
            };
            while !is_over() {
                let draining_delay =
                    Duration::from_millis(shared.draining_delay.load(Ordering::SeqCst));
                let is_draining = !draining_delay.is_zero();
                let delay = if is_draining { draining_delay } else { delay };
                let (target, body) =
                    heartbeats.heartbeat(if is_draining { "draining" } else { "ready" });
                let (record, id) = (shared.runs.record.clone(), shared.spec.id.clone());
                record.note(format!("upstream {id} sends a heartbeat"));
                let deliver = move || deliver(&record, &id, control, &target, &body);
                if delay.is_zero() {
                    deliver();
                } else {
                    thread::spawn(move || {
                        thread::sleep(delay);
                        deliver();
                    });
                }
                sleep_unless(HEARTBEAT_PERIOD, || shared.is_down.load(Ordering::SeqCst));
            }
        });
    }

    /// Begins to drain: the heartbeats say so from now on, and arrive after `delay`, whatever becomes
    /// of the upstream.
    pub fn drain(&self, delay: Duration) {
        self.shared.runs.record.note(format!("upstream {} drains", self.shared.spec.id));
        self.shared.draining_delay.store(delay.as_millis() as u64, Ordering::SeqCst);
    }

    /// Sends one more heartbeat that says ready, which arrives after `delay`.
    pub fn send_late_heartbeat(&self, control: SocketAddr, delay: Duration) {
        let (target, body) = self.heartbeat("ready");
        let (record, id) = (self.shared.runs.record.clone(), self.shared.spec.id.clone());
        record.note(format!("upstream {id} sends a heartbeat, which is held up"));
        thread::spawn(move || {
            thread::sleep(delay);
            deliver(&record, &id, control, &target, &body);
        });
    }

    /// Deregisters the upstream, which serves on, and returns the status of the answer.
    pub fn deregister(&self, control: SocketAddr) -> io::Result<u16> {
        self.shared.is_leaving.store(true, Ordering::SeqCst);
        let id = &self.shared.spec.id;
        let target = format!("/basaltarch/rpc?call=instances.deregister&of={id}");
        let head = http::call(control, "POST", &target, &[], b"", HEARTBEAT_TIME_MAX)?;
        Ok(head.status())
    }

    /// Ends the incarnation without a word, as a crash does.
    pub fn crash(&self) {
        self.shared.runs.record.note(format!("upstream {} crashes", self.shared.spec.id));
        self.shared.is_down.store(true, Ordering::SeqCst);
        if let Ok(mut streams) = self.shared.streams.lock() {
            for stream in streams.drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
        // The listener closes within one step.
        thread::sleep(STEP * 3);
    }
}

fn deliver(record: &Record, id: &str, control: SocketAddr, target: &str, body: &str) {
    let fields = [("Content-Type", "application/json")];
    let reply = http::call(control, "POST", target, &fields, body.as_bytes(), HEARTBEAT_TIME_MAX);
    let outcome = match reply {
        Ok(reply) => reply.status().to_string(),
        Err(error) => error.to_string(),
    };
    record.note(format!("heartbeat of {id} arrives: {outcome}"));
}

/// Sleeps for a time, or until a condition holds.
fn sleep_unless(length: Duration, is_over: impl Fn() -> bool) {
    let until = Instant::now() + length;
    while Instant::now() < until && !is_over() {
        thread::sleep(STEP);
    }
}

fn accept(shared: &Arc<Shared>, listener: &TcpListener) {
    while !shared.is_down.load(Ordering::SeqCst) {
        match listener.accept() {
            Ok((stream, _)) => {
                let shared = shared.clone();
                thread::spawn(move || {
                    let _ = serve(&shared, stream);
                });
            }
            Err(_) => thread::sleep(Duration::from_millis(1)),
        }
    }
}

fn serve(shared: &Arc<Shared>, stream: TcpStream) -> io::Result<()> {
    stream.set_nonblocking(false)?;
    stream.set_nodelay(true)?;
    if let Ok(mut streams) = shared.streams.lock() {
        streams.push(stream.try_clone()?);
    }
    let mut reader = MessageReader::new(stream);
    loop {
        let head = reader.read_head()?;
        let _body = reader.read_body(&head, false)?;
        if shared.is_down.load(Ordering::SeqCst) {
            return Ok(());
        }
        if head.target() == "/health" {
            thread::sleep(HEALTH_TIME);
            let fields = format!("Instance-Id: {}\r\nContent-Length: 0\r\n", shared.spec.id);
            let is_leaving = shared.draining_delay.load(Ordering::SeqCst) > 0
                || shared.is_leaving.load(Ordering::SeqCst);
            let status = if is_leaving { "503 Service Unavailable" } else { "200 OK" };
            write(&mut reader.stream, status, &fields, b"")?;
            continue;
        }
        if !answer(shared, &mut reader.stream, &head)? {
            let _ = reader.stream.shutdown(Shutdown::Both);
            return Ok(());
        }
    }
}

fn write(stream: &mut TcpStream, status: &str, fields: &str, body: &[u8]) -> io::Result<()> {
    let mut bytes = format!("HTTP/1.1 {status}\r\n{fields}\r\n").into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Serves one request; returns whether the connection is used on.
fn answer(shared: &Arc<Shared>, stream: &mut TcpStream, head: &Head) -> io::Result<bool> {
    let (runs, id) = (&shared.runs, shared.spec.id.as_str());
    let Some(request) = head.field("request-id").map(str::to_owned) else {
        write(stream, "400 Bad Request", "Not-Executed: 1\r\nContent-Length: 0\r\n", b"")?;
        return Ok(true);
    };
    let named = format!("Request-Id: {request}\r\n");
    runs.note(id, &request, RunKind::Arrived);
    if head.field("expect-instance").is_some_and(|expected| expected != id) {
        runs.note(id, &request, RunKind::NotRun);
        let fields =
            format!("{named}Instance-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n");
        write(stream, "421 Misdirected Request", &fields, b"")?;
        return Ok(true);
    }
    let millis = head.field("deadline-ms").and_then(|text| text.parse().ok()).unwrap_or(10_000);
    let deadline = Instant::now() + Duration::from_millis(millis);
    if !take_slot(shared, stream, deadline) {
        runs.note(id, &request, RunKind::NotRun);
        let fields = format!("{named}Not-Executed: 1\r\nContent-Length: 0\r\n");
        write(stream, "503 Service Unavailable", &fields, b"")?;
        return Ok(true);
    }
    let result = run(shared, stream, head, &request, deadline);
    if let Ok(mut slots) = shared.slots.lock() {
        slots.running -= 1;
    }
    shared.freed.notify_all();
    result
}

/// Waits for a slot; returns `false` if the queue is full or the deadline passes.
fn take_slot(shared: &Shared, stream: &TcpStream, deadline: Instant) -> bool {
    let Ok(mut slots) = shared.slots.lock() else { return false };
    if slots.running >= shared.spec.slots && slots.waiting >= QUEUE {
        return false;
    }
    slots.waiting += 1;
    while slots.running >= shared.spec.slots {
        let Ok((next, _)) = shared.freed.wait_timeout(slots, STEP) else { return false };
        slots = next;
        if Instant::now() >= deadline || is_closed(stream) {
            slots.waiting -= 1;
            return false;
        }
    }
    slots.waiting -= 1;
    slots.running += 1;
    true
}

/// Says whether the other side has closed the connection.
fn is_closed(stream: &TcpStream) -> bool {
    let mut byte = [0];
    let _ = stream.set_nonblocking(true);
    let result = stream.peek(&mut byte);
    let _ = stream.set_nonblocking(false);
    match result {
        Ok(0) => true,
        Ok(_) => false,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}

/// How a time of work ended.
enum WorkEnd {
    Done,
    Closed,
    TimedOut,
}

fn work(shared: &Shared, stream: &TcpStream, until: Instant, deadline: Instant) -> WorkEnd {
    loop {
        let now = Instant::now();
        if now >= until {
            return WorkEnd::Done;
        }
        if now >= deadline {
            return WorkEnd::TimedOut;
        }
        if shared.is_down.load(Ordering::SeqCst) || is_closed(stream) {
            return WorkEnd::Closed;
        }
        thread::sleep(STEP.min(until - now));
    }
}

fn run(
    shared: &Shared,
    stream: &mut TcpStream,
    head: &Head,
    request: &str,
    deadline: Instant,
) -> io::Result<bool> {
    let (runs, id) = (&shared.runs, shared.spec.id.as_str());
    runs.note_from(id, request, RunKind::Began, head.field("caller-service"));
    let began = Instant::now();
    let until = began + shared.spec.work;
    let common = format!("Request-Id: {request}\r\nServer-Stamp: {id}.{request}\r\n");
    let pieces: Vec<(Instant, Vec<u8>)> = match shared.spec.style {
        AnswerStyle::AtEnd => {
            let body = format!("{id} ran {} {}\n", head.method(), head.target());
            vec![(until, body.into_bytes())]
        }
        AnswerStyle::Pieces { count, bytes } => {
            let at = |index: usize| began + shared.spec.work.mul_f64(index as f64 / count as f64);
            (1..=count).map(|index| (at(index), vec![b'x'; bytes / count])).collect()
        }
        AnswerStyle::EarlyHead { bytes } => {
            vec![(began, vec![b'x'; bytes / 2]), (until, vec![b'x'; bytes / 2])]
        }
    };
    let length: usize = pieces.iter().map(|(_, piece)| piece.len()).sum();
    for (index, (at, piece)) in pieces.iter().enumerate() {
        match work(shared, stream, *at, deadline) {
            WorkEnd::Done => {}
            WorkEnd::Closed => {
                runs.note(id, request, RunKind::Dropped);
                return Ok(false);
            }
            WorkEnd::TimedOut => {
                runs.note(id, request, RunKind::TimedOut);
                if index > 0 {
                    return Ok(false);
                }
                let fields = format!("{common}Content-Length: 0\r\n");
                write(stream, "504 Gateway Timeout", &fields, b"")?;
                return Ok(true);
            }
        }
        if index == 0 {
            let lost_of = shared.lost_of.load(Ordering::SeqCst);
            let count = shared.run_count.fetch_add(1, Ordering::SeqCst) + 1;
            if lost_of > 0 && count % lost_of == 0 {
                runs.note(id, request, RunKind::AnswerLost);
                return Ok(false);
            }
            let fields = format!("{common}Content-Length: {length}\r\n");
            write(stream, "200 OK", &fields, piece)?;
        } else {
            stream.write_all(piece)?;
        }
    }
    runs.note(id, request, RunKind::Ended);
    Ok(true)
}
