// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The simulated platform: rows, their change feed, and objects over HTTP, with injected faults.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use basaltarch_http::server::{self, ServerLimits, ServerReply, ServerRequest};
use basaltarch_platform::headers;
use basaltarch_platform::objects;
use basaltarch_platform::rows::{self, PageBody, TransactBody};
use bytes::Bytes;
use fnv::FnvHashMap;
use http::{header, HeaderValue, Method, StatusCode};
use monoio::net::TcpListener;
use percent_encoding::percent_decode_str;
use serde::{Deserialize, Serialize};

use crate::table::PlatformTable;

/// Path of the faults: `GET` reads the faults in force, `PUT` sets new faults.
pub const FAULTS_PATH: &str = "/control/faults";
/// Prefix of the path of a row; the table, a slash and the key follow. `PUT` writes the body as the
/// value of the row, bypassing all faults and rules, as the operator does. `DELETE` removes the
/// row. `PATCH` stores the body without encoding it as a value, so that readers may be unable to
/// decode the row.
pub const ROWS_CONTROL_PATH: &str = "/control/rows/";
/// Path of the copy of all rows: `PUT` takes a copy, `DELETE` restores the rows from the copy and
/// begins the next era.
pub const COPY_PATH: &str = "/control/copy";
/// Path of the counters of calls, for `GET`.
pub const COUNTERS_PATH: &str = "/control/counters";
/// Connections served at once, enough for the clients of a few hundred daemons.
const CONNECTIONS_MAX: usize = 4096;
/// Interval at which the handler of a feed request checks for changes.
const FEED_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time after which the connection of a call is closed that the fault `silent` leaves unanswered.
/// The time is longer than the time-out of any client.
const SILENT_HOLD_TIME: Duration = Duration::from_secs(60);
/// Largest request body, 512 MiB: a configuration of the size expected in two years, as one object.
const BODY_BYTES_MAX: u64 = 512 << 20;

/// `PlatformFaults` are the faults in force.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformFaults {
    /// Connections are dropped without a response.
    pub down: bool,
    /// Calls are neither answered nor dropped.
    pub silent: bool,
    /// Every call is refused with status 503 and has no effect.
    pub busy: bool,
    /// Every call is refused with status 429, as if there were too many calls, and has no effect.
    pub many: bool,
    /// `down`, `silent`, `busy` and `many` affect only hosts of the second group; hosts of the
    /// first group are served.
    pub second_group_only: bool,
    /// Delay of each call, in milliseconds.
    pub delay_ms: u64,
    /// Number of upcoming writes that take effect but whose responses are lost.
    pub lose_write_answers: u64,
    /// Number of upcoming writes that take effect only `late_by_ms` after their connection was
    /// dropped.
    pub late_writes: u64,
    /// Delay of the writes counted by `late_writes`, in milliseconds.
    pub late_by_ms: u64,
    /// Number of upcoming writes that are lost before they take effect.
    pub lose_writes: u64,
    /// Age of the state that reads return, in milliseconds.
    pub reads_from_past_ms: u64,
    /// Discards the history of changes once, when the faults are set.
    pub forget_history: bool,
    /// Calls per second beyond which calls are refused; 0 for no limit.
    pub calls_per_second_max: u64,
}

/// `HostGroup` distinguishes hosts by the address at which they call the simulated platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HostGroup {
    /// Hosts that call the first address.
    First,
    /// Hosts that call the second address, to which outages can be limited.
    Second,
}

/// `PlatformCounters` count the calls to the simulated platform.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct PlatformCounters {
    /// Number of transactions requested.
    pub transactions: u64,
    /// Number of all other calls: reads of rows, feed requests and requests for objects.
    pub reads: u64,
}

/// `PlatformStandin` is the state of the simulated platform.
pub struct PlatformStandin {
    table: RefCell<PlatformTable>,
    objects: RefCell<FnvHashMap<String, Bytes>>,
    faults: RefCell<PlatformFaults>,
    counters: Cell<PlatformCounters>,
    /// Second since the start in which calls are counted, and the number of calls in this second.
    rate_window: Cell<(u64, u64)>,
    /// Number of restores from a copy; sent with every response.
    era: Cell<u64>,
    started_at: Instant,
}

impl Default for PlatformStandin {
    fn default() -> Self {
        Self {
            table: RefCell::default(),
            objects: RefCell::default(),
            faults: RefCell::default(),
            counters: Cell::default(),
            rate_window: Cell::default(),
            era: Cell::default(),
            started_at: Instant::now(),
        }
    }
}

/// Serves the simulated platform to one group of hosts for ever.
pub async fn serve(listener: TcpListener, standin: Rc<PlatformStandin>, group: HostGroup) {
    let limits = ServerLimits::with_body_bytes(BODY_BYTES_MAX);
    let answer = move |request| {
        let standin = standin.clone();
        async move { standin.handle(request, group).await }
    };
    server::serve_all(listener, CONNECTIONS_MAX, limits, answer).await;
}

