// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The ledger of once-only work: one row for each key, written before the work is dispatched.
//!
//! Rows of requests that come at the same time go into one transaction (group commit), since the
//! platform takes only a few hundred writes a second. Each row carries its writer's token, by which
//! a lost answer is settled.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

use basaltarch_core::units;
use basaltarch_events::process;
use local_sync::oneshot;
use serde::{Deserialize, Serialize};
use serde_json::json;
use sha2::{Digest, Sha256};

use crate::changes;
use crate::errors::StoreError;
use crate::platform::{PlatformClient, RetryPause};
use crate::wire::{self, RowCheck, RowWrite, TableRow};

/// Prefix of the ledger's rows.
pub const LEDGER_PREFIX: &str = "once/";
/// Rows in one transaction; each has a check and a write.
const GROUP_MAX: usize = wire::ENTRIES_MAX / 2;
/// Requests that may wait for a row; more are refused at once.
const WAITING_MAX: usize = 4096;
/// Longest time to settle a row whose answer was lost; after it the request is told "unknown".
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Longest kept answer: receipts are small, and a row must stay small.
pub const KEPT_BODY_MAX: usize = 4 * units::KIB;

/// `OnceKey` names one piece of once-only work.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct OnceKey {
    /// Service that does the work.
    pub service: String,
    /// Organisation of the caller, empty when there is none.
    pub organisation: String,
    /// Key that the caller gave.
    pub key: String,
    /// Digest of what the caller asked for.
    pub digest: String,
}

impl OnceKey {
    /// Returns the key of the ledger's row. Parts are hashed, so that no caller's key can be made
    /// to look like another's.
    pub fn row_key(&self) -> String {
        let parts = [&self.service, &self.organisation, &self.key];
        format!("{LEDGER_PREFIX}{}", digest(parts.iter().map(|part| part.as_bytes())))
    }
}

/// Returns the SHA-256 of parts with their lengths, in hexadecimal.
pub fn digest<'a>(parts: impl Iterator<Item = &'a [u8]>) -> String {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    hasher.finalize().iter().map(|byte| format!("{byte:02x}")).collect()
}

/// `KeptAnswer` is the answer to once-only work, kept for later attempts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KeptAnswer {
    /// HTTP status.
    pub status: u16,
    /// Media type.
    pub media_type: String,
    /// Body as text.
    pub body: String,
}

/// `LedgerEntry` is the value of a ledger's row.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LedgerEntry {
    /// Token of the writer.
    pub writer: String,
    /// Digest of the request.
    pub digest: String,
    /// When the row was written, in milliseconds since 1970.
    pub at_ms: u64,
    /// Epoch in which the row was written, 0 if the writer did not know it.
    #[serde(default)]
    pub epoch: u64,
    /// The answer, once it is there and small enough.
    pub answer: Option<KeptAnswer>,
}

/// `ClaimOutcome` is what came of asking to run once-only work.
#[derive(Debug, Clone, PartialEq)]
pub enum ClaimOutcome {
    /// The work is this caller's to run; the token finishes it.
    Granted(ClaimToken),
    /// The work was started before, and this is its answer.
    Answered(KeptAnswer),
    /// The work was started before, and its answer is not known.
    Started,
    /// The key was used for another request.
    OtherRequest,
    /// The ledger can't be written; the work did not run and no row stays that would stop it.
    Unavailable,
    /// It could not be found out whether the row was written.
    Unsettled,
}

/// `ClaimToken` stands for a row that was written.
#[derive(Debug, Clone, PartialEq)]
pub struct ClaimToken {
    row_key: String,
    version: u64,
    entry: LedgerEntry,
}

struct WaitingClaim {
    row_key: String,
    entry: LedgerEntry,
    since: Instant,
    doubtful: bool,
    reply: oneshot::Sender<ClaimOutcome>,
}

/// `OnceLedger` writes the ledger's rows.
pub struct OnceLedger {
    platform: Rc<PlatformClient>,
    waiting: RefCell<VecDeque<WaitingClaim>>,
    finished: RefCell<VecDeque<(ClaimToken, KeptAnswer)>>,
    abandoned: RefCell<Vec<ClaimToken>>,
    running: Cell<bool>,
    transactions: Cell<u64>,
    epoch: Cell<u64>,
}

impl OnceLedger {
    /// Builds a ledger over the platform.
    pub fn new(platform: Rc<PlatformClient>) -> Rc<Self> {
        Rc::new(Self {
            platform,
            waiting: RefCell::default(),
            finished: RefCell::default(),
            abandoned: RefCell::default(),
            running: Cell::new(false),
            transactions: Cell::new(0),
            epoch: Cell::new(0),
        })
    }

