// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Requests that crash the backend servers that run them, as known to the whole fleet.
//!
//! The workload is one bad request in a stream of good ones, sent again and again to any daemon,
//! that crashes each server within milliseconds, while good requests run beside it and fail in the
//! crash, popular ones at every server at once.
//!
//! A crashing server does not show which request caused the crash, so every request that ran at the
//! server is suspected. Two rules find the request that causes crashes. First, a crash sets the
//! crash count of a request to one more than the count that was known when the run began. So only a
//! chain of crashes leads to refusal, in which each run began after the previous crash was known: a
//! rack that loses power while it runs a popular request counts as one crash. Second, a successful
//! run at any server begins a new round, in which the crash count starts from 0.
//!
//! Tallies are compared by their rounds first and their crashes second. The tally of a request only
//! rises, so that the tables of daemons that exchange notices converge.

use std::collections::hash_map::Entry;
use std::hash::{Hash, Hasher};
use std::rc::Rc;
use std::time::Duration;

use basaltarch_core::fingerprint::RequestFingerprint;
use fnv::{FnvHashMap, FnvHasher};

/// Crashes in a chain from which a request is refused everywhere. Two servers that crash one after
/// the other for unrelated reasons are seen in practice. After a third crash, the request is taken
/// for the cause.
pub const REFUSED_CRASHES: u32 = 3;
/// Crashes in a chain from which a daemon does not retry a request by itself, so that only the
/// caller can send the next copy. By the time that the copy arrives, the notice of a successful run
/// at another host may have arrived too.
const NO_RETRY_CRASHES: u32 = 2;
/// Time for which a request is remembered after its last copy. Callers that send a request again on
/// a schedule do so within minutes, and a forgotten request crashes three servers again.
pub const SUSPECT_LIFE: Duration = Duration::from_secs(600);
/// Time between two trials of a refused request in the whole fleet. A service that was fixed serves
/// the request again within this time, and a service that was not fixed loses one server to each
/// trial.
pub const TRIAL_EVERY: Duration = Duration::from_secs(120);
/// Maximum number of requests remembered. A crash adds one for each slot of a server, so that the
/// requests of a hundred servers that crash at once fit. The records take about 100 KB.
pub const SUSPECTS_MAX: usize = 512;

/// Number of daemons that are notified by a daemon that saw a crash or a successful run itself,
/// unless all daemons must be notified at once. Also the number of daemons to which a notified
/// daemon forwards the notice that a request is refused.
const NOTIFIED_DAEMONS: usize = 8;
/// Number of daemons to which a notified daemon forwards other notices. The daemon that saw the
/// crash notified all daemons that it is linked to, so that few have not received the notice. In 18
/// runs with 350 daemons and 2 in 100 notices lost, all daemons knew of a refused request within
/// 40 ms, except in one run, in which a heartbeat informed the last one after 1.4 s.
const FORWARDED_DAEMONS: usize = 3;

/// `CrashTally` counts the crashes of servers that ran a request; of two tallies of the same
/// request, the later one is greater.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CrashTally {
    /// Number of the round: how often a successful run reset the crash count.
    pub round: u32,
    /// Crash count: the crashes in a chain in this round.
    pub crashes: u32,
}

impl CrashTally {
    /// Says whether the request is refused.
    pub fn is_refused(self) -> bool {
        self.crashes >= REFUSED_CRASHES
    }

    /// Says whether a daemon may retry the request without a new copy from the caller.
    pub fn allows_retry(self) -> bool {
        self.crashes < NO_RETRY_CRASHES
    }
}

/// `CopyVerdict` says what is done with a copy of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CopyVerdict {
    /// The copy is served.
    Serve,
    /// The copy is served to test whether the request still crashes servers.
    Trial,
    /// The copy is refused.
    Refuse {
        /// Time until the next trial may be made.
        retry_after: Duration,
    },
}