impl PlatformStandin {
    async fn handle(self: &Rc<Self>, request: ServerRequest, group: HostGroup) -> ServerReply {
        let mut reply = self.reply_to(request, group).await;
        reply.headers.insert(headers::STORE_ERA, HeaderValue::from(self.era.get()));
        reply
    }

    async fn reply_to(self: &Rc<Self>, request: ServerRequest, group: HostGroup) -> ServerReply {
        if request.path().starts_with("/control/") {
            return self.handle_control(&request);
        }
        let faults = self.faults.borrow().clone();
        if faults.delay_ms > 0 {
            monoio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        if let Some(reply) = self.outage_reply(group).await {
            return reply;
        }
        if self.is_over_rate(faults.calls_per_second_max) {
            return ServerReply::empty(StatusCode::TOO_MANY_REQUESTS);
        }
        self.count_call(request.path());
        match (request.head.method.as_str(), request.path()) {
            ("POST", rows::TRANSACT_PATH) => self.handle_transaction(&request),
            ("GET", rows::READ_PATH) => self.handle_read(&request),
            ("GET", rows::FEED_PATH) => self.handle_feed(&request, group).await,
            _ => self.handle_object(&request),
        }
    }

    /// Returns the reply of an outage that affects the caller's group, if there is an outage. If
    /// the fault `silent` is set, the function returns only after [`SILENT_HOLD_TIME`].
    async fn outage_reply(&self, group: HostGroup) -> Option<ServerReply> {
        let faults = self.faults.borrow().clone();
        if faults.second_group_only && group == HostGroup::First {
            return None;
        }
        if faults.silent {
            monoio::time::sleep(SILENT_HOLD_TIME).await;
            return Some(hang_up_reply());
        }
        if faults.down {
            return Some(hang_up_reply());
        }
        if faults.busy {
            return Some(ServerReply::empty(StatusCode::SERVICE_UNAVAILABLE));
        }
        faults.many.then(|| ServerReply::empty(StatusCode::TOO_MANY_REQUESTS))
    }

    fn is_over_rate(&self, rate_max: u64) -> bool {
        let second = self.started_at.elapsed().as_secs();
        let (last_second, last_count) = self.rate_window.get();
        let count = if last_second == second { last_count + 1 } else { 1 };
        self.rate_window.set((second, count));
        rate_max > 0 && count > rate_max
    }

    fn count_call(&self, path: &str) {
        let mut counters = self.counters.get();
        if path == rows::TRANSACT_PATH {
            counters.transactions += 1;
        } else {
            counters.reads += 1;
        }
        self.counters.set(counters);
    }

    fn handle_transaction(self: &Rc<Self>, request: &ServerRequest) -> ServerReply {
        let body = match serde_json::from_slice::<TransactBody>(&request.body) {
            Ok(body) => body,
            Err(error) => return ServerReply::text(StatusCode::BAD_REQUEST, error.to_string()),
        };
        let entries = body.expectations.len() + body.put.len() + body.remove.len();
        if entries > rows::ENTRIES_MAX {
            return ServerReply::text(StatusCode::BAD_REQUEST, "more than 100 entries");
        }
        if body.put.iter().chain(&body.remove).any(|entry| entry.table == rows::OPERATOR_TABLE) {
            return ServerReply::empty(StatusCode::FORBIDDEN);
        }
        if consume_fault(&mut self.faults.borrow_mut().lose_writes) {
            return hang_up_reply();
        }
        if consume_fault(&mut self.faults.borrow_mut().late_writes) {
            self.write_late(body);
            return hang_up_reply();
        }
        let result = self.table.borrow_mut().transact(&body);
        if consume_fault(&mut self.faults.borrow_mut().lose_write_answers) {
            return hang_up_reply();
        }
        match result {
            Ok(page) => ServerReply::json(StatusCode::OK, &page),
            Err(page) => ServerReply::json(StatusCode::PRECONDITION_FAILED, &page),
        }
    }

    /// Runs a transaction after the delay `late_by_ms`, with no response to the client.
    fn write_late(self: &Rc<Self>, body: TransactBody) {
        let delay = Duration::from_millis(self.faults.borrow().late_by_ms);
        let standin = self.clone();
        monoio::spawn(async move {
            monoio::time::sleep(delay).await;
            // The client's connection is closed, so a failed expectation can't be reported.
            let _ = standin.table.borrow_mut().transact(&body);
        });
    }

    fn handle_read(&self, request: &ServerRequest) -> ServerReply {
        let age = Duration::from_millis(self.faults.borrow().reads_from_past_ms);
        let limit = query_text(request, "limit").parse().unwrap_or(rows::PAGE_ROWS_MAX);
        let page = self.table.borrow().read(
            &query_text(request, "table"),
            &query_text(request, "part"),
            &query_text(request, "from"),
            limit.min(rows::PAGE_ROWS_MAX),
            age,
        );
        ServerReply::json(StatusCode::OK, &page)
    }

    async fn handle_feed(&self, request: &ServerRequest, group: HostGroup) -> ServerReply {
        let table = query_text(request, "table");
        let after = query_text(request, "after").parse().unwrap_or(0);
        let wait = Duration::from_millis(query_text(request, "waitMs").parse().unwrap_or(0));
        let wait_start = Instant::now();
        loop {
            let page: PageBody = match self.table.borrow().changes(&table, after) {
                Some(page) => page,
                None => return ServerReply::empty(StatusCode::GONE),
            };
            if !page.rows.is_empty() || wait_start.elapsed() >= wait {
                return ServerReply::json(StatusCode::OK, &page);
            }
            monoio::time::sleep(FEED_POLL_INTERVAL).await;
            if let Some(reply) = self.outage_reply(group).await {
                return reply;
            }
        }
    }

    fn handle_object(&self, request: &ServerRequest) -> ServerReply {
        let method = &request.head.method;
        let prefix = if method == Method::PUT { objects::PUT_PATH } else { objects::GET_PATH };
        let name = match request.path().strip_prefix(prefix) {
            Some(name) => percent_decode_str(name).decode_utf8_lossy().into_owned(),
            None => return ServerReply::empty(StatusCode::NOT_FOUND),
        };
        let mut objects = self.objects.borrow_mut();
        if method == Method::PUT {
            if request.head.headers.contains_key(header::IF_NONE_MATCH)
                && objects.contains_key(&name)
            {
                return ServerReply::empty(StatusCode::PRECONDITION_FAILED);
            }
            objects.insert(name, request.body.clone());
            return ServerReply::empty(StatusCode::OK);
        }
        match objects.get(&name) {
            Some(content) => {
                ServerReply::whole(StatusCode::OK, "application/octet-stream", content.clone())
            }
            None => ServerReply::empty(StatusCode::NOT_FOUND),
        }
    }

    fn handle_control(&self, request: &ServerRequest) -> ServerReply {
        let method = &request.head.method;
        let path = request.path();
        if let Some(row_path) = path.strip_prefix(ROWS_CONTROL_PATH) {
            return self.change_row(method, row_path, &request.body);
        }
        match (method.as_str(), path) {
            ("GET", COUNTERS_PATH) => ServerReply::json(StatusCode::OK, &self.counters.get()),
            ("PUT", COPY_PATH) => {
                self.table.borrow_mut().take_copy();
                ServerReply::empty(StatusCode::NO_CONTENT)
            }
            ("DELETE", COPY_PATH) => {
                self.table.borrow_mut().restore();
                self.era.set(self.era.get() + 1);
                ServerReply::empty(StatusCode::NO_CONTENT)
            }
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

    fn set_faults(&self, mut faults: PlatformFaults) -> ServerReply {
        if faults.reads_from_past_ms > 0 {
            self.table.borrow_mut().keep_snapshots();
        }
        if std::mem::take(&mut faults.forget_history) {
            self.table.borrow_mut().forget_history();
        }
        *self.faults.borrow_mut() = faults;
        ServerReply::empty(StatusCode::NO_CONTENT)
    }

    fn change_row(&self, method: &Method, row_path: &str, value: &[u8]) -> ServerReply {
        let (table, key) = match row_path.split_once('/') {
            Some(table_and_key) => table_and_key,
            None => return ServerReply::empty(StatusCode::NOT_FOUND),
        };
        let entry = rows::RowEntry {
            table: table.to_owned(),
            part: String::new(),
            key: key.to_owned(),
            value: Some(match *method {
                Method::PATCH => String::from_utf8_lossy(value).into_owned(),
                _ => rows::encode_value(value),
            }),
            ver: None,
            gone: false,
        };
        let mut body = TransactBody::default();
        let list = if method == Method::DELETE { &mut body.remove } else { &mut body.put };
        list.push(entry);
        match self.table.borrow_mut().transact(&body) {
            Ok(page) => ServerReply::json(StatusCode::OK, &page),
            Err(page) => ServerReply::json(StatusCode::PRECONDITION_FAILED, &page),
        }
    }
}

/// Returns the decoded value of a query parameter; empty if the parameter is missing.
fn query_text(request: &ServerRequest, name: &str) -> String {
    let value = request.query(name).unwrap_or_default();
    percent_decode_str(value).decode_utf8_lossy().into_owned()
}

/// Decrements the number of upcoming faults of a kind. Returns whether the number was above zero,
/// that is, whether the fault applies now.
fn consume_fault(count: &mut u64) -> bool {
    let is_due = *count > 0;
    *count = count.saturating_sub(1);
    is_due
}

/// Returns a reply that closes the connection without a response.
fn hang_up_reply() -> ServerReply {
    let mut reply = ServerReply::empty(StatusCode::SERVICE_UNAVAILABLE);
    reply.hang_up = true;
    reply
}
