// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Callers at every daemon, who ask for what the operator just changed, and what became of their requests.

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

use crate::fleet::{self, SoakHost};
use crate::judge::{CallerSample, SeenAnswer};
use crate::operator::{AskedRoute, SoakOperator, HOST};

/// Time that a caller gives a request.
const DEADLINE: Duration = Duration::from_secs(2);
/// Longest and shortest pause between two requests of a caller.
const PAUSE_MS: std::ops::RangeInclusive<u64> = 40..=120;
/// Pause of a caller whose daemon is down.
const DOWN_PAUSE: Duration = Duration::from_millis(50);

/// `AnswerFault` is a promise of one exchange that was broken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerFault {
    /// A success that is not the whole answer to the request that was sent.
    NotItsOwn,
    /// A refusal as not run of a request that ran.
    RanAfterAll,
    /// Work that may run once ran so often.
    RanTwice(u64),
}

/// `PlainRequests` remembers work that may run once, to compare with what ran.
#[derive(Default)]
pub struct PlainRequests {
    /// Whether each was refused with the word that it did not run, by its id.
    refused: RefCell<FnvHashMap<String, bool>>,
}

impl PlainRequests {
    /// Compares with what the backend servers ran.
    pub fn faults(&self, runs: &FnvHashMap<String, u64>) -> Vec<(String, AnswerFault)> {
        let refused = self.refused.borrow();
        let found = refused.iter().filter_map(|(id, refused)| {
            let count = runs.get(id).copied().unwrap_or(0);
            match (*refused, count) {
                (true, 1..) => Some((id.clone(), AnswerFault::RanAfterAll)),
                (false, 2..) => Some((id.clone(), AnswerFault::RanTwice(count))),
                _ => None,
            }
        });
        found.collect()
    }
}

/// `CallerPlan` is what a caller works by.
pub struct CallerPlan {
    /// Number of its host.
    pub number: usize,
    /// The host.
    pub host: Rc<SoakHost>,
    /// Which of the host's callers it is.
    pub caller: usize,
    /// The operator, for what changed.
    pub operator: Rc<SoakOperator>,
    /// Work that may run once.
    pub plain: Rc<PlainRequests>,
    /// When the run began.
    pub began: Instant,
    /// Random numbers of its own.
    pub rng: ChaCha8Rng,
}

/// Sends requests for ever, and hands each with what became of it to `on_sample`.
pub async fn run(
    mut plan: CallerPlan,
    on_sample: impl Fn(CallerSample, Option<AnswerFault>) + 'static,
) {
    let mut client: Option<(u64, HttpClient)> = None;
    let mut count = 0;
    loop {
        let start = plan.host.daemon_start();
        let Some(address) = plan.host.callers() else {
            client = None;
            monoio::time::sleep(DOWN_PAUSE).await;
            continue;
        };
        // A connection is kept until its daemon is gone.
        if client.as_ref().is_none_or(|(of, _)| *of != start) {
            client = Some((start, HttpClient::new(address, DEADLINE * 2)));
        }
        count += 1;
        let id = format!("{}-{}-{count}", plan.host.name, plan.caller);
        let route = choose_route(&mut plan);
        let sent_at = plan.began.elapsed();
        if let Some((_, client)) = &client {
            let reply = ask(client, route, &id).await;
            let (answer, fault) = read(&plan, route, &id, reply.as_ref());
            let answered_at = plan.began.elapsed();
            let host = plan.number;
            on_sample(CallerSample { host, start, id, sent_at, answered_at, route, answer }, fault);
        }
        let pause = plan.rng.random_range(PAUSE_MS);
        monoio::time::sleep(Duration::from_millis(pause)).await;
    }
}

fn choose_route(plan: &mut CallerPlan) -> AskedRoute {
    let newest = plan.operator.newest();
    let older = newest.saturating_sub(plan.rng.random_range(1..=6));
    let routes = [
        AskedRoute::Added(newest),
        AskedRoute::Added(newest),
        AskedRoute::Moved,
        AskedRoute::Added(older),
        AskedRoute::Steady,
        AskedRoute::Plain,
    ];
    *routes.choose(&mut plan.rng).unwrap_or(&AskedRoute::Steady)
}

async fn ask(client: &HttpClient, route: AskedRoute, id: &str) -> Option<ClientReply> {
    let fields = headers::exchange_fields();
    let mut lines = HeaderMap::new();
    lines.insert(header::HOST, HeaderValue::from_static(HOST));
    if let (Some(name), Ok(value)) = (fields.request, HeaderValue::from_str(id)) {
        lines.insert(name, value);
    }
    lines.insert(fields.deadline, HeaderValue::from(DEADLINE.as_millis() as u64));
    let method = if route == AskedRoute::Plain { Method::POST } else { Method::GET };
    client.call(method, &route.path(), lines, Bytes::new()).await.ok()
}

fn read(
    plan: &CallerPlan,
    route: AskedRoute,
    id: &str,
    reply: Option<&ClientReply>,
) -> (SeenAnswer, Option<AnswerFault>) {
    let status = reply.map(|reply| reply.status);
    if route == AskedRoute::Plain {
        let refused = status.is_some_and(promises_not_run);
        plan.plain.refused.borrow_mut().insert(id.to_owned(), refused);
    }
    match (status, reply) {
        (Some(StatusCode::NOT_FOUND), _) => (SeenAnswer::Missing, None),
        (Some(StatusCode::OK), Some(reply)) => match service_in(reply, route, id) {
            Some(service) => (SeenAnswer::ServedBy(service), None),
            None => (SeenAnswer::NoWord, Some(AnswerFault::NotItsOwn)),
        },
        _ => (SeenAnswer::NoWord, None),
    }
}

fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::NOT_FOUND | StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Returns the service that answered, if the body is the whole answer to this request.
fn service_in(reply: &ClientReply, route: AskedRoute, id: &str) -> Option<usize> {
    let text = std::str::from_utf8(&reply.body).ok()?;
    let (server, rest) = text.split_once(' ')?;
    let own = rest == format!("200 {} {id}\n", route.path());
    let number = server.strip_prefix("i-")?.parse::<usize>().ok()?;
    own.then(|| fleet::service_of(number))
}
