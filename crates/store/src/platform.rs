// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The client of the platform's store: rows, the feed of their changes, and objects.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use basaltarch_http::client::{ClientReply, HttpClient};
use basaltarch_http::errors::HttpError;
use basaltarch_platform::headers;
use basaltarch_platform::objects;
use basaltarch_platform::rows::{self, RowAddress, RowChange, RowExpectation, RowsPage, StoreCall};
use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use serde_json::Value;

use crate::errors::{self, StoreError};
use crate::wire::{RowCheck, RowPlace, RowWrite, TableRow};

/// Longest time of one call; the platform answers in a few milliseconds when it is well.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Usual wait for a change in one call of the feed: each call costs as much as a read, and a call that an outage
/// left hanging must end soon after it.
pub const FEED_WAIT: Duration = Duration::from_secs(8);
/// Shortest such wait, as a share: calls of many daemons that an outage left hanging end one after
/// another, and the first that hears something tells the others.
const FEED_WAIT_LEAST: f64 = 0.4;

/// Draws the wait of a call of the feed, at most `longest`.
pub fn draw_wait(longest: Duration) -> Duration {
    longest.mul_f64(rand::random_range(FEED_WAIT_LEAST..=1.0))
}
/// Time beyond its wait after which a call of the feed is given up: the store answers within a few
/// milliseconds when it is well, and a hundred times as late when it is slow.
const FEED_GRACE: Duration = Duration::from_millis(700);
/// Silence after which the system asks whether the store's end of a connection is still there.
const KEEP_ALIVE_AFTER: Duration = Duration::from_secs(1);
/// First pause after a failed call.
const PAUSE_MIN: Duration = Duration::from_millis(100);
/// Longest pause after failed calls in a row.
const PAUSE_MAX: Duration = Duration::from_secs(5);
/// Rows in one answer.
const PAGE_ROWS: usize = rows::PAGE_ROWS_MAX;

/// `CallCounts` counts the calls to the platform by what became of them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Calls that were answered, a conflict or a missing row included.
    pub answered: u64,
    /// Calls that were refused with status 429 or 503: nothing was done.
    pub refused: u64,
    /// Calls without an answer: a write may have been done.
    pub no_answer: u64,
}

/// `CallBudget` bounds the calls of one process a second.
#[derive(Debug)]
struct CallBudget {
    rate: f64,
    tokens: f64,
    filled_at: Instant,
}

impl CallBudget {
    fn new(rate: f64) -> Self {
        Self { rate, tokens: rate.max(1.0), filled_at: Instant::now() }
    }

    fn take(&mut self) -> Result<(), StoreError> {
        let elapsed = self.filled_at.elapsed().as_secs_f64();
        self.filled_at = Instant::now();
        self.tokens = (self.tokens + elapsed * self.rate).min(self.rate.max(1.0));
        if self.tokens < 1.0 {
            return Err(StoreError::OverBudget);
        }
        self.tokens -= 1.0;
        Ok(())
    }
}

/// `TablePosition` is how far a table was read. Versions are ordered within one era only: a store that comes back
/// from an older copy gives lost versions out again.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TablePosition {
    /// Times that the store had come back from an older copy, if it told.
    pub era: Option<u64>,
    /// Version up to which the table was read.
    pub version: u64,
}

impl TablePosition {
    /// Says whether an answer of `era` is of another history than this position. Without word of either, the
    /// history is taken to be the same.
    fn is_lost_in(&self, era: Option<u64>) -> bool {
        matches!((self.era, era), (Some(known), Some(told)) if known != told)
    }

    /// Returns the position after an answer that goes on from here to `version`.
    fn advanced(self, version: u64, era: Option<u64>) -> Self {
        Self { era: era.or(self.era), version: self.version.max(version) }
    }
}

/// `FeedReply` is what a call of the feed brought.
#[derive(Debug, Clone, PartialEq)]
pub enum FeedReply {
    /// Rows that changed, oldest first, and where to go on from.
    Changes(RowsPage, TablePosition),
    /// The store doesn't know what changed since then, or came back from an older copy; read the table anew.
    Forgotten,
}

/// `PlatformClient` talks to the platform's store. Every call is bounded in time and number.
#[derive(Debug)]
pub struct PlatformClient {
    client: HttpClient,
    feeds: HttpClient,
    /// For questions that must not wait on a connection that is dead: each gets one of its own.
    questions: HttpClient,
    reads: RefCell<CallBudget>,
    writes: RefCell<CallBudget>,
    counts: Cell<CallCounts>,
}

impl PlatformClient {
    /// Builds a client that makes at most so many reads and writes a second.
    pub fn new(address: SocketAddr, reads: f64, writes: f64) -> Self {
        let feed_timeout = FEED_WAIT + FEED_GRACE;
        Self {
            client: HttpClient::new(address, CALL_TIMEOUT).keep_alive(KEEP_ALIVE_AFTER),
            feeds: HttpClient::new(address, feed_timeout).keep_alive(KEEP_ALIVE_AFTER),
            questions: HttpClient::new(address, CALL_TIMEOUT),
            reads: RefCell::new(CallBudget::new(reads)),
            writes: RefCell::new(CallBudget::new(writes)),
            counts: Cell::default(),
        }
    }

