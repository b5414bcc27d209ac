// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Remembers what backend servers of the fleet said of themselves in their responses, and which are
//! leaving by the records of their hosts.
//!
//! The daemon beside a server acts on what the server says, but may restart at any moment. Every
//! daemon therefore remembers what it has passed on to callers, whatever happens to its other state
//! of the service: it names the rate limit with each request for the server, and sends a server that
//! is leaving no more requests. A server is known by the name of its incarnation, so that nothing
//! said by it holds for the next server at its address.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use basaltarch_decide::server_rate::KnownRate;
use fnv::FnvHashMap;

/// Maximum number of servers that are remembered: more than leave or name a limit at once in a large
/// fleet.
const NOTICES_MAX: usize = 16_384;

/// `ServerNotice` is what one backend server said of itself.
#[derive(Debug, Clone, Copy, Default)]
struct ServerNotice {
    /// Rate limit in requests per second, if the server names one.
    rate: Option<f64>,
    is_leaving: bool,
    /// When the server last said any of this.
    heard_at: Duration,
}

/// `NoticeTable` holds the notices of servers that name a rate limit or are leaving.
#[derive(Debug, Default)]
pub struct NoticeTable {
    notices: RefCell<FnvHashMap<Rc<str>, ServerNotice>>,
    /// Number of servers that were recorded as leaving so far.
    leaving_count: Cell<u64>,
}

impl NoticeTable {
    /// Records the rate limit of a server. A limit that is not known leaves the table unchanged.
    pub fn note_rate(&self, upstream: &str, known: KnownRate, now: Duration) {
        let rate = known.per_second();
        let is_remembered = self.notices.borrow().contains_key(upstream);
        if known == KnownRate::Unknown || rate.is_none() && !is_remembered {
            return;
        }
        self.update(upstream, now, |notice| notice.rate = rate);
    }

    /// Records that a server is leaving for good. Returns whether this was not known.
    pub fn note_leaving(&self, upstream: &str, now: Duration) -> bool {
        if self.is_leaving(upstream) {
            return false;
        }
        self.update(upstream, now, |notice| notice.is_leaving = true);
        self.leaving_count.set(self.leaving_count.get() + 1);
        true
    }

    /// Returns the rate limit that a server names, in requests per second.
    pub fn rate(&self, upstream: &str) -> Option<f64> {
        self.notices.borrow().get(upstream).and_then(|notice| notice.rate)
    }

    /// Says whether a server is leaving for good.
    pub fn is_leaving(&self, upstream: &str) -> bool {
        self.notices.borrow().get(upstream).is_some_and(|notice| notice.is_leaving)
    }

    /// Returns how many servers were recorded as leaving so far. The number changes whenever
    /// [`Self::is_leaving`] may answer differently for a server.
    pub fn leaving_count(&self) -> u64 {
        self.leaving_count.get()
    }

    fn update(&self, upstream: &str, now: Duration, change: impl FnOnce(&mut ServerNotice)) {
        let mut notices = self.notices.borrow_mut();
        if !notices.contains_key(upstream) {
            forget_oldest(&mut notices);
        }
        let notice = notices.entry(Rc::from(upstream)).or_default();
        change(notice);
        notice.heard_at = now;
        if notice.rate.is_none() && !notice.is_leaving {
            notices.remove(upstream);
        }
    }
}

/// Makes room for one more notice in a full table.
fn forget_oldest(notices: &mut FnvHashMap<Rc<str>, ServerNotice>) {
    if notices.len() < NOTICES_MAX {
        return;
    }
    let oldest = notices.iter().min_by_key(|(_, notice)| notice.heard_at);
    if let Some(name) = oldest.map(|(name, _)| name.clone()) {
        notices.remove(&name);
    }
}
