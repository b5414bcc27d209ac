// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Callers that send a mix of requests: they keep their connections, open new ones or pipeline,
//! leave early, and come back after a refusal.

use std::rc::Rc;
use std::time::{Duration, Instant};

use basaltarch_http::body::BodyLimits;
use basaltarch_http::client::{self, ClientReply};
use basaltarch_http::connection::HttpStream;
use basaltarch_platform::headers;
use bytes::Bytes;
use http::{header, HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::callers::{self, AnswerViolation, CallerCrowd, PlainRequests};
use crate::fleet::SoakHost;
use crate::mix::{CallerHabit, RequestClass, RequestMix};
use crate::operator::REQUESTED_HOST;

/// Time-out for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after its deadline for which a caller still reads the answer.
const LATE_ANSWER_TIME: Duration = Duration::from_secs(1);
/// Number of times that a caller comes back after a refusal.
const RETURNS_MAX: usize = 3;
/// Longest number of requests that are sent before the first is answered.
const PIPELINE_MAX: usize = 4;
/// Factor by which callers send more requests during an overload.
const CROWD_FACTOR: f64 = 4.0;
/// Header field by which a request tells its service time to the simulated server.
const WORK_TIME: HeaderName = HeaderName::from_static("x-work-ms");

/// `MixCaller` holds the settings and the state of a caller.
pub struct MixCaller {
    /// Host whose daemon gets the requests.
    pub host: Rc<SoakHost>,
    /// Index of the caller among those of its host.
    pub caller_index: usize,
    /// Mix of the requests.
    pub mix: Rc<RequestMix>,
    /// Says whether the fleet is overloaded.
    pub crowd: Rc<CallerCrowd>,
    /// Outcomes of the non-repeatable requests of all callers.
    pub plain_requests: Rc<PlainRequests>,
    /// Generator of the caller's random numbers.
    pub rng: ChaCha8Rng,
    request_count: usize,
    kept: Option<(u64, HttpStream)>,
}

/// `MixSample` is the outcome of one request.
#[derive(Debug, Clone)]
pub struct MixSample {
    /// Id of the request.
    pub id: String,
    /// Name of the class.
    pub class: String,
    /// Status of the answer, if there is one.
    pub status: Option<StatusCode>,
    /// Guarantee that the answer violates.
    pub violation: Option<AnswerViolation>,
}

impl MixCaller {
    /// Builds a caller without a connection.
    pub fn new(
        host: Rc<SoakHost>,
        caller_index: usize,
        mix: Rc<RequestMix>,
        crowd: Rc<CallerCrowd>,
        plain_requests: Rc<PlainRequests>,
        rng: ChaCha8Rng,
    ) -> Self {
        let (request_count, kept) = (0, None);
        Self { host, caller_index, mix, crowd, plain_requests, rng, request_count, kept }
    }

    /// Sends requests for ever, and passes the outcome of each request to `on_sample`.
    pub async fn run(mut self, on_sample: impl Fn(MixSample)) {
        loop {
            let spread = self.rng.random_range(0.2..1.8);
            let factor = if self.crowd.is_raised() { CROWD_FACTOR } else { 1.0 };
            monoio::time::sleep(self.mix.pause().mul_f64(spread / factor)).await;
            let mix = self.mix.clone();
            let Some(class) = mix.draw_class(&mut self.rng) else { return };
            match class.habit {
                CallerHabit::Pipeline => self.send_pipelined(class, &on_sample).await,
                CallerHabit::Pool | CallerHabit::Fresh => self.send(class, &on_sample).await,
            }
        }
    }

    /// Sends a request, and comes back with a new id while it is refused.
    async fn send(&mut self, class: &RequestClass, on_sample: &impl Fn(MixSample)) {
        let deadline = Instant::now() + class.deadline();
        for return_count in 0..=RETURNS_MAX {
            let time_left = deadline.saturating_duration_since(Instant::now());
            if time_left.is_zero() {
                return;
            }
            let is_fresh = class.habit == CallerHabit::Fresh || return_count > 0;
            let Some(mut stream) = self.connect(is_fresh).await else { return };
            let id = self.next_id();
            let request_headers = self.build_headers(class, &id, time_left);
            let body = self.draw_body(class, &id);
            let wait = self.draw_wait(class, time_left);
            let exchange = exchange(&mut stream, class, request_headers, body);
            let reply = monoio::time::timeout(wait, exchange).await.ok().flatten();
            let is_kept = reply.as_ref().is_some_and(|(_, closes)| !closes);
            let reply = reply.map(|(reply, _)| reply);
            on_sample(self.note_reply(class, &id, reply.as_ref()));
            self.kept = (is_kept && !is_fresh).then(|| (self.host.daemon_incarnation(), stream));
            let Some(pause) = reply.as_ref().and_then(return_pause) else { return };
            monoio::time::sleep(pause.min(time_left / 3)).await;
        }
    }

    /// Sends several requests before the first is answered.
    async fn send_pipelined(&mut self, class: &RequestClass, on_sample: &impl Fn(MixSample)) {
        let Some(mut stream) = self.connect(false).await else { return };
        let count = self.rng.random_range(1..=PIPELINE_MAX);
        let ids: Vec<String> = (0..count).map(|_| self.next_id()).collect();
        let method = method_of(class);
        for id in &ids {
            let request_headers = self.build_headers(class, id, class.deadline());
            let target = target_of(class);
            let body = Bytes::new();
            let sending = client::send(&mut stream, &method, &target, &request_headers, body);
            if sending.await.is_err() {
                return;
            }
        }
        let wait = self.draw_wait(class, class.deadline());
        let until = Instant::now() + wait;
        for id in &ids {
            let time_left = until.saturating_duration_since(Instant::now());
            let receiving = client::receive(&mut stream, &method, BodyLimits::default());
            let reply = monoio::time::timeout(time_left, receiving).await;
            let Ok(Ok((reply, closes))) = reply else { return };
            on_sample(self.note_reply(class, id, Some(&reply)));
            if closes {
                return;
            }
        }
        self.kept = Some((self.host.daemon_incarnation(), stream));
    }

    /// Takes the kept connection, or opens one; waits while the daemon is down.
    async fn connect(&mut self, is_fresh: bool) -> Option<HttpStream> {
        let kept = self.kept.take();
        if let Some((incarnation, mut stream)) = kept.filter(|_| !is_fresh) {
            let is_same_daemon = incarnation == self.host.daemon_incarnation();
            if is_same_daemon && client::is_reusable(&mut stream) {
                return Some(stream);
            }
        }
        let Some(address) = self.host.caller_address() else {
            monoio::time::sleep(callers::DAEMON_POLL_INTERVAL).await;
            return None;
        };
        HttpStream::connect(address, CONNECT_TIMEOUT).await.ok()
    }

    fn next_id(&mut self) -> String {
        self.request_count += 1;
        format!("{}-m{}-{}", self.host.name, self.caller_index, self.request_count)
    }

    /// Draws for how long the caller waits: some callers leave early.
    fn draw_wait(&mut self, class: &RequestClass, time_left: Duration) -> Duration {
        if self.rng.random_bool(self.mix.leave_share.clamp(0.0, 1.0)) {
            let objective = Duration::from_millis(class.objective_ms.into());
            return objective.mul_f64(self.rng.random_range(0.0..0.5));
        }
        time_left + LATE_ANSWER_TIME
    }

    fn build_headers(&mut self, class: &RequestClass, id: &str, time_left: Duration) -> HeaderMap {
        let fields = headers::exchange_fields();
        let work_ms = (class.work_ms * self.rng.random_range(0.4..1.9)) as u64;
        let mut request_headers = HeaderMap::new();
        request_headers.insert(header::HOST, HeaderValue::from_static(REQUESTED_HOST));
        if let (Some(name), Ok(value)) = (fields.request, HeaderValue::from_str(id)) {
            request_headers.insert(name, value);
        }
        let deadline_ms = time_left.as_millis() as u64;
        request_headers.insert(fields.deadline, HeaderValue::from(deadline_ms));
        request_headers.insert(WORK_TIME, HeaderValue::from(work_ms));
        request_headers
    }

    fn draw_body(&mut self, class: &RequestClass, id: &str) -> Bytes {
        let bytes = class.body_bytes as f64 * self.rng.random_range(0.2..3.0);
        Bytes::from(id.bytes().cycle().take(bytes as usize).collect::<Vec<u8>>())
    }

    fn note_reply(&self, class: &RequestClass, id: &str, reply: Option<&ClientReply>) -> MixSample {
        let status = reply.map(|reply| reply.status);
        if !class.repeatable {
            self.plain_requests.note(id, &class.name, status);
        }
        let is_own = |reply: &ClientReply| reply.body.ends_with(format!(" {id}\n").as_bytes());
        let violation = reply
            .filter(|reply| reply.status == StatusCode::OK && !is_own(reply))
            .map(|_| AnswerViolation::NotItsOwn);
        MixSample { id: id.to_owned(), class: class.name.clone(), status, violation }
    }
}

/// Returns how long a caller waits before it comes back, if the answer is a refusal.
fn return_pause(reply: &ClientReply) -> Option<Duration> {
    if !callers::reports_not_run(reply.status) {
        return None;
    }
    let value = reply.headers.get(header::RETRY_AFTER).and_then(|value| value.to_str().ok());
    let seconds = value.and_then(|text| text.parse::<f64>().ok()).unwrap_or(0.0);
    Some(Duration::from_secs_f64(seconds.clamp(0.0, 60.0)))
}

fn method_of(class: &RequestClass) -> Method {
    Method::from_bytes(class.method.as_bytes()).unwrap_or(Method::GET)
}

fn target_of(class: &RequestClass) -> String {
    format!("{}x", class.path_prefix())
}

/// Sends a request and reads its answer; also returns whether the connection ends after it.
async fn exchange(
    stream: &mut HttpStream,
    class: &RequestClass,
    request_headers: HeaderMap,
    body: Bytes,
) -> Option<(ClientReply, bool)> {
    let method = method_of(class);
    client::send(stream, &method, &target_of(class), &request_headers, body).await.ok()?;
    client::receive(stream, &method, BodyLimits::default()).await.ok()
}
