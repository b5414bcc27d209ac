// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Paths to other daemons: their addresses, links and health.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use basaltarch_decide::path::{PathHealth, PathState};
use basaltarch_peer::link::DialledLink;
use fnv::FnvHashMap;
use rand::RngExt;

use crate::signal::RisingSignal;

/// Back-off after the first dial that failed to establish a link.
const DIAL_BACK_OFF_MIN: Duration = Duration::from_millis(100);
/// Longest back-off between two dials: a returning host is dialled after at most this time.
const DIAL_BACK_OFF_MAX: Duration = Duration::from_secs(5);
/// Longest time for which requests may wait for a link that is being established. Within a region,
/// the connection and the handshake take four one-way trips of a few milliseconds.
const DIAL_WAIT_MAX: Duration = Duration::from_millis(100);

/// Length of the back-off from which a daemon without a link counts as lost. The back-off reaches
/// this length after two failed dials in a row.
const LOST_BACK_OFF: Duration = Duration::from_millis(400);
/// Time without an answer to a dial after which a daemon counts as lost.
const DIAL_LOST_AFTER: Duration = Duration::from_secs(1);

/// `PeerPath` is the path to one other daemon.
pub struct PeerPath {
    /// Host of the daemon.
    pub host: Rc<str>,
    /// Whether the path leads to this daemon itself.
    pub is_self: bool,
    address: Cell<Option<SocketAddr>>,
    link: RefCell<Option<Rc<DialledLink>>>,
    health: RefCell<PathHealth>,
    dialling: Cell<bool>,
    /// Number of the last dial.
    last_dial: Cell<u64>,
    /// Number of the dial that established the last link.
    linked_dial: Cell<u64>,
    /// Time of the last dial.
    dialled_at: Cell<Duration>,
    changed: RisingSignal,
    back_off: Cell<Duration>,
    /// Earliest time of the next dial.
    retry_at: Cell<Duration>,
    leaving: Cell<bool>,
    /// Whether no frame arrives over the link although the peer should send frames.
    is_black_holed: Cell<bool>,
    used_at: Cell<Duration>,
}

impl PeerPath {
    fn new(host: &str, is_self: bool) -> Self {
        Self {
            host: Rc::from(host),
            is_self,
            address: Cell::new(None),
            link: RefCell::default(),
            health: RefCell::new(PathHealth::new(Duration::ZERO)),
            dialling: Cell::new(false),
            last_dial: Cell::new(0),
            linked_dial: Cell::new(0),
            dialled_at: Cell::new(Duration::ZERO),
            changed: RisingSignal::default(),
            back_off: Cell::new(DIAL_BACK_OFF_MIN),
            retry_at: Cell::new(Duration::ZERO),
            leaving: Cell::new(false),
            is_black_holed: Cell::new(false),
            used_at: Cell::new(Duration::ZERO),
        }
    }

    /// Returns the address of the daemon, if it is known.
    pub fn address(&self) -> Option<SocketAddr> {
        self.address.get()
    }

    /// Records the address of the daemon. If the address is new, closes the link to the old
    /// address.
    pub fn note_address(&self, address: SocketAddr) {
        if self.address.get() == Some(address) {
            return;
        }
        self.address.set(Some(address));
        self.retry_at.set(Duration::ZERO);
        self.back_off.set(DIAL_BACK_OFF_MIN);
        if let Some(link) = self.link.borrow_mut().take() {
            link.end();
        }
        self.changed.raise();
    }

    /// Records whether the daemon of this path is leaving.
    pub fn note_leaving(&self, leaving: bool) {
        self.leaving.set(leaving);
    }

    /// Returns whether the daemon of this path is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    /// Records whether the link is black-holed: no frame arrives over the link although the peer
    /// should send frames. Returns the previous value.
    pub fn note_silence(&self, is_black_holed: bool) -> bool {
        self.is_black_holed.replace(is_black_holed)
    }

    /// Returns the back-off before the next dial.
    pub fn back_off(&self) -> Duration {
        self.back_off.get()
    }