    /// Runs a transaction and returns its number.
    pub async fn transact(
        &self,
        checks: Vec<RowCheck>,
        writes: Vec<RowWrite>,
    ) -> Result<u64, StoreError> {
        self.writes.borrow_mut().take()?;
        let expectations = checks.iter().map(|check| RowExpectation {
            address: RowPlace::of(&check.key).address(),
            version: check.version,
        });
        let expectations: Vec<RowExpectation> = expectations.collect();
        let values: Vec<Option<Vec<u8>>> = writes.iter().map(value_bytes).collect();
        let changes = writes.iter().zip(&values).map(|(write, value)| RowChange {
            address: RowPlace::of(&write.key).address(),
            value: value.as_deref(),
        });
        let changes: Vec<RowChange> = changes.collect();
        let reply = self.call(rows::transact(&expectations, &changes)).await?;
        if reply.status == StatusCode::PRECONDITION_FAILED {
            let rows = table_rows(read_page(&reply)?);
            return Err(StoreError::Conflict { rows });
        }
        Ok(read_page(&accepted(reply)?)?.version)
    }

    /// Reads the row with this key, if there is one.
    pub async fn read(&self, key: &str) -> Result<Option<TableRow>, StoreError> {
        let RowAddress { table, part, key: wanted } = RowPlace::of(key).address();
        let (page, _) = self.read_page(table, part, wanted, 1).await?;
        let mut rows = table_rows(page);
        Ok(rows.pop().filter(|row| row.key == key))
    }

