// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The open connections of a listener, and how one of them makes room for another.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Poll, Waker};
use std::time::{Duration, Instant};

use basaltarch_decide::eviction::{self, ByteNeed, ConnectionFacts, ConnectionStage};

/// Number of bytes that count as progress of a client: slower clients make room for faster ones.
const PROGRESS_BYTES: usize = 4096;
/// Divisor of the allowed connections that yields those evicted at once.
const EVICTION_BATCH_DIVISOR: usize = 64;
/// Longest wait for an evicted connection to end.
const EVICTION_TIMEOUT: Duration = Duration::from_millis(50);

/// `ConnectionTable` is the set of open connections of a listener. Clones share the set.
#[derive(Debug, Clone, Default)]
pub struct ConnectionTable(Rc<TableState>);

#[derive(Debug, Default)]
struct TableState {
    entries: RefCell<Vec<Rc<ConnectionEntry>>>,
    /// Wake those who wait for the end of an evicted connection.
    end_wakers: RefCell<Vec<Waker>>,
    evicted: Cell<u64>,
}

/// `ConnectionEntry` is one open connection: what it is doing, and whether it is to make room.
#[derive(Debug)]
pub struct ConnectionEntry {
    position: Cell<usize>,
    stage: Cell<ConnectionStage>,
    moved_at: Cell<Instant>,
    moved_bytes: Cell<usize>,
    held_bytes: Cell<u64>,
    is_evicted: Cell<bool>,
    eviction_waker: RefCell<Option<Waker>>,
}

impl ConnectionTable {
    /// Returns the number of open connections.
    pub fn len(&self) -> usize {
        self.0.entries.borrow().len()
    }

    /// Says whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns how many connections were closed to make room.
    pub fn evicted_count(&self) -> u64 {
        self.0.evicted.get()
    }

    /// Adds a connection; the connection is removed when the guard is dropped.
    pub fn insert(&self) -> EntryGuard {
        let mut entries = self.0.entries.borrow_mut();
        let entry = Rc::new(ConnectionEntry::new(entries.len()));
        entries.push(entry.clone());
        EntryGuard { table: self.clone(), entry }
    }

    /// Evicts connections for new ones if there are `max` or more: some more than one, so that not
    /// every new connection has to wait. Returns whether there is room.
    pub async fn make_room(&self, max: usize) -> bool {
        if self.len() < max {
            return true;
        }
        let wanted = 1 + max / EVICTION_BATCH_DIVISOR;
        let choose = |facts: &mut dyn Iterator<Item = _>| eviction::choose_for_room(facts);
        if (0..wanted).take_while(|_| self.evict(choose)).count() == 0 {
            return false;
        }
        self.wait_below(max).await;
        self.len() < max
    }

    /// Evicts a connection that stands still and holds bytes for which `need` asks, and waits for its
    /// end. Returns whether there was one.
    pub async fn evict_holder(&self, need: ByteNeed) -> bool {
        let open_count = self.len();
        let has_evicted = self.evict(|facts| eviction::choose_for_bytes(facts, need));
        if has_evicted {
            self.wait_below(open_count).await;
        }
        has_evicted
    }

    /// Waits until fewer than `count` connections are open, but not longer than an evicted connection
    /// takes to end.
    async fn wait_below(&self, count: usize) {
        let _ = monoio::time::timeout(EVICTION_TIMEOUT, self.below(count)).await;
    }

    fn evict<F>(&self, choose: F) -> bool
    where
        F: FnOnce(&mut dyn Iterator<Item = ConnectionFacts>) -> Option<usize>,
    {
        let now = Instant::now();
        let entries = self.0.entries.borrow();
        let present = || entries.iter().filter(|entry| !entry.is_evicted.get());
        let chosen = choose(&mut present().map(|entry| entry.facts(now)));
        let Some(entry) = chosen.and_then(|position| present().nth(position)) else {
            return false;
        };
        self.0.evicted.set(self.0.evicted.get() + 1);
        entry.evict();
        true
    }

    async fn below(&self, max: usize) {
        poll_fn(|context| {
            if self.len() < max {
                return Poll::Ready(());
            }
            self.0.end_wakers.borrow_mut().push(context.waker().clone());
            Poll::Pending
        })
        .await
    }

    fn remove(&self, entry: &ConnectionEntry) {
        let mut entries = self.0.entries.borrow_mut();
        let position = entry.position.get();
        entries.swap_remove(position);
        if let Some(moved) = entries.get(position) {
            moved.position.set(position);
        }
        self.0.end_wakers.borrow_mut().drain(..).for_each(Waker::wake);
    }
}

/// `EntryGuard` keeps a connection in its table until the guard is dropped.
#[derive(Debug)]
pub struct EntryGuard {
    table: ConnectionTable,
    entry: Rc<ConnectionEntry>,
}

impl EntryGuard {
    /// Returns the entry of the connection.
    pub fn entry(&self) -> Rc<ConnectionEntry> {
        self.entry.clone()
    }
}

impl Drop for EntryGuard {
    fn drop(&mut self) {
        self.table.remove(&self.entry);
    }
}

impl ConnectionEntry {
    fn new(position: usize) -> Self {
        Self {
            position: Cell::new(position),
            stage: Cell::new(ConnectionStage::Receiving),
            moved_at: Cell::new(Instant::now()),
            moved_bytes: Cell::new(0),
            held_bytes: Cell::new(0),
            is_evicted: Cell::new(false),
            eviction_waker: RefCell::default(),
        }
    }

    fn facts(&self, now: Instant) -> ConnectionFacts {
        ConnectionFacts {
            stage: self.stage.get(),
            still_time: now.saturating_duration_since(self.moved_at.get()),
            held_bytes: self.held_bytes.get(),
        }
    }

    /// Notes that the connection has entered a stage, which counts as progress.
    pub fn enter(&self, stage: ConnectionStage) {
        self.stage.set(stage);
        self.moved_at.set(Instant::now());
        self.moved_bytes.set(0);
    }

    /// Keeps the connection from making room for others.
    pub fn protect(&self) {
        self.enter(ConnectionStage::Serving);
    }

    /// Notes that the client sent or accepted bytes.
    pub fn note_moved(&self, bytes: usize) {
        let moved_bytes = self.moved_bytes.get() + bytes;
        self.moved_bytes.set(moved_bytes % PROGRESS_BYTES);
        if moved_bytes >= PROGRESS_BYTES {
            self.moved_at.set(Instant::now());
        }
    }

    /// Notes how many bytes are held for the client beyond those of any connection.
    pub fn note_held(&self, bytes: u64) {
        self.held_bytes.set(bytes);
    }

    /// Says whether the connection is to make room.
    pub fn is_evicted(&self) -> bool {
        self.is_evicted.get()
    }

    fn evict(&self) {
        self.is_evicted.set(true);
        if let Some(waker) = self.eviction_waker.borrow_mut().take() {
            waker.wake();
        }
    }

    /// Waits until the connection is to make room. Only the task of the connection waits for it.
    pub async fn evicted(&self) {
        poll_fn(|context| {
            if self.is_evicted.get() {
                return Poll::Ready(());
            }
            *self.eviction_waker.borrow_mut() = Some(context.waker().clone());
            Poll::Pending
        })
        .await
    }
}
