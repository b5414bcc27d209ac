// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Simulated callers of every daemon, which request the routes that the operator just changed and
//! classify the responses.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use basaltarch_http::client::{ClientReply, HttpClient};
use basaltarch_platform::headers;
use bytes::Bytes;
use fnv::FnvHashMap;
use http::{header, HeaderMap, HeaderValue, Method, StatusCode};
use rand::seq::IndexedRandom;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::checker::{CallerSample, SeenAnswer};
use crate::fleet::{self, SoakHost};
use crate::operator::{RequestedRoute, SoakOperator, HOST};

/// Deadline of a request, sent with it.
const DEADLINE: Duration = Duration::from_secs(2);
/// Shortest and longest pause between two requests of a caller, in milliseconds.
const PAUSE_MS: std::ops::RangeInclusive<u64> = 40..=120;
/// Interval at which a caller checks whether its daemon is up again.
const DOWN_PAUSE: Duration = Duration::from_millis(50);

/// `AnswerViolation` is a guarantee of one exchange that was violated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerViolation {
    /// The body of a successful response is truncated or belongs to another request.
    NotItsOwn,
    /// The response reported that the request was not run, but a backend server ran it.
    RanAfterAll,
    /// A non-repeatable request ran this number of times, more than once.
    RanTwice(u64),
}

/// `PlainRequests` records the outcomes of non-repeatable requests, to compare them with the run
/// counters of the backend servers.
#[derive(Default)]
pub struct PlainRequests {
    /// Maps the id of each request to whether its response reported that it was not run.
    refused: RefCell<FnvHashMap<String, bool>>,
}

impl PlainRequests {
    /// Returns the violations, given how often the backend servers ran each request.
    pub fn violations(&self, runs: &FnvHashMap<String, u64>) -> Vec<(String, AnswerViolation)> {
        let refused = self.refused.borrow();
        let violations = refused.iter().filter_map(|(id, refused)| {
            let count = runs.get(id).copied().unwrap_or(0);
            match (*refused, count) {
                (true, 1..) => Some((id.clone(), AnswerViolation::RanAfterAll)),
                (false, 2..) => Some((id.clone(), AnswerViolation::RanTwice(count))),
                _ => None,
            }
        });
        violations.collect()
    }
}

/// `CallerPlan` holds the settings and the state of a caller.
pub struct CallerPlan {
    /// Index of the host.
    pub host_index: usize,
    /// The host.
    pub host: Rc<SoakHost>,
    /// Index of the caller among those of its host.
    pub caller: usize,
    /// The operator, which knows the newest step.
    pub operator: Rc<SoakOperator>,
    /// The non-repeatable requests of all callers.
    pub plain: Rc<PlainRequests>,
    /// Time at which the run began.
    pub began: Instant,
    /// Random numbers of this caller.
    pub rng: ChaCha8Rng,
}

/// Sends requests for ever, and passes the outcome of each to `on_sample`.
pub async fn run(
    mut plan: CallerPlan,
    on_sample: impl Fn(CallerSample, Option<AnswerViolation>) + 'static,
) {
    let mut client: Option<(u64, HttpClient)> = None;
    let mut count = 0;
    loop {
        let incarnation = plan.host.daemon_incarnation();
        let Some(address) = plan.host.callers() else {
            client = None;
            monoio::time::sleep(DOWN_PAUSE).await;
            continue;
        };
        // A client and its connections are kept until the daemon is restarted.
        if client.as_ref().is_none_or(|(connected, _)| *connected != incarnation) {
            client = Some((incarnation, HttpClient::new(address, DEADLINE * 2)));
        }
        count += 1;
        let id = format!("{}-{}-{count}", plan.host.name, plan.caller);
        let route = choose_route(&mut plan);
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
        let pause = plan.rng.random_range(PAUSE_MS);
        monoio::time::sleep(Duration::from_millis(pause)).await;
    }
}

fn choose_route(plan: &mut CallerPlan) -> RequestedRoute {
    let newest = plan.operator.newest();
    let older_step = newest.saturating_sub(plan.rng.random_range(1..=6));
    let routes = [
        RequestedRoute::Added(newest),
        RequestedRoute::Added(newest),
        RequestedRoute::Moved,
        RequestedRoute::Added(older_step),
        RequestedRoute::Steady,
        RequestedRoute::Plain,
    ];
    *routes.choose(&mut plan.rng).unwrap_or(&RequestedRoute::Steady)
}

async fn send_request(client: &HttpClient, route: RequestedRoute, id: &str) -> Option<ClientReply> {
    let fields = headers::exchange_fields();
    let mut lines = HeaderMap::new();
    lines.insert(header::HOST, HeaderValue::from_static(HOST));
    if let (Some(name), Ok(value)) = (fields.request, HeaderValue::from_str(id)) {
        lines.insert(name, value);
    }
    lines.insert(fields.deadline, HeaderValue::from(DEADLINE.as_millis() as u64));
    let method = if route == RequestedRoute::Plain { Method::POST } else { Method::GET };
    client.call(method, &route.path(), lines, Bytes::new()).await.ok()
}

fn classify(
    plan: &CallerPlan,
    route: RequestedRoute,
    id: &str,
    reply: Option<&ClientReply>,
) -> (SeenAnswer, Option<AnswerViolation>) {
    let status = reply.map(|reply| reply.status);
    if route == RequestedRoute::Plain {
        let refused = status.is_some_and(reports_not_run);
        plan.plain.refused.borrow_mut().insert(id.to_owned(), refused);
    }
    match (status, reply) {
        (Some(StatusCode::NOT_FOUND), _) => (SeenAnswer::Missing, None),
        (Some(StatusCode::OK), Some(reply)) => match service_in(reply, route, id) {
            Some(service) => (SeenAnswer::ServedBy(service), None),
            None => (SeenAnswer::Inconclusive, Some(AnswerViolation::NotItsOwn)),
        },
        _ => (SeenAnswer::Inconclusive, None),
    }
}

fn reports_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::NOT_FOUND | StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Returns the service that answered, if the body is the complete response to this request.
fn service_in(reply: &ClientReply, route: RequestedRoute, id: &str) -> Option<usize> {
    let text = std::str::from_utf8(&reply.body).ok()?;
    let (server, rest) = text.split_once(' ')?;
    let is_complete = rest == format!("200 {} {id}\n", route.path());
    let host_index = server.strip_prefix("i-")?.parse::<usize>().ok()?;
    is_complete.then(|| fleet::service_of(host_index))
}