    /// Returns whether requests may be sent along this path.
    pub fn is_usable(&self, now: Duration) -> bool {
        if self.is_self {
            return true;
        }
        if self.address.get().is_none() {
            return false;
        }
        if self.link.borrow().is_some() {
            return self.state(now) == PathState::Up;
        }
        if self.dialling.get() {
            // A daemon that does not answer the dial within `DIAL_WAIT_MAX` may have stopped. The
            // path to a distant daemon becomes usable once its link is established.
            return now.saturating_sub(self.dialled_at.get()) < DIAL_WAIT_MAX;
        }
        now >= self.retry_at.get()
    }

    /// Returns whether the daemon counts as lost: dials to the daemon have failed, so that it may
    /// have stopped for good although its host is still listed.
    pub fn is_lost(&self, now: Duration) -> bool {
        let is_unanswered =
            self.dialling.get() && now.saturating_sub(self.dialled_at.get()) >= DIAL_LOST_AFTER;
        self.link.borrow().is_none() && (is_unanswered || self.back_off.get() >= LOST_BACK_OFF)
    }

    /// Returns whether the daemon is linked again after its link broke, but has not yet answered
    /// enough probes for the path to count as up.
    pub fn is_proving(&self, now: Duration) -> bool {
        self.link.borrow().is_some() && self.state(now) == PathState::Proving
    }

    /// Returns the state of the path.
    pub fn state(&self, now: Duration) -> PathState {
        self.health.borrow_mut().state(now)
    }

    /// Returns the time since the last frame from the daemon.
    pub fn time_since_frame(&self, now: Duration) -> Duration {
        self.health.borrow().time_since_frame(now)
    }

    /// Returns the link to the daemon, if one is established.
    pub fn link(&self) -> Option<Rc<DialledLink>> {
        self.link.borrow().clone()
    }

    /// Records that the path was used at the time `now`.
    pub fn note_used(&self, now: Duration) {
        self.used_at.set(now);
    }

    /// Returns when the path was last used.
    pub fn used_at(&self) -> Duration {
        self.used_at.get()
    }

    /// Starts a dial and returns its number, by which the caller reports the result. Returns `None`
    /// if another dial is in progress or the back-off is not over.
    pub fn start_dial(&self, now: Duration) -> Option<u64> {
        if self.dialling.get() || now < self.retry_at.get() {
            return None;
        }
        self.dialling.set(true);
        self.dialled_at.set(now);
        self.last_dial.set(self.last_dial.get() + 1);
        Some(self.last_dial.get())
    }

    /// Returns whether a dial is in progress.
    pub fn is_dialling(&self) -> bool {
        self.dialling.get()
    }

    /// Waits until the change count exceeds `seen`, that is, until a dial ends, the link ends or
    /// the address changes.
    pub async fn wait_change(&self, seen: u64) {
        self.changed.above(seen).await;
    }

    /// Returns the change count, which [`Self::wait_change`] takes as `seen`.
    pub fn change_count(&self) -> u64 {
        self.changed.get()
    }

    /// Adopts the link that a dial established and returns the link that it replaces, if any.
    pub fn note_linked(
        &self,
        dial: u64,
        link: Rc<DialledLink>,
        now: Duration,
    ) -> Option<Rc<DialledLink>> {
        self.dialling.set(false);
        self.linked_dial.set(dial);
        self.back_off.set(DIAL_BACK_OFF_MIN);
        let former = self.link.borrow_mut().replace(link);
        self.health.borrow_mut().note_frame(now);
        self.changed.raise();
        former
    }

    /// Records that the link of a dial ended or could not be established; the back-off before the
    /// next dial grows exponentially. The end of a link that was already replaced has no effect.
    pub fn note_unlinked(&self, dial: u64, now: Duration) {
        let is_last_dial = self.last_dial.get() == dial;
        if is_last_dial {
            self.dialling.set(false);
        }
        if self.linked_dial.get() == dial {
            self.link.borrow_mut().take();
            self.health.borrow_mut().note_broken(now);
        } else if !is_last_dial {
            return;
        }
        let back_off = self.back_off.get();
        let jitter = rand::rng().random_range(0.5..=1.0);
        self.retry_at.set(now + back_off.mul_f64(jitter));
        self.back_off.set((back_off * 2).min(DIAL_BACK_OFF_MAX));
        self.changed.raise();
    }

