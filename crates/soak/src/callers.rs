// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Simulated callers of every daemon, which request the routes that the operator just changed and
//! classify the responses.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use basaltarch_http::client::{ClientReply, HttpClient};
use basaltarch_platform::headers;
use basaltarch_standin::backend::uploads::{self, UploadAct};
use bytes::Bytes;
use fnv::FnvHashMap;
use http::{header, HeaderMap, HeaderValue, Method, StatusCode};
use rand::seq::IndexedRandom;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::checker::{CallerSample, SeenAnswer};
use crate::fleet::{self, SoakHost};
use crate::operator::{RequestedRoute, SoakOperator, REQUESTED_HOST};

/// Deadline of a request, which the caller sends along in a header field.
const REQUEST_DEADLINE: Duration = Duration::from_secs(2);
/// Shortest and longest pause between two requests of a caller, in milliseconds.
const REQUEST_PAUSE_MS: std::ops::RangeInclusive<u64> = 40..=120;
/// Interval at which a caller checks whether its daemon is up again.
pub const DAEMON_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// `AnswerViolation` is a guarantee of one exchange that was violated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerViolation {
    /// The body of a successful response is truncated, or is the response to another request.
    NotItsOwn,
    /// The response reported that the request was not run, but a backend server ran it.
    RanAfterAll,
    /// A non-repeatable request ran more than once; the value is how often the request ran.
    RanTwice(u64),
}

/// `PlainRequests` records the outcomes of non-repeatable requests, to compare them with the run
/// counters of the backend servers.
#[derive(Default)]
pub struct PlainRequests {
    /// Outcome of each request, by its id.
    by_id: RefCell<FnvHashMap<String, PlainOutcome>>,
}

/// `PlainOutcome` is what a caller was told of a non-repeatable request.
struct PlainOutcome {
    route: String,
    /// Whether the response reported that the request was not run.
    was_refused: bool,
}

impl PlainRequests {
    /// Records the status that a caller got for a non-repeatable request, if it got one.
    pub fn note(&self, id: &str, route: &str, status: Option<StatusCode>) {
        let was_refused = status.is_some_and(reports_not_run);
        let outcome = PlainOutcome { route: route.to_owned(), was_refused };
        self.by_id.borrow_mut().insert(id.to_owned(), outcome);
    }

    /// Returns the number of requests that were reported as not run.
    pub fn refused_count(&self) -> usize {
        self.by_id.borrow().values().filter(|outcome| outcome.was_refused).count()
    }

    /// Returns the id, the route and the violation of each violating request; `runs` maps the id of
    /// a request to how often the backend servers ran the request.
    pub fn violations(
        &self,
        runs: &FnvHashMap<String, u64>,
    ) -> Vec<(String, String, AnswerViolation)> {
        let by_id = self.by_id.borrow();
        let violations = by_id.iter().filter_map(|(id, outcome)| {
            let run_count = runs.get(id).copied().unwrap_or(0);
            let violation = match (outcome.was_refused, run_count) {
                (true, 1..) => AnswerViolation::RanAfterAll,
                (false, 2..) => AnswerViolation::RanTwice(run_count),
                _ => return None,
            };
            Some((id.clone(), outcome.route.clone(), violation))
        });
        violations.collect()
    }
}

/// `CallerPlan` holds the settings and the state of a caller.
pub struct CallerPlan {
    /// Index of the host whose daemon gets the requests.
    pub host_index: usize,
    /// The host whose daemon gets the requests.
    pub host: Rc<SoakHost>,
    /// Index of the caller among those of its host.
    pub caller_index: usize,
    /// The operator, which knows the newest step.
    pub operator: Rc<SoakOperator>,
    /// The non-repeatable requests of all callers.
    pub plain_requests: Rc<PlainRequests>,
    /// Time at which the run began.
    pub began: Instant,
    /// The crowd that the caller belongs to, if it sends requests only during an overload.
    pub crowd: Option<Rc<CallerCrowd>>,
    /// Generator of the caller's random numbers.
    pub rng: ChaCha8Rng,
}

/// `CallerCrowd` says whether the callers of an overload send requests.
#[derive(Debug, Default)]
pub struct CallerCrowd {
    overload_count: Cell<usize>,
}

impl CallerCrowd {
    /// Lets the callers send requests; overloads may overlap.
    pub fn raise(&self) {
        self.overload_count.set(self.overload_count.get() + 1);
    }

    /// Records the end of an overload.
    pub fn lower(&self) {
        self.overload_count.set(self.overload_count.get().saturating_sub(1));
    }

    /// Says whether the fleet is overloaded.
    pub fn is_raised(&self) -> bool {
        self.overload_count.get() > 0
    }
}