/// `SuspectNotice` is the notice of one daemon to another about a suspect request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuspectNotice {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// Tally of the request.
    pub tally: CrashTally,
    /// Time since a copy of the request was last seen.
    pub seen_ago: Duration,
    /// Server that last crashed while running the request.
    pub upstream: Rc<str>,
}

#[derive(Debug, Clone)]
struct SuspectRecord {
    tally: CrashTally,
    /// When the tally last rose, or the last trial began.
    changed_at: Duration,
    seen_at: Duration,
    upstream: Rc<str>,
}

impl SuspectNotice {
    /// Returns how many daemons are notified by a daemon that saw a crash or a successful run
    /// itself; `before` is the tally before this event. Many daemons see successful runs of a
    /// popular request at the same moment, so each notifies few others. All daemons are notified
    /// after a crash, and after a successful run of a request that the next crash would have had
    /// refused.
    pub fn notify_count(&self, before: CrashTally) -> usize {
        match self.tally.crashes > 0 || !before.allows_retry() {
            true => usize::MAX,
            false => NOTIFIED_DAEMONS,
        }
    }

    /// Returns how many daemons a notified daemon forwards this notice to.
    pub fn forward_count(&self) -> usize {
        match self.tally.is_refused() {
            true => NOTIFIED_DAEMONS,
            false => FORWARDED_DAEMONS,
        }
    }
}

impl SuspectRecord {
    fn is_expired(&self, now: Duration) -> bool {
        now.saturating_sub(self.seen_at) >= SUSPECT_LIFE
    }

    fn notice(&self, fingerprint: RequestFingerprint, now: Duration) -> SuspectNotice {
        SuspectNotice {
            fingerprint,
            tally: self.tally,
            seen_ago: now.saturating_sub(self.seen_at),
            upstream: self.upstream.clone(),
        }
    }

    /// Returns the key by which records are kept: the crashes, then the time of the last copy.
    fn eviction_order(&self) -> (u32, Duration) {
        (self.tally.crashes, self.seen_at)
    }
}

/// `SuspectTable` holds the requests that ran at servers when they crashed.
#[derive(Debug, Clone, Default)]
pub struct SuspectTable {
    records: FnvHashMap<RequestFingerprint, SuspectRecord>,
}

impl SuspectTable {
    /// Says whether the table is empty: if it is, callers need not compute fingerprints.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the number of requests that are refused.
    pub fn refused(&self) -> usize {
        self.records.values().filter(|record| record.tally.is_refused()).count()
    }

    /// Returns the tally of a request.
    pub fn tally(&self, fingerprint: &RequestFingerprint) -> CrashTally {
        self.records.get(fingerprint).map(|record| record.tally).unwrap_or_default()
    }

    /// Records that a server crashed during a run of a request; `before` is the tally of the
    /// request when the run began. Returns the tally if it rose. A run that began in an earlier
    /// round is no evidence any more.
    pub fn note_crash(
        &mut self,
        fingerprint: RequestFingerprint,
        before: CrashTally,
        upstream: &str,
        now: Duration,
    ) -> Option<CrashTally> {
        let tally = CrashTally { crashes: before.crashes + 1, ..before };
        let upstream = Rc::from(upstream);
        let notice = SuspectNotice { fingerprint, tally, seen_ago: Duration::ZERO, upstream };
        self.apply_notice(&notice, now).then_some(tally)
    }

    /// Records that a request ran successfully. Returns the tally of the new round, if a crash was
    /// counted in the previous round.
    pub fn note_success(
        &mut self,
        fingerprint: &RequestFingerprint,
        now: Duration,
    ) -> Option<CrashTally> {
        let record = self.records.get_mut(fingerprint)?;
        if record.tally.crashes == 0 {
            return None;
        }
        record.tally = CrashTally { round: record.tally.round + 1, crashes: 0 };
        record.changed_at = now;
        record.seen_at = now;
        Some(record.tally)
    }

