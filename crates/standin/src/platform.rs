// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The stand-in platform: table, object store and lagging host list over HTTP, with faults.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use basaltarch_http::connection::{self, ConnectionCount};
use basaltarch_http::server::{self, ServerLimits, ServerReply, ServerRequest};
use bytes::Bytes;
use fnv::FnvHashMap;
use http::{Method, StatusCode};
use monoio::net::TcpListener;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

use crate::table::PlatformTable;

/// Path of the faults: `GET` them or `PUT` new ones.
pub const FAULTS_PATH: &str = "/control/faults";
/// Path of the host list's entries: `PUT` or `DELETE`, the host follows.
pub const HOSTS_CONTROL_PATH: &str = "/control/hosts/";
/// Path of the counters: `GET`.
pub const COUNTERS_PATH: &str = "/control/counters";
/// Connections served at once: a client of each of a few hundred daemons.
const CONNECTIONS_MAX: usize = 4096;
/// Largest request: a configuration of the two-year size as one object.
const BODY_BYTES_MAX: u64 = 512 << 20;

/// `PlatformFaults` are the faults in force.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformFaults {
    /// Connections are dropped without an answer.
    pub down: bool,
    /// Time that each call takes, in milliseconds.
    pub delay_ms: u64,
    /// So many coming writes take effect while their answers are lost.
    pub lose_write_answers: u64,
    /// So many coming writes are lost before they take effect.
    pub lose_writes: u64,
    /// Reads answer from this long ago, in milliseconds.
    pub reads_from_past_ms: u64,
    /// The host list is this old, in milliseconds.
    pub hosts_from_past_ms: u64,
    /// Calls a second beyond which calls are refused; 0 for no bound.
    pub calls_per_second_max: u64,
}

/// `PlatformCounters` count calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct PlatformCounters {
    /// Transactions asked for.
    pub transactions: u64,
    /// Reads and scans asked for.
    pub reads: u64,
}

/// `PlatformStandin` is the state of the stand-in.
pub struct PlatformStandin {
    table: RefCell<PlatformTable>,
    objects: RefCell<FnvHashMap<String, Bytes>>,
    hosts: RefCell<Vec<(Instant, FnvHashMap<String, Value>)>>,
    faults: RefCell<PlatformFaults>,
    counters: Cell<PlatformCounters>,
    second: Cell<(u64, u64)>,
    started: Instant,
}

impl Default for PlatformStandin {
    fn default() -> Self {
        Self {
            table: RefCell::default(),
            objects: RefCell::default(),
            hosts: RefCell::new(vec![(Instant::now(), FnvHashMap::default())]),
            faults: RefCell::default(),
            counters: Cell::default(),
            second: Cell::default(),
            started: Instant::now(),
        }
    }
}

/// Serves the stand-in for ever.
pub async fn serve(listener: TcpListener, standin: Rc<PlatformStandin>) {
    let serve = move |stream, from: SocketAddr| {
        let standin = standin.clone();
        let limits = ServerLimits::with_body_bytes(BODY_BYTES_MAX);
        server::serve(stream, from, limits, move |request| {
            let standin = standin.clone();
            async move { standin.handle(request).await }
        })
    };
    connection::accept_all(listener, CONNECTIONS_MAX, ConnectionCount::default(), serve).await
}

