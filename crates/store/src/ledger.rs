// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The ledger of at-most-once requests: one row for each idempotency key, written before the
//! request is dispatched.
//!
//! Rows of concurrent requests are written in one transaction (group commit), since the platform
//! accepts only a few hundred writes a second. Each row carries the token of its writer. By this
//! token, a writer finds out whether a write took effect after the store's answer was lost.

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
use crate::platform::{PlatformClient, RetryBackoff};
use crate::transaction::{self, RowCheck, RowWrite, TableRow};

/// Prefix of the ledger's rows.
pub const LEDGER_PREFIX: &str = "once/";
/// Maximum number of ledger rows in one transaction; each row takes a check and a write.
const GROUP_ROWS_MAX: usize = transaction::ENTRIES_MAX / 2;
/// Maximum length of the queue of claims that wait for their rows to be written, and of the queue
/// of answers that wait to be recorded. Further claims are refused immediately, and further answers
/// are not recorded.
const QUEUE_LENGTH_MAX: usize = 4096;
/// Time from the start of a claim for which the claim is retried after the store's answer was lost,
/// to find out whether the row was written. After this time the claim ends as
/// [`ClaimOutcome::Unsettled`], an unknown outcome.
const CLAIM_RETRY_TIME: Duration = Duration::from_secs(5);
/// Maximum size in bytes of the body of a recorded answer. The usual answers, receipts, are small,
/// and a ledger row must stay small.
pub const KEPT_BODY_BYTES_MAX: usize = 4 * units::KIB;

/// `OnceKey` identifies one at-most-once request (its idempotency key).
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct OnceKey {
    /// Service that handles the request.
    pub service: String,
    /// Organisation of the caller; empty if the caller has no organisation.
    pub organisation: String,
    /// Key that the caller supplied.
    pub key: String,
    /// Digest of the request.
    pub digest: String,
}

impl OnceKey {
    /// Returns the key of the ledger row. The parts are hashed with their lengths, so that no
    /// caller can craft a key that collides with the key of another caller.
    pub fn row_key(&self) -> String {
        let parts = [&self.service, &self.organisation, &self.key];
        format!("{LEDGER_PREFIX}{}", digest(parts.iter().map(|part| part.as_bytes())))
    }
}

/// Returns the SHA-256 of length-prefixed parts, in hexadecimal.
pub fn digest<'a>(parts: impl Iterator<Item = &'a [u8]>) -> String {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    hasher.finalize().iter().map(|byte| format!("{byte:02x}")).collect()
}

/// `KeptAnswer` is the answer to an at-most-once request, recorded to be replayed to later
/// attempts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KeptAnswer {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub media_type: String,
    /// Body as text.
    pub body: String,
}

/// `LedgerEntry` is the value of a ledger row.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LedgerEntry {
    /// Token of the writer.
    pub writer: String,
    /// Digest of the request.
    pub digest: String,
    /// Time of the claim, in milliseconds since 1970 UTC, by the writer's clock.
    pub at_ms: u64,
    /// Epoch in which the row was written; 0 if the writer did not know the epoch.
    #[serde(default)]
    pub epoch: u64,
    /// The complete answer; absent until the request has finished, or if the answer was too large
    /// or could not be recorded.
    pub answer: Option<KeptAnswer>,
}

/// `ClaimOutcome` is the result of claiming the key of an at-most-once request.
#[derive(Debug, Clone, PartialEq)]
pub enum ClaimOutcome {
    /// The claimant may run the request; the token finishes or releases the claim.
    Granted(ClaimToken),
    /// An earlier attempt ran the request; holds the recorded answer.
    Answered(KeptAnswer),
    /// An earlier attempt started the request, and no answer is recorded.
    Started,
    /// The key was used for a different request.
    OtherRequest,
    /// The ledger can't be written. The request did not run, and no row remains that would keep a
    /// later attempt from running the request.
    Unavailable,
    /// The store's answer was lost, and retries did not show whether the row was written.
    Unsettled,
}

/// `ClaimToken` refers to the written row of a granted claim.
#[derive(Debug, Clone, PartialEq)]
pub struct ClaimToken {
    row_key: String,
    version: u64,
    entry: LedgerEntry,
}

struct WaitingClaim {
    row_key: String,
    entry: LedgerEntry,
    claimed_at: Instant,
    may_be_written: bool,
    reply: oneshot::Sender<ClaimOutcome>,
}