    /// Returns the number of transactions so far.
    pub fn transactions(&self) -> u64 {
        self.transactions.get()
    }

    /// Sets the epoch that new rows carry; 0 while it is not known.
    pub fn set_epoch(&self, epoch: u64) {
        self.epoch.set(epoch);
    }

    /// Asks to run once-only work.
    pub async fn claim(self: &Rc<Self>, key: &OnceKey) -> ClaimOutcome {
        if self.waiting.borrow().len() >= WAITING_MAX {
            return ClaimOutcome::Unavailable;
        }
        let (reply, outcome) = oneshot::channel();
        let entry = LedgerEntry {
            writer: changes::fresh_token(),
            digest: key.digest.clone(),
            at_ms: units::wall_millis(),
            epoch: self.epoch.get(),
            answer: None,
        };
        self.waiting.borrow_mut().push_back(WaitingClaim {
            row_key: key.row_key(),
            entry,
            since: Instant::now(),
            doubtful: false,
            reply,
        });
        self.wake();
        outcome.await.unwrap_or(ClaimOutcome::Unsettled)
    }

    /// Keeps the answer of work that was run, for later attempts. Nothing waits for it.
    pub fn finish(self: &Rc<Self>, token: ClaimToken, answer: KeptAnswer) {
        if answer.body.len() <= KEPT_BODY_MAX && self.finished.borrow().len() < WAITING_MAX {
            self.finished.borrow_mut().push_back((token, answer));
            self.wake();
        }
    }

    /// Takes the row of work that certainly did not run away again, so that it can be run later.
    ///
    /// When the platform does not answer, the row may stay; a later attempt is then told that the
    /// work was started, and it runs no second time.
    pub async fn release(&self, token: ClaimToken) {
        let check = RowCheck { key: token.row_key.clone(), version: token.version };
        let write = RowWrite { key: token.row_key, value: None };
        self.transactions.set(self.transactions.get() + 1);
        if let Err(error) = self.platform.transact(vec![check], vec![write]).await {
            process::OnceRowStays { error: &error.to_string() }.log();
        }
    }

    fn wake(self: &Rc<Self>) {
        if !self.running.replace(true) {
            let ledger = self.clone();
            monoio::spawn(async move {
                ledger.run().await;
            });
        }
    }

    async fn run(self: Rc<Self>) {
        let mut pause = RetryPause::up_to(Duration::from_millis(400));
        loop {
            self.release_abandoned().await;
            let group = self.next_group();
            if group.is_empty() {
                if self.finished.borrow().is_empty() && self.abandoned.borrow().is_empty() {
                    break;
                }
                self.write_answers().await;
                continue;
            }
            if self.write_group(group).await {
                pause.reset();
            } else {
                monoio::time::sleep(pause.next_pause()).await;
            }
        }
        self.running.set(false);
    }

    /// Takes away the rows of callers that no longer waited when their row was written.
    async fn release_abandoned(&self) {
        loop {
            let token = self.abandoned.borrow_mut().pop();
            match token {
                Some(token) => self.release(token).await,
                None => return,
            }
        }
    }

    /// Takes claims for one transaction; two claims of one row go into different ones.
    fn next_group(&self) -> Vec<WaitingClaim> {
        let mut waiting = self.waiting.borrow_mut();
        let mut group: Vec<WaitingClaim> = Vec::new();
        let mut later = VecDeque::new();
        while let Some(claim) = waiting.pop_front() {
            let twice = group.iter().any(|each| each.row_key == claim.row_key);
            if twice || group.len() >= GROUP_MAX {
                later.push_back(claim);
            } else {
                group.push(claim);
            }
        }
        *waiting = later;
        group
    }

    /// Writes a group and answers its claims; returns whether the platform answered.
    async fn write_group(&self, group: Vec<WaitingClaim>) -> bool {
        let checks = group.iter().map(|claim| absent(&claim.row_key)).collect();
        let writes = group.iter().map(|claim| put(&claim.row_key, &claim.entry)).collect();
        self.transactions.set(self.transactions.get() + 1);
        match self.platform.transact(checks, writes).await {
            Ok(version) => {
                for claim in group {
                    self.answer_same(&claim.row_key, version, &claim.entry);
                    let token = ClaimToken { row_key: claim.row_key, version, entry: claim.entry };
                    self.grant(claim.reply, token);
                }
                true
            }
            Err(StoreError::Conflict { rows }) => {
                self.answer_conflicts(group, &rows);
                true
            }
            Err(error) => {
                let claims = group.len() as u64;
                process::ClaimsNotWritten { error: &error.to_string(), claims }.log();
                self.keep_or_refuse(group, error.may_have_happened());
                false
            }
        }
    }