    /// Records the notice of a daemon; says whether it is new, so that it is forwarded.
    pub fn apply_notice(&mut self, notice: &SuspectNotice, now: Duration) -> bool {
        let seen_at = now.saturating_sub(notice.seen_ago);
        if notice.seen_ago >= SUSPECT_LIFE {
            return false;
        }
        match self.records.entry(notice.fingerprint) {
            Entry::Occupied(mut entry) => {
                let record = entry.get_mut();
                record.seen_at = record.seen_at.max(seen_at);
                if record.tally >= notice.tally {
                    return false;
                }
                record.tally = notice.tally;
                record.changed_at = now;
                record.upstream = notice.upstream.clone();
            }
            Entry::Vacant(entry) => {
                let (tally, upstream) = (notice.tally, notice.upstream.clone());
                entry.insert(SuspectRecord { tally, changed_at: now, seen_at, upstream });
            }
        }
        self.evict(now);
        true
    }

    /// Returns the notice by which to answer a daemon that has not learnt of a successful run, so
    /// that its own notice still counts the crashes before that run. Returns `None` if the crashes
    /// in the daemon's notice allow a retry, as the request is then not about to be refused.
    pub fn answer(&self, notice: &SuspectNotice, now: Duration) -> Option<SuspectNotice> {
        let record = self.records.get(&notice.fingerprint)?;
        let is_outdated = record.tally.round > notice.tally.round;
        (is_outdated && !notice.tally.allows_retry())
            .then(|| record.notice(notice.fingerprint, now))
    }

    /// Says what is done with a copy of a request that arrived; `makes_trials` says whether this
    /// daemon is the one in the fleet that makes the trials of the request.
    pub fn judge(
        &mut self,
        fingerprint: &RequestFingerprint,
        makes_trials: impl FnOnce() -> bool,
        now: Duration,
    ) -> CopyVerdict {
        let record = match self.records.get_mut(fingerprint) {
            Some(record) => record,
            None => return CopyVerdict::Serve,
        };
        record.seen_at = now;
        if !record.tally.is_refused() {
            return CopyVerdict::Serve;
        }
        let until_trial = (record.changed_at + TRIAL_EVERY).saturating_sub(now);
        if until_trial.is_zero() && makes_trials() {
            record.changed_at = now;
            return CopyVerdict::Trial;
        }
        CopyVerdict::Refuse { retry_after: until_trial }
    }

    /// Drops the requests of which no copy arrived within [`SUSPECT_LIFE`].
    pub fn forget_old(&mut self, now: Duration) {
        self.records.retain(|_, record| !record.is_expired(now));
    }

    /// Evicts records if there are more than [`SUSPECTS_MAX`]: first those of requests of which no
    /// copy has arrived within [`SUSPECT_LIFE`], then those with the fewest crashes, and of these
    /// the ones whose last copy is the oldest. So a caller who crashes servers with many different
    /// requests makes the fleet forget suspects, never refused requests.
    fn evict(&mut self, now: Duration) {
        if self.records.len() <= SUSPECTS_MAX {
            return;
        }
        self.forget_old(now);
        while self.records.len() > SUSPECTS_MAX {
            let least_retained =
                self.records.iter().min_by_key(|(_, record)| record.eviction_order());
            match least_retained.map(|(fingerprint, _)| *fingerprint) {
                Some(fingerprint) => drop(self.records.remove(&fingerprint)),
                None => return,
            }
        }
    }

    /// Returns all records as notices to another daemon.
    pub fn notices(&self, now: Duration) -> Vec<SuspectNotice> {
        let recent_records = self.records.iter().filter(|(_, record)| !record.is_expired(now));
        recent_records.map(|(fingerprint, record)| record.notice(*fingerprint, now)).collect()
    }

    /// Returns a digest by which two daemons see whether their tables are the same. The digest of
    /// an empty table is 0.
    pub fn digest(&self, now: Duration) -> u64 {
        let recent_records = self.records.iter().filter(|(_, record)| !record.is_expired(now));
        recent_records.fold(0, |sum: u64, (fingerprint, record)| {
            let mut hasher = FnvHasher::default();
            (fingerprint, record.tally).hash(&mut hasher);
            sum.wrapping_add(hasher.finish())
        })
    }
}