/// Sends requests for ever, and passes the outcome of each request to `on_sample`.
pub async fn run(
    mut plan: CallerPlan,
    on_sample: impl Fn(CallerSample, Option<AnswerViolation>) + 'static,
) {
    let mut client: Option<(u64, HttpClient)> = None;
    let mut request_count = 0;
    loop {
        if plan.crowd.as_ref().is_some_and(|crowd| !crowd.is_raised()) {
            monoio::time::sleep(DAEMON_POLL_INTERVAL).await;
            continue;
        }
        let incarnation = plan.host.daemon_incarnation();
        let Some(address) = plan.host.caller_address() else {
            client = None;
            monoio::time::sleep(DAEMON_POLL_INTERVAL).await;
            continue;
        };
        // The client keeps its connections open until the daemon is restarted.
        if client.as_ref().is_none_or(|(connected, _)| *connected != incarnation) {
            client = Some((incarnation, HttpClient::new(address, REQUEST_DEADLINE * 2)));
        }
        request_count += 1;
        let id = format!("{}-{}-{request_count}", plan.host.name, plan.caller_index);
        let route = match &plan.crowd {
            Some(_) => RequestedRoute::Plain,
            None => choose_route(&mut plan),
        };
        let sent_at = plan.began.elapsed();
        if let Some((_, client)) = &client {
            let reply = send_request(client, route, &id).await;
            let (answer, violation) = classify(&plan, route, &id, reply.as_ref());
            let answered_at = plan.began.elapsed();
            let host = plan.host_index;
            on_sample(
                CallerSample { host, incarnation, id, sent_at, answered_at, route, answer },
                violation,
            );
        }
        let pause = plan.rng.random_range(REQUEST_PAUSE_MS);
        monoio::time::sleep(Duration::from_millis(pause)).await;
    }
}

fn choose_route(plan: &mut CallerPlan) -> RequestedRoute {
    let newest_step = plan.operator.newest_step();
    let older_step = newest_step.saturating_sub(plan.rng.random_range(1..=6));
    let routes = [
        RequestedRoute::Added(newest_step),
        RequestedRoute::Added(newest_step),
        RequestedRoute::Moved,
        RequestedRoute::Added(older_step),
        RequestedRoute::Steady,
        RequestedRoute::Plain,
        RequestedRoute::Upload(UploadAct::Digest),
        RequestedRoute::Upload(UploadAct::EarlyDigest),
        RequestedRoute::Upload(UploadAct::EarlyShed),
        RequestedRoute::Upload(UploadAct::StrayRefusal),
        RequestedRoute::Upload(UploadAct::PartialRefusal),
    ];
    *routes.choose(&mut plan.rng).unwrap_or(&RequestedRoute::Steady)
}

async fn send_request(client: &HttpClient, route: RequestedRoute, id: &str) -> Option<ClientReply> {
    let fields = headers::exchange_fields();
    let mut request_headers = HeaderMap::new();
    request_headers.insert(header::HOST, HeaderValue::from_static(REQUESTED_HOST));
    if let (Some(name), Ok(value)) = (fields.request, HeaderValue::from_str(id)) {
        request_headers.insert(name, value);
    }
    request_headers.insert(fields.deadline, HeaderValue::from(REQUEST_DEADLINE.as_millis() as u64));
    let method = if route.is_plain() { Method::POST } else { Method::GET };
    client.call(method, &route.path(), request_headers, build_body(route, id)).await.ok()
}

/// Builds the body of a request, which is empty unless the request is an upload.
fn build_body(route: RequestedRoute, id: &str) -> Bytes {
    match route {
        RequestedRoute::Upload(_) => uploads::build_body(id),
        _ => Bytes::new(),
    }
}

fn classify(
    plan: &CallerPlan,
    route: RequestedRoute,
    id: &str,
    reply: Option<&ClientReply>,
) -> (SeenAnswer, Option<AnswerViolation>) {
    let status = reply.map(|reply| reply.status);
    if route.is_plain() {
        plan.plain_requests.note(id, &format!("{route:?}"), status);
    }
    match (status, reply) {
        (Some(StatusCode::NOT_FOUND), _) => (SeenAnswer::Missing, None),
        (Some(StatusCode::OK), Some(reply)) => match read_answering_service(reply, route, id) {
            Some(service) => (SeenAnswer::ServedBy(service), None),
            None => (SeenAnswer::Inconclusive, Some(AnswerViolation::NotItsOwn)),
        },
        _ => (SeenAnswer::Inconclusive, None),
    }
}

/// Says whether a status reports that the request was not run.
pub fn reports_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::NOT_FOUND
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Returns the index of the service that answered, if the body of the response is complete and
/// names the requested path and id.
fn read_answering_service(reply: &ClientReply, route: RequestedRoute, id: &str) -> Option<usize> {
    let text = std::str::from_utf8(&reply.body).ok()?;
    let (server, rest) = text.trim_start().split_once(' ')?;
    let is_complete = match route {
        RequestedRoute::Upload(_) => {
            let body = uploads::describe(&build_body(route, id));
            rest == format!("200 {} {id} {body}\n", route.path())
        }
        _ => rest == format!("200 {} {id}\n", route.path()),
    };
    let host_index = server.strip_prefix("i-")?.parse::<usize>().ok()?;
    is_complete.then(|| fleet::service_index_of(host_index))
}