impl PlatformStandin {
    async fn handle(&self, request: ServerRequest) -> ServerReply {
        if request.path().starts_with("/control/") {
            return self.control(&request);
        }
        let faults = self.faults.borrow().clone();
        if faults.delay_ms > 0 {
            monoio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        if self.faults.borrow().down {
            return hang_up();
        }
        if self.is_over_rate(faults.calls_per_second_max) {
            return ServerReply::empty(StatusCode::TOO_MANY_REQUESTS);
        }
        self.count(request.path());
        let path = request.path().to_owned();
        match (request.head.method.as_str(), path.as_str()) {
            ("POST", "/table/transact") => self.transact(&request),
            ("POST", "/table/read") => self.read(&request, false),
            ("POST", "/table/scan") => self.read(&request, true),
            ("GET", "/hosts") => self.host_list(),
            (_, path) => match path.strip_prefix("/objects/") {
                Some(name) => self.object(&request, name),
                None => ServerReply::empty(StatusCode::NOT_FOUND),
            },
        }
    }

    fn is_over_rate(&self, most: u64) -> bool {
        let second = self.started.elapsed().as_secs();
        let (last, count) = self.second.get();
        let count = if last == second { count + 1 } else { 1 };
        self.second.set((second, count));
        most > 0 && count > most
    }

    fn count(&self, path: &str) {
        let mut counters = self.counters.get();
        if path == "/table/transact" {
            counters.transactions += 1;
        } else {
            counters.reads += 1;
        }
        self.counters.set(counters);
    }

    fn transact(&self, request: &ServerRequest) -> ServerReply {
        let body = match serde_json::from_slice::<Value>(&request.body) {
            Ok(body) => body,
            Err(error) => return ServerReply::text(StatusCode::BAD_REQUEST, error.to_string()),
        };
        if take_one(&mut self.faults.borrow_mut().lose_writes) {
            return hang_up();
        }
        let result = self.table.borrow_mut().transact(&body);
        if take_one(&mut self.faults.borrow_mut().lose_write_answers) {
            return hang_up();
        }
        match result {
            Ok(reply) => ServerReply::json(StatusCode::OK, &reply),
            Err(conflict) => ServerReply::json(StatusCode::CONFLICT, &conflict),
        }
    }

    fn read(&self, request: &ServerRequest, scan: bool) -> ServerReply {
        let body = match serde_json::from_slice::<Value>(&request.body) {
            Ok(body) => body,
            Err(error) => return ServerReply::text(StatusCode::BAD_REQUEST, error.to_string()),
        };
        let age = Duration::from_millis(self.faults.borrow().reads_from_past_ms);
        let table = self.table.borrow();
        let reply = if scan { table.scan(&body, age) } else { table.read(&body, age) };
        ServerReply::json(StatusCode::OK, &reply)
    }

    fn object(&self, request: &ServerRequest, name: &str) -> ServerReply {
        let mut objects = self.objects.borrow_mut();
        if request.head.method == Method::PUT {
            objects.insert(name.to_owned(), request.body.clone());
            return ServerReply::empty(StatusCode::NO_CONTENT);
        }
        match objects.get(name) {
            Some(content) => {
                ServerReply::whole(StatusCode::OK, "application/octet-stream", content.clone())
            }
            None => ServerReply::empty(StatusCode::NOT_FOUND),
        }
    }

    fn host_list(&self) -> ServerReply {
        let age = Duration::from_millis(self.faults.borrow().hosts_from_past_ms);
        let states = self.hosts.borrow();
        let state = states.iter().rev().find(|(at, _)| at.elapsed() >= age);
        let (_, hosts) = state.unwrap_or(&states[0]);
        let mut hosts: Vec<&Value> = hosts.values().collect();
        hosts.sort_by_key(|host| host["host"].as_str().unwrap_or_default().to_owned());
        ServerReply::json(StatusCode::OK, &json!({ "hosts": hosts }))
    }

    fn control(&self, request: &ServerRequest) -> ServerReply {
        let method = &request.head.method;
        let path = request.path();
        if let Some(host) = path.strip_prefix(HOSTS_CONTROL_PATH) {
            return self.change_host(method, host, &request.body);
        }
        match (method.as_str(), path) {
            ("GET", COUNTERS_PATH) => ServerReply::json(StatusCode::OK, &self.counters.get()),
            ("GET", FAULTS_PATH) => ServerReply::json(StatusCode::OK, &*self.faults.borrow()),
            ("PUT", FAULTS_PATH) => match serde_json::from_slice(&request.body) {
                Ok(faults) => self.set_faults(faults),
                Err(error) => {
                    ServerReply::text(StatusCode::UNPROCESSABLE_ENTITY, error.to_string())
                }
            },
            _ => ServerReply::empty(StatusCode::NOT_FOUND),
        }
    }

    fn set_faults(&self, faults: PlatformFaults) -> ServerReply {
        if faults.reads_from_past_ms > 0 {
            self.table.borrow_mut().keep_past();
        }
        *self.faults.borrow_mut() = faults;
        ServerReply::empty(StatusCode::NO_CONTENT)
    }

    fn change_host(&self, method: &Method, host: &str, body: &[u8]) -> ServerReply {
        let mut states = self.hosts.borrow_mut();
        let mut hosts = states.last().map(|(_, hosts)| hosts.clone()).unwrap_or_default();
        if method == Method::DELETE {
            hosts.remove(host);
        } else {
            match serde_json::from_slice(body) {
                Ok(value) => drop(hosts.insert(host.to_owned(), value)),
                Err(error) => {
                    return ServerReply::text(StatusCode::UNPROCESSABLE_ENTITY, error.to_string())
                }
            }
        }
        states.push((Instant::now(), hosts));
        ServerReply::empty(StatusCode::NO_CONTENT)
    }
}

fn take_one(count: &mut u64) -> bool {
    let some = *count > 0;
    *count = count.saturating_sub(1);
    some
}

fn hang_up() -> ServerReply {
    let mut reply = ServerReply::empty(StatusCode::SERVICE_UNAVAILABLE);
    reply.hang_up = true;
    reply
}