    fn grant(&self, reply: oneshot::Sender<ClaimOutcome>, token: ClaimToken) {
        if let Err(ClaimOutcome::Granted(token)) = reply.send(ClaimOutcome::Granted(token)) {
            self.abandoned.borrow_mut().push(token);
        }
    }

    /// Answers the claims of the same row that wait here: what was just written stands in their way,
    /// and asking the store would say no more. A claim that may itself have been written is not one of
    /// them.
    fn answer_same(&self, row_key: &str, version: u64, entry: &LedgerEntry) {
        let row = TableRow { key: row_key.to_owned(), version, value: json!(entry) };
        let waiting = std::mem::take(&mut *self.waiting.borrow_mut());
        let (same, others): (VecDeque<_>, VecDeque<_>) =
            waiting.into_iter().partition(|claim| claim.row_key == row_key && !claim.doubtful);
        *self.waiting.borrow_mut() = others;
        for claim in same {
            let outcome = judge_row(&claim, &row);
            // A caller that is gone needs no answer.
            let _ = claim.reply.send(outcome);
        }
    }

    fn answer_conflicts(&self, group: Vec<WaitingClaim>, rows: &[TableRow]) {
        for claim in group {
            match rows.iter().find(|row| row.key == claim.row_key) {
                Some(row) => match judge_row(&claim, row) {
                    ClaimOutcome::Granted(token) => self.grant(claim.reply, token),
                    outcome => drop(claim.reply.send(outcome)),
                },
                // The others of the group were not written either; they go into the next one.
                None => self.waiting.borrow_mut().push_back(claim),
            }
        }
    }

    /// After a failed write: claims that certainly left no row are refused, doubtful ones are
    /// written again until it is known or time is up.
    fn keep_or_refuse(&self, group: Vec<WaitingClaim>, may_have_happened: bool) {
        for mut claim in group {
            claim.doubtful |= may_have_happened;
            let late = claim.since.elapsed() > SETTLE_TIME;
            if !claim.doubtful {
                let _ = claim.reply.send(ClaimOutcome::Unavailable);
            } else if late {
                let _ = claim.reply.send(ClaimOutcome::Unsettled);
            } else {
                self.waiting.borrow_mut().push_back(claim);
            }
        }
    }

    fn next_answers(&self) -> Vec<(ClaimToken, KeptAnswer)> {
        let mut finished = self.finished.borrow_mut();
        let count = finished.len().min(GROUP_MAX);
        finished.drain(..count).collect()
    }

    async fn write_answers(&self) {
        let group = self.next_answers();
        let mut checks = Vec::with_capacity(group.len());
        let mut writes = Vec::with_capacity(group.len());
        for (token, answer) in group {
            checks.push(RowCheck { key: token.row_key.clone(), version: token.version });
            let mut entry = token.entry;
            entry.answer = Some(answer);
            writes.push(put(&token.row_key, &entry));
        }
        self.transactions.set(self.transactions.get() + 1);
        // A kept answer is a kindness: without it a later attempt is told that the work was
        // started, which is true.
        if let Err(error) = self.platform.transact(checks, writes).await {
            process::AnswersNotKept { error: &error.to_string() }.log();
        }
    }
}

fn judge_row(claim: &WaitingClaim, row: &TableRow) -> ClaimOutcome {
    let entry: LedgerEntry = match LedgerEntry::deserialize(&row.value) {
        Ok(entry) => entry,
        Err(_) => return ClaimOutcome::Started,
    };
    if entry.writer == claim.entry.writer {
        return ClaimOutcome::Granted(ClaimToken {
            row_key: claim.row_key.clone(),
            version: row.version,
            entry,
        });
    }
    if entry.digest != claim.entry.digest {
        return ClaimOutcome::OtherRequest;
    }
    match entry.answer {
        Some(answer) => ClaimOutcome::Answered(answer),
        None => ClaimOutcome::Started,
    }
}

fn absent(key: &str) -> RowCheck {
    RowCheck { key: key.to_owned(), version: 0 }
}

fn put(key: &str, entry: &LedgerEntry) -> RowWrite {
    RowWrite { key: key.to_owned(), value: Some(json!(entry)) }
}