    /// Records that this host was suspended: no frames could be received during the suspend, and
    /// pending probes are invalid.
    pub fn note_resumed(&self, now: Duration) {
        self.health.borrow_mut().note_resumed(now);
    }

    /// Records that a frame arrived over the link.
    pub fn note_frame(&self, now: Duration) {
        self.health.borrow_mut().note_frame(now);
    }

    /// Makes a probe of the daemon due although the path is not in use, unless a frame arrives
    /// first: an attempt outlasted its hedging delay, a load probe was not answered in time, or
    /// other links were found to be black-holed.
    pub fn request_probe(&self) {
        self.health.borrow_mut().request_probe();
    }

    /// Records that the daemon was sent a message that it replies to.
    pub fn await_reply(&self, now: Duration) {
        self.health.borrow_mut().await_reply(now);
    }

    /// Records that the daemon answered a probe.
    pub fn note_answer(&self, now: Duration) {
        self.health.borrow_mut().note_answer(now);
    }

    /// Records the round-trip time of an answer from the daemon.
    pub fn note_round_trip(&self, round_trip: Duration) {
        self.health.borrow_mut().note_round_trip(round_trip);
    }

    /// Returns the longest of the last few round-trip times, if any was measured.
    pub fn round_trip(&self) -> Option<Duration> {
        self.health.borrow().round_trip()
    }

    /// Returns whether the daemon should be probed now; `in_use` says whether the path is in use.
    pub fn is_probe_due(&self, now: Duration, in_use: bool) -> bool {
        self.health.borrow_mut().probe(now, in_use)
    }
}

/// Shortest time between two requests to probe all links: each probe costs a heartbeat and its
/// reply.
const ALL_PROBES_INTERVAL: Duration = Duration::from_secs(1);

/// `PeerTable` holds the path to each known host.
pub struct PeerTable {
    own_host: Rc<str>,
    paths: RefCell<FnvHashMap<Rc<str>, Rc<PeerPath>>>,
    all_probes_at: Cell<Option<Duration>>,
}

impl PeerTable {
    /// Builds the table of the daemon on `own_host`.
    pub fn new(own_host: &str) -> Self {
        Self {
            own_host: Rc::from(own_host),
            paths: RefCell::default(),
            all_probes_at: Cell::default(),
        }
    }

    /// Returns the path to a host, which is created if the table has none.
    pub fn path(&self, host: &str) -> Rc<PeerPath> {
        if let Some(path) = self.paths.borrow().get(host) {
            return path.clone();
        }
        let path = Rc::new(PeerPath::new(host, host == &*self.own_host));
        let mut paths = self.paths.borrow_mut();
        paths.insert(path.host.clone(), path.clone());
        path
    }

    /// Makes a probe due on every link, idle links included, unless frames arrive over the link:
    /// black-holed links must be found before requests are lost on them, one after the other.
    /// Returns whether the probes were requested, which they are at most once in
    /// [`ALL_PROBES_INTERVAL`].
    pub fn request_probes(&self, now: Duration) -> bool {
        let is_recent = |at: Duration| now.saturating_sub(at) < ALL_PROBES_INTERVAL;
        if self.all_probes_at.get().is_some_and(is_recent) {
            return false;
        }
        self.all_probes_at.set(Some(now));
        for path in self.linked() {
            path.request_probe();
        }
        true
    }

    /// Returns every path that has a link.
    pub fn linked(&self) -> Vec<Rc<PeerPath>> {
        let paths = self.paths.borrow();
        let linked = paths.values().filter(|path| path.link.borrow().is_some());
        linked.cloned().collect()
    }
}