/// `OnceLedger` writes the rows of the ledger.
pub struct OnceLedger {
    platform: Rc<PlatformClient>,
    waiting: RefCell<VecDeque<WaitingClaim>>,
    finished: RefCell<VecDeque<(ClaimToken, KeptAnswer)>>,
    abandoned: RefCell<Vec<ClaimToken>>,
    is_running: Cell<bool>,
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
            is_running: Cell::new(false),
            transactions: Cell::new(0),
            epoch: Cell::new(0),
        })
    }

    /// Returns the number of transactions that the ledger has made.
    pub fn transactions(&self) -> u64 {
        self.transactions.get()
    }

    /// Sets the epoch of new rows; 0 while the current epoch is unknown.
    pub fn set_epoch(&self, epoch: u64) {
        self.epoch.set(epoch);
    }

    /// Claims the key of an at-most-once request before the request runs.
    pub async fn claim(self: &Rc<Self>, key: &OnceKey) -> ClaimOutcome {
        if self.waiting.borrow().len() >= QUEUE_LENGTH_MAX {
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
            claimed_at: Instant::now(),
            may_be_written: false,
            reply,
        });
        self.ensure_running();
        outcome.await.unwrap_or(ClaimOutcome::Unsettled)
    }

    /// Records the answer of a finished request for later attempts, in the background.
    pub fn finish(self: &Rc<Self>, token: ClaimToken, answer: KeptAnswer) {
        if answer.body.len() <= KEPT_BODY_BYTES_MAX
            && self.finished.borrow().len() < QUEUE_LENGTH_MAX
        {
            self.finished.borrow_mut().push_back((token, answer));
            self.ensure_running();
        }
    }

    /// Removes the row of a request that certainly did not run, so that a later attempt can run the
    /// request.
    ///
    /// If the platform does not answer, the row may remain. A later attempt then gets the answer
    /// that the request was started, and does not run the request.
    pub async fn release(&self, token: ClaimToken) {
        let check = RowCheck { key: token.row_key.clone(), version: token.version };
        let write = RowWrite { key: token.row_key, value: None };
        self.transactions.set(self.transactions.get() + 1);
        if let Err(error) = self.platform.transact(vec![check], vec![write]).await {
            process::OnceRowStays { error: &error.to_string() }.log();
        }
    }

    fn ensure_running(self: &Rc<Self>) {
        if !self.is_running.replace(true) {
            let ledger = self.clone();
            monoio::spawn(async move {
                ledger.run().await;
            });
        }
    }

    async fn run(self: Rc<Self>) {
        let mut backoff = RetryBackoff::with_max_delay(Duration::from_millis(400));
        loop {
            self.release_abandoned().await;
            let group = self.take_next_group();
            if group.is_empty() {
                if self.finished.borrow().is_empty() && self.abandoned.borrow().is_empty() {
                    break;
                }
                self.write_answers().await;
                continue;
            }
            if self.write_group(group).await {
                backoff.reset();
            } else {
                monoio::time::sleep(backoff.next_delay()).await;
            }
        }
        self.is_running.set(false);
    }

    /// Releases the claims of callers that had disconnected by the time their rows were written.
    async fn release_abandoned(&self) {
        loop {
            let token = self.abandoned.borrow_mut().pop();
            match token {
                Some(token) => self.release(token).await,
                None => return,
            }
        }
    }

    /// Takes the claims of the next transaction; claims of the same row go into separate
    /// transactions.
    fn take_next_group(&self) -> Vec<WaitingClaim> {
        let mut waiting = self.waiting.borrow_mut();
        let mut group: Vec<WaitingClaim> = Vec::new();
        let mut remaining = VecDeque::new();
        while let Some(claim) = waiting.pop_front() {
            let is_duplicate = group.iter().any(|each| each.row_key == claim.row_key);
            if is_duplicate || group.len() >= GROUP_ROWS_MAX {
                remaining.push_back(claim);
            } else {
                group.push(claim);
            }
        }
        *waiting = remaining;
        group
    }

    /// Writes the rows of a group of claims in one transaction and sends the outcome of each claim
    /// to its caller. Returns whether the platform answered.
    async fn write_group(&self, group: Vec<WaitingClaim>) -> bool {
        let checks = group.iter().map(|claim| row_absent_check(&claim.row_key)).collect();
        let writes = group.iter().map(|claim| row_write(&claim.row_key, &claim.entry)).collect();
        self.transactions.set(self.transactions.get() + 1);
        match self.platform.transact(checks, writes).await {
            Ok(version) => {
                for claim in group {
                    self.resolve_same_row(&claim.row_key, version, &claim.entry);
                    let token = ClaimToken { row_key: claim.row_key, version, entry: claim.entry };
                    self.grant(claim.reply, token);
                }
                true
            }
            Err(StoreError::Conflict { rows }) => {
                self.resolve_conflicts(group, &rows);
                true
            }
            Err(error) => {
                let claims = group.len() as u64;
                process::ClaimsNotWritten { error: &error.to_string(), claims }.log();
                self.retry_or_refuse(group, error.may_have_happened());
                false
            }
        }
    }

    /// Grants a claim, or schedules the release of the row if the caller has disconnected.
    fn grant(&self, reply: oneshot::Sender<ClaimOutcome>, token: ClaimToken) {
        if let Err(ClaimOutcome::Granted(token)) = reply.send(ClaimOutcome::Granted(token)) {
            self.abandoned.borrow_mut().push(token);
        }
    }

    /// Resolves the waiting claims of a row that was just written, since the store would only
    /// report a conflict with that row for these claims. A claim whose own write may have taken
    /// effect keeps waiting.
    fn resolve_same_row(&self, row_key: &str, version: u64, entry: &LedgerEntry) {
        let row = TableRow { key: row_key.to_owned(), version, value: json!(entry) };
        let waiting = std::mem::take(&mut *self.waiting.borrow_mut());
        let (same_row_claims, other_claims): (VecDeque<_>, VecDeque<_>) = waiting
            .into_iter()
            .partition(|claim| claim.row_key == row_key && !claim.may_be_written);
        *self.waiting.borrow_mut() = other_claims;
        for claim in same_row_claims {
            let outcome = resolve_claim(&claim, &row);
            // A caller that has disconnected needs no reply.
            let _ = claim.reply.send(outcome);
        }
    }

    fn resolve_conflicts(&self, group: Vec<WaitingClaim>, rows: &[TableRow]) {
        for claim in group {
            match rows.iter().find(|row| row.key == claim.row_key) {
                Some(row) => match resolve_claim(&claim, row) {
                    ClaimOutcome::Granted(token) => self.grant(claim.reply, token),
                    outcome => drop(claim.reply.send(outcome)),
                },
                // The transaction was atomic: claims without a conflict were not written either and
                // are retried.
                None => self.waiting.borrow_mut().push_back(claim),
            }
        }
    }

    /// Handles a failed write: refuses claims whose rows were certainly not written, and retries
    /// claims whose rows may have been written until the outcome is known or [`CLAIM_RETRY_TIME`]
    /// has passed.
    fn retry_or_refuse(&self, group: Vec<WaitingClaim>, may_have_happened: bool) {
        for mut claim in group {
            claim.may_be_written |= may_have_happened;
            let has_timed_out = claim.claimed_at.elapsed() > CLAIM_RETRY_TIME;
            if !claim.may_be_written {
                let _ = claim.reply.send(ClaimOutcome::Unavailable);
            } else if has_timed_out {
                let _ = claim.reply.send(ClaimOutcome::Unsettled);
            } else {
                self.waiting.borrow_mut().push_back(claim);
            }
        }
    }

    fn take_next_answers(&self) -> Vec<(ClaimToken, KeptAnswer)> {
        let mut finished = self.finished.borrow_mut();
        let count = finished.len().min(GROUP_ROWS_MAX);
        finished.drain(..count).collect()
    }

    async fn write_answers(&self) {
        let group = self.take_next_answers();
        let mut checks = Vec::with_capacity(group.len());
        let mut writes = Vec::with_capacity(group.len());
        for (token, answer) in group {
            checks.push(RowCheck { key: token.row_key.clone(), version: token.version });
            let mut entry = token.entry;
            entry.answer = Some(answer);
            writes.push(row_write(&token.row_key, &entry));
        }
        self.transactions.set(self.transactions.get() + 1);
        // Recording answers is best effort. Without a recorded answer, a later attempt gets
        // [`ClaimOutcome::Started`], which is still correct.
        if let Err(error) = self.platform.transact(checks, writes).await {
            process::AnswersNotKept { error: &error.to_string() }.log();
        }
    }
}

fn resolve_claim(claim: &WaitingClaim, row: &TableRow) -> ClaimOutcome {
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

fn row_absent_check(key: &str) -> RowCheck {
    RowCheck { key: key.to_owned(), version: 0 }
}

fn row_write(key: &str, entry: &LedgerEntry) -> RowWrite {
    RowWrite { key: key.to_owned(), value: Some(json!(entry)) }
}