    /// Reads rows of a prefix in the order of their keys, those behind `after`.
    pub async fn scan(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<TableRow>, StoreError> {
        // The least text behind a key is the key with a zero byte, which no key holds.
        let from = if after.is_empty() { prefix.to_owned() } else { format!("{after}\0") };
        let RowAddress { table, part, key: from } = RowPlace::of(&from).address();
        let (page, _) = self.read_page(table, part, from, limit).await?;
        let rows = table_rows(page);
        Ok(rows.into_iter().take_while(|row| row.key.starts_with(prefix)).collect())
    }

    /// Reads all rows of a table without parts, as of one moment or later, and where the feed goes on.
    pub async fn read_table(&self, table: &str) -> Result<(RowsPage, TablePosition), StoreError> {
        let (mut all, era) = self.read_page(table, "", "", PAGE_ROWS).await?;
        let mut more = all.more && !all.rows.is_empty();
        while more {
            let from = all.rows.last().map(|row| format!("{}\0", row.key)).unwrap_or_default();
            let (next, _) = self.read_page(table, "", &from, PAGE_ROWS).await?;
            // A page that names no row leads to no other.
            more = next.more && !next.rows.is_empty();
            all.rows.extend(next.rows);
            all.nameless += next.nameless;
        }
        all.more = false;
        // Pages of two eras may be joined here: the feed then tells another era than the first page did, and the
        // table is read anew.
        let position = TablePosition { era, version: all.version };
        Ok((all, position))
    }

    async fn read_page(
        &self,
        table: &str,
        part: &str,
        from: &str,
        limit: usize,
    ) -> Result<(RowsPage, Option<u64>), StoreError> {
        self.reads.borrow_mut().take()?;
        let reply = self.call(rows::read_from(table, part, from, limit)).await?;
        let era = headers::store_era(&reply.headers);
        Ok((read_page(&accepted(reply)?)?, era))
    }

    /// Waits for changes of a table after a position, for at most `wait`.
    pub async fn follow(
        &self,
        table: &str,
        after: TablePosition,
        wait: Duration,
    ) -> Result<FeedReply, StoreError> {
        self.reads.borrow_mut().take()?;
        let calling = call(&self.feeds, rows::follow(table, after.version, wait));
        let reply = match monoio::time::timeout(wait + FEED_GRACE, calling).await {
            Ok(reply) => reply,
            Err(_) => Err(StoreError::AnswerLost { message: "no answer".to_owned() }),
        };
        self.read_feed(after, self.count(reply)?)
    }

    /// Asks for the changes of a table after a position without waiting for one, along a new connection: one
    /// that is open may have fallen silent.
    pub async fn changes_now(
        &self,
        table: &str,
        after: TablePosition,
    ) -> Result<FeedReply, StoreError> {
        self.reads.borrow_mut().take()?;
        self.questions.forget_idle();
        let reply = call(&self.questions, rows::follow(table, after.version, Duration::ZERO)).await;
        self.read_feed(after, self.count(reply)?)
    }

    fn read_feed(&self, after: TablePosition, reply: ClientReply) -> Result<FeedReply, StoreError> {
        let era = headers::store_era(&reply.headers);
        if reply.status == StatusCode::GONE {
            return Ok(FeedReply::Forgotten);
        }
        let page = read_page(&accepted(reply)?)?;
        if after.is_lost_in(era) {
            return Ok(FeedReply::Forgotten);
        }
        let position = after.advanced(page.version, era);
        Ok(FeedReply::Changes(page, position))
    }

    /// Lets no coming call use a connection that is open now.
    ///
    /// A call without an answer may have been on a connection that fell silent, and those that rest beside it
    /// may be as silent: each would hold up one more call for all of its time, 8.7 s for the feed.
    pub fn forget_connections(&self) {
        self.client.forget_idle();
        self.feeds.forget_idle();
    }

    /// Writes an object.
    pub async fn put_object(&self, name: &str, content: Bytes) -> Result<(), StoreError> {
        self.writes.borrow_mut().take()?;
        let reply = self.call(objects::put(name, content.into())).await?;
        accepted(reply).map(drop)
    }

    /// Reads an object, if there is one.
    pub async fn get_object(&self, name: &str) -> Result<Option<Bytes>, StoreError> {
        self.reads.borrow_mut().take()?;
        let reply = self.call(objects::get(name)).await?;
        if reply.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        Ok(Some(accepted(reply)?.body))
    }

    async fn call(&self, request: StoreCall) -> Result<ClientReply, StoreError> {
        self.count(call(&self.client, request).await)
    }

    /// Returns what became of the calls so far.
    pub fn counts(&self) -> CallCounts {
        self.counts.get()
    }

    /// Counts what became of a call.
    fn count(&self, reply: Result<ClientReply, StoreError>) -> Result<ClientReply, StoreError> {
        let mut counts = self.counts.get();
        match &reply {
            Ok(reply) if is_refusal(reply.status) => counts.refused += 1,
            Ok(_) => counts.answered += 1,
            Err(_) => {
                counts.no_answer += 1;
                self.forget_connections();
            }
        }
        self.counts.set(counts);
        reply
    }
}

/// Says whether a status tells that nothing was done.
fn is_refusal(status: StatusCode) -> bool {
    matches!(status, StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE)
}

/// Makes a call. One without an answer ends its connection, so that the next begins on another.
async fn call(client: &HttpClient, request: StoreCall) -> Result<ClientReply, StoreError> {
    let StoreCall { method, target, body } = request;
    let result = client.call(method, &target, HeaderMap::new(), Bytes::from(body)).await;
    result.map_err(|error| match error {
        HttpError::Broken { ref source }
            if source.kind() == std::io::ErrorKind::ConnectionRefused =>
        {
            StoreError::Unreachable { message: error.to_string() }
        }
        other => StoreError::AnswerLost { message: other.to_string() },
    })
}

fn accepted(reply: ClientReply) -> Result<ClientReply, StoreError> {
    if reply.status.is_success() {
        return Ok(reply);
    }
    Err(StoreError::Refused { status: reply.status.as_u16() })
}

fn read_page(reply: &ClientReply) -> Result<RowsPage, StoreError> {
    rows::read_page(&reply.body).map_err(errors::malformed)
}

fn value_bytes(write: &RowWrite) -> Option<Vec<u8>> {
    // A JSON value can always be written.
    write.value.as_ref().map(|value| serde_json::to_vec(value).unwrap_or_default())
}

/// Reads the values of rows that are there; a row that was never there has version 0, and one that can't be
/// read has no value.
fn table_rows(page: RowsPage) -> Vec<TableRow> {
    let read = |row: rows::StoredRow| {
        let key = RowPlace { table: &row.table, key: &row.key }.store_key();
        let value = row.value.bytes().and_then(|bytes| serde_json::from_slice(bytes).ok());
        TableRow { key, version: row.version, value: value.unwrap_or(Value::Null) }
    };
    page.rows.into_iter().map(read).collect()
}

/// `RetryPause` spaces calls after failures, doubling and jittered, so that a fleet does not come
/// back all at once.
#[derive(Debug, Clone, Copy)]
pub struct RetryPause {
    current: Duration,
    most: Duration,
}

impl Default for RetryPause {
    fn default() -> Self {
        Self::up_to(PAUSE_MAX)
    }
}

impl RetryPause {
    /// Builds pauses of at most `most`.
    pub fn up_to(most: Duration) -> Self {
        Self { current: PAUSE_MIN, most }
    }

    /// Returns the next pause: between half and all of a time that doubles.
    pub fn next_pause(&mut self) -> Duration {
        let pause = self.current.mul_f64(rand::random_range(0.5..=1.0));
        self.current = (self.current * 2).min(self.most);
        pause
    }

    /// Starts again after a success.
    pub fn reset(&mut self) {
        self.current = PAUSE_MIN;
    }
}
