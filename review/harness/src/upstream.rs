//! A stand-in of an upstream that registers with the daemon on its machine.

use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::CALL_PATIENCE;
use crate::message::{self, MessageHead, MessageStream};
use crate::record::CaseRecord;

/// Slots of each upstream, as in the small deployment.
const SLOTS: usize = 4;
/// Interval of the heartbeats (`heartbeatS`).
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1500);
/// Time after which an upstream closes an idle connection.
const IDLE_TIME: Duration = Duration::from_secs(15);

/// Length of an answer that is sent without a length.
pub const UNFRAMED_BYTES: usize = 32 << 20;
/// Length of the pieces of such an answer.
const UNFRAMED_PIECE_BYTES: usize = 64 * 1024;

/// `UpstreamAct` is what an upstream does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamAct {
    /// Reads the whole body, runs the request for this time and answers 200.
    Run(Duration),
    /// Reads the whole body, runs the request and answers 500, as a gray server does.
    Fail,
    /// Reads the whole body and answers 503 with `Not-Executed`: the queue is full.
    Shed,
    /// Answers 503 with `Not-Executed` before it reads the body, keeps the connection and reads the
    /// rest of the body after this time.
    ShedEarly(Duration),
    /// Answers 200 without a length before it reads the request's body, and resets the connection
    /// after this time, in the middle of its answer.
    AnswerUnframedAndReset(Duration),
    /// Answers 200 without a length before it reads the request's body, and ends the connection
    /// after the whole answer.
    AnswerUnframed,
    /// Answers 200 with a long body, piece by piece, before it reads the request's body, and reads
    /// that body meanwhile.
    AnswerEarly,
}

/// `BodyLedger` holds what clients sent, and finds requests that ran with another body.
#[derive(Default)]
pub struct BodyLedger {
    sent: Mutex<HashMap<String, Vec<u8>>>,
    /// Descriptions of broken rules.
    pub broken: Mutex<Vec<String>>,
    /// Number of runs.
    pub runs: AtomicUsize,
    /// Number of requests that an upstream turned away or failed.
    pub troubled: AtomicUsize,
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

impl BodyLedger {
    /// Notes the body of a request before it is sent.
    pub fn note_sent(&self, id: &str, body: &[u8]) {
        lock(&self.sent).insert(id.to_owned(), body.to_vec());
    }

    /// Returns the body that a client sent with this id.
    pub fn sent(&self, id: &str) -> Option<Vec<u8>> {
        lock(&self.sent).get(id).cloned()
    }

    /// Records a broken rule.
    pub fn note_broken(&self, record: &CaseRecord, text: String) {
        record.line(format!("BROKEN {text}"));
        lock(&self.broken).push(text);
    }

    /// Returns the number of broken rules.
    pub fn broken_count(&self) -> usize {
        lock(&self.broken).len()
    }
}

/// `UpstreamStandin` is an upstream; its clones are the same upstream.
#[derive(Clone)]
pub struct UpstreamStandin {
    shared: Arc<Shared>,
}

struct Shared {
    id: String,
    service: String,
    zone: String,
    address: SocketAddr,
    control: SocketAddr,
    record: CaseRecord,
    ledger: Arc<BodyLedger>,
    sequence: AtomicU64,
    running: AtomicUsize,
    beats: AtomicBool,
    leaves: AtomicBool,
    decide: Box<dyn Fn(&MessageHead) -> UpstreamAct + Send + Sync>,
}

impl UpstreamStandin {
    /// Starts an upstream; `decide` says what it does with each request.
    pub fn start(
        id: &str,
        place: (&str, &str, SocketAddr),
        record: &CaseRecord,
        ledger: &Arc<BodyLedger>,
        decide: impl Fn(&MessageHead) -> UpstreamAct + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let (service, zone, control) = place;
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr()?,
            control,
            record: record.clone(),
            ledger: ledger.clone(),
            sequence: AtomicU64::new(1),
            running: AtomicUsize::new(0),
            beats: AtomicBool::new(true),
            leaves: AtomicBool::new(false),
            decide: Box::new(decide),
        });
        let upstream = Self { shared };
        let serving = upstream.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                thread::spawn(move || {
                    // A broken connection ends only itself.
                    let _ = serving.serve(stream);
                });
            }
        });
        let beating = upstream.clone();
        thread::spawn(move || beating.beat());
        Ok(upstream)
    }

    /// Returns the id of the upstream.
    pub fn id(&self) -> &str {
        &self.shared.id
    }

    fn beat(&self) {
        while self.shared.beats.load(Ordering::SeqCst) {
            let sequence = self.shared.sequence.fetch_add(1, Ordering::SeqCst);
            let _ = self.send_heartbeat(sequence);
            thread::sleep(HEARTBEAT_INTERVAL);
        }
    }

    /// Sends a heartbeat in the state `ready` with this sequence.
    pub fn send_heartbeat(&self, sequence: u64) -> io::Result<u16> {
        let Shared { id, service, zone, address, control, .. } = &*self.shared;
        let body = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"slots\":{SLOTS},\"state\":\"ready\",\"coldRemainingS\":0,\
             \"sequence\":{sequence}}}"
        );
        let target = format!("/basaltarch/rpc?call=instances.heartbeat&of={id}");
        let (status, _) = message::call(*control, "POST", &target, &body, CALL_PATIENCE)?;
        Ok(status)
    }

    /// Returns the sequence that the last heartbeat had.
    pub fn last_sequence(&self) -> u64 {
        self.shared.sequence.load(Ordering::SeqCst).saturating_sub(1)
    }

    /// Stops the heartbeats and says that the upstream leaves; returns the status of the answer.
    /// From then on the health path answers 503.
    pub fn deregister(&self) -> io::Result<u16> {
        self.shared.beats.store(false, Ordering::SeqCst);
        self.shared.leaves.store(true, Ordering::SeqCst);
        let target = format!("/basaltarch/rpc?call=instances.deregister&of={}", self.shared.id);
        let (status, _) = message::call(self.shared.control, "POST", &target, "", CALL_PATIENCE)?;
        Ok(status)
    }

    fn serve(&self, tcp: TcpStream) -> io::Result<()> {
        tcp.set_read_timeout(Some(IDLE_TIME))?;
        let mut stream = MessageStream::new(tcp);
        while let Some(head) = stream.read_head()? {
            if head.second_word() == "/health" {
                self.answer_health(&mut stream)?;
                continue;
            }
            let expected = head.field("expect-instance");
            if expected.is_some_and(|expected| expected != self.shared.id) {
                stream.read_body(&head)?;
                let id = head.field("request-id").unwrap_or_default();
                self.shared.record.line(format!("{} answers 421 to {id}", self.shared.id));
                stream.write(
                    self.head_of(421, id, "Not-Executed: 1\r\nContent-Length: 0\r\n").as_bytes(),
                )?;
                continue;
            }
            self.handle(&mut stream, &head)?;
        }
        Ok(())
    }

    fn answer_health(&self, stream: &mut MessageStream) -> io::Result<()> {
        let leaves = self.shared.leaves.load(Ordering::SeqCst);
        let status = if leaves { "503 Service Unavailable" } else { "200 OK" };
        let id = &self.shared.id;
        let head = format!("HTTP/1.1 {status}\r\nInstance-Id: {id}\r\nContent-Length: 0\r\n\r\n");
        stream.write(head.as_bytes())
    }

    /// Builds the head of an answer; `fields` end with a line end.
    fn head_of(&self, status: u16, id: &str, fields: &str) -> String {
        let running = self.shared.running.load(Ordering::SeqCst);
        let own = &self.shared.id;
        format!(
            "HTTP/1.1 {status} Status\r\nRequest-Id: {id}\r\nServer-Stamp: {own}.{status}\r\n\
             Instance-Id: {own}\r\nServer-Load: {running},0,{SLOTS}\r\n{fields}\r\n"
        )
    }

    fn handle(&self, stream: &mut MessageStream, head: &MessageHead) -> io::Result<()> {
        let id = head.field("request-id").unwrap_or_default().to_owned();
        let own = self.shared.id.clone();
        let record = &self.shared.record;
        let act = (self.shared.decide)(head);
        let shed_fields = "Not-Executed: 1\r\nContent-Length: 0\r\n";
        match act {
            UpstreamAct::ShedEarly(pause) => {
                record.line(format!("{own} answers 503, not executed, to {id} before its body"));
                self.shared.ledger.troubled.fetch_add(1, Ordering::SeqCst);
                stream.write(self.head_of(503, &id, shed_fields).as_bytes())?;
                thread::sleep(pause);
                return self.read_rest(stream, head, &id);
            }
            UpstreamAct::AnswerEarly => return self.answer_early(stream, head, &id),
            UpstreamAct::AnswerUnframedAndReset(after) => {
                return self.answer_unframed_and_reset(stream, &id, after);
            }
            UpstreamAct::AnswerUnframed => return self.answer_unframed(stream, head, &id),
            _ => {}
        }
        let body = stream.read_body(head)?;
        if act == UpstreamAct::Shed {
            record.line(format!("{own} answers 503, not executed, to {id}"));
            self.shared.ledger.troubled.fetch_add(1, Ordering::SeqCst);
            return stream.write(self.head_of(503, &id, shed_fields).as_bytes());
        }
        self.run(head, &id, &body);
        let (status, work) = match act {
            UpstreamAct::Run(work) => (200, work),
            _ => (500, Duration::from_millis(20)),
        };
        self.shared.running.fetch_add(1, Ordering::SeqCst);
        thread::sleep(work);
        self.shared.running.fetch_sub(1, Ordering::SeqCst);
        if status == 500 {
            self.shared.ledger.troubled.fetch_add(1, Ordering::SeqCst);
        }
        record.line(format!("{own} answers {status} to {id}"));
        let text = format!("done {id}\n");
        let fields = format!("Content-Length: {}\r\n", text.len());
        stream.write((self.head_of(status, &id, &fields) + &text).as_bytes())
    }

    /// Counts a run, and compares the body with what the client sent.
    fn run(&self, head: &MessageHead, id: &str, body: &[u8]) {
        let Shared { id: own, record, ledger, .. } = &*self.shared;
        ledger.runs.fetch_add(1, Ordering::SeqCst);
        record.line(format!("{own} runs {id} ({}, {} bytes of body)", head.start, body.len()));
        match ledger.sent(id) {
            None => ledger.note_broken(record, format!("{own} runs {id}, which nobody sent")),
            Some(sent) if sent != body => {
                let same = sent.iter().zip(body).take_while(|(left, right)| left == right).count();
                let text = format!(
                    "{own} runs {id} with another body: the client sent {} bytes, {} arrived, the \
                     first {same} are the same",
                    sent.len(),
                    body.len()
                );
                ledger.note_broken(record, text);
            }
            Some(_) => {}
        }
    }

    /// Reads the rest of a body that was answered before it was read. All bytes until the declared
    /// length must be those of the body.
    fn read_rest(
        &self,
        stream: &mut MessageStream,
        head: &MessageHead,
        id: &str,
    ) -> io::Result<()> {
        let Shared { id: own, record, ledger, .. } = &*self.shared;
        let sent = ledger.sent(id).unwrap_or_default();
        let length = head.length().unwrap_or(0);
        let mut offset = 0;
        while offset < length {
            let piece = stream.read_some(length - offset)?;
            if piece.is_empty() {
                record.line(format!(
                    "{own}: the connection of {id} ends after {offset} bytes of {length}"
                ));
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let due = sent.get(offset..offset + piece.len()).unwrap_or_default();
            if due != piece {
                let same = due.iter().zip(&piece).take_while(|(left, right)| left == right).count();
                let got = String::from_utf8_lossy(&piece[same..piece.len().min(same + 60)]);
                let text = format!(
                    "{own} gets other bytes where the rest of the body of {id} is due, at {}: {:?}",
                    offset + same,
                    got
                );
                ledger.note_broken(record, text);
                return Err(io::ErrorKind::InvalidData.into());
            }
            offset += piece.len();
        }
        record.line(format!("{own} read the rest of the body of {id}: {length} bytes, as sent"));
        Ok(())
    }

    /// Answers with a long body while the request's body is read.
    fn answer_early(
        &self,
        stream: &mut MessageStream,
        head: &MessageHead,
        id: &str,
    ) -> io::Result<()> {
        const PIECES: usize = 20;
        const PIECE_BYTES: usize = 4096;
        let own = &self.shared.id;
        self.shared.record.line(format!("{own} runs {id} and answers 200 before its body"));
        self.shared.ledger.runs.fetch_add(1, Ordering::SeqCst);
        self.shared.ledger.troubled.fetch_add(1, Ordering::SeqCst);
        let fields = format!("Content-Length: {}\r\n", PIECES * PIECE_BYTES);
        stream.write(self.head_of(200, id, &fields).as_bytes())?;
        let mut writing = stream.tcp.try_clone()?;
        let writer = thread::spawn(move || {
            use std::io::Write as _;
            for _ in 0..PIECES {
                if writing.write_all(&[b'a'; PIECE_BYTES]).is_err() {
                    return;
                }
                thread::sleep(Duration::from_millis(30));
            }
        });
        let result = self.read_rest(stream, head, id);
        let _ = writer.join();
        result
    }

    /// Starts an answer without a length; it ends with the connection.
    fn start_unframed(&self, stream: &mut MessageStream, id: &str) -> io::Result<()> {
        self.shared
            .record
            .line(format!("{} runs {id} and answers 200 without a length", self.id()));
        self.shared.ledger.runs.fetch_add(1, Ordering::SeqCst);
        stream.write(self.head_of(200, id, "Connection: close\r\n").as_bytes())
    }

    /// Sends a part of the answer, as much as the connection takes, and resets the connection: it is
    /// closed while bytes of the request are unread.
    fn answer_unframed_and_reset(
        &self,
        stream: &mut MessageStream,
        id: &str,
        after: Duration,
    ) -> io::Result<()> {
        let end = Instant::now() + after;
        self.start_unframed(stream, id)?;
        stream.tcp.set_write_timeout(Some(Duration::from_millis(50)))?;
        let (piece, mut sent) = (vec![b'a'; UNFRAMED_PIECE_BYTES], 0);
        while Instant::now() < end && sent + piece.len() < UNFRAMED_BYTES {
            match io::Write::write(&mut stream.tcp, &piece) {
                Ok(count) => sent += count,
                Err(error) if is_timeout(&error) => {}
                Err(error) => return Err(error),
            }
        }
        thread::sleep(end.saturating_duration_since(Instant::now()));
        self.shared.ledger.troubled.fetch_add(1, Ordering::SeqCst);
        self.shared.record.line(format!(
            "{} resets the connection of {id} after {sent} of {UNFRAMED_BYTES} bytes of its answer",
            self.id()
        ));
        Err(io::ErrorKind::ConnectionReset.into())
    }

    /// Sends the whole answer while it reads the request's body, and ends the connection.
    fn answer_unframed(
        &self,
        stream: &mut MessageStream,
        head: &MessageHead,
        id: &str,
    ) -> io::Result<()> {
        self.start_unframed(stream, id)?;
        let mut writing = stream.tcp.try_clone()?;
        let writer = thread::spawn(move || {
            let piece = vec![b'a'; UNFRAMED_PIECE_BYTES];
            (0..UNFRAMED_BYTES / UNFRAMED_PIECE_BYTES)
                .try_for_each(|_| io::Write::write_all(&mut writing, &piece))
        });
        stream.read_body(head)?;
        let sent = writer.join().map_err(|_| io::Error::other("the writer ended"))?;
        self.shared.record.line(format!("{} ends the whole answer of {id}: {sent:?}", self.id()));
        // The answer is complete, and so is the request: the end of the connection is no reset.
        Err(io::ErrorKind::ConnectionAborted.into())
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
}
