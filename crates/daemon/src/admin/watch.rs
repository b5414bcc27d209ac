// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Watches: streams of accepted changes as JSON lines, starting after any revision whose following
//! changes are still cached.

use std::rc::Rc;
use std::time::Duration;

use basaltarch_core::config::ChangeRecord;
use basaltarch_core::resources::ResourceKind;
use basaltarch_core::units::FleetRevision;
use basaltarch_http::server::{ReplyBody, ServerReply, ServerRequest};
use bytes::Bytes;
use futures_util::stream;
use futures_util::{select_biased, FutureExt, StreamExt};
use http::StatusCode;
use serde_json::{json, Value};

use crate::admin::{self, read};
use crate::state::DaemonState;

/// Time between the bookmarks of an idle watch, which show the reader that the stream is alive.
const BOOKMARK_EVERY: Duration = Duration::from_secs(10);

struct WatchState {
    daemon: Rc<DaemonState>,
    kind: Option<ResourceKind>,
    seen_revision: FleetRevision,
    has_ended: bool,
}

/// Starts a watch; `watch=` or `after=` gives the last revision that the reader has seen.
pub fn start(
    state: &Rc<DaemonState>,
    request: &ServerRequest,
    kind: Option<ResourceKind>,
) -> ServerReply {
    let text = request.query("watch").or_else(|| request.query("after")).unwrap_or("");
    let seen_revision = match text.parse() {
        Ok(revision) => FleetRevision(revision),
        Err(_) => {
            let message = format!("watch: {text:?} is not a revision");
            return admin::problem(StatusCode::UNPROCESSABLE_ENTITY, message);
        }
    };
    if state.config.records_after(seen_revision).is_none() {
        let body = json!({
            "error": "changes after this revision are no longer cached here",
            "start_again_at": state.config.revision(),
        });
        return ServerReply::json(StatusCode::GONE, &body);
    }
    let watch = WatchState { daemon: state.clone(), kind, seen_revision, has_ended: false };
    let lines = stream::unfold(watch, next_lines).boxed_local();
    let mut reply = ServerReply::whole(StatusCode::OK, "application/jsonlines", Bytes::new());
    reply.body = ReplyBody::Stream(lines);
    reply
}

async fn next_lines(mut watch: WatchState) -> Option<(Bytes, WatchState)> {
    if watch.has_ended {
        return None;
    }
    loop {
        let change_count = watch.daemon.config.changed().get();
        let records = match watch.daemon.config.records_after(watch.seen_revision) {
            Some(records) => records,
            None => return Some(watch.end("the next changes are no longer cached here")),
        };
        if watch.daemon.is_stopping() {
            return Some(watch.end("this daemon is shutting down; continue at another one"));
        }
        if let Some(last) = records.last() {
            watch.seen_revision = last.revision;
            let lines = watch.lines(&records);
            if !lines.is_empty() {
                return Some((lines, watch));
            }
            continue;
        }
        let daemon = watch.daemon.clone();
        let mut changed = std::pin::pin!(daemon.config.changed().above(change_count).fuse());
        let mut stopping = std::pin::pin!(daemon.stop.asked.raised().fuse());
        let mut idle = std::pin::pin!(monoio::time::sleep(BOOKMARK_EVERY).fuse());
        select_biased! {
            _ = changed => {}
            () = stopping => {}
            () = idle => {
                let line = json_line(&json!({ "bookmark": watch.seen_revision }));
                return Some((line, watch));
            }
        }
    }
}

impl WatchState {
    fn lines(&self, records: &[Rc<ChangeRecord>]) -> Bytes {
        let mut lines = Vec::new();
        for record in records {
            if let Some(value) = self.select(record) {
                lines.extend_from_slice(&json_line(&value));
            }
        }
        Bytes::from(lines)
    }

    fn select(&self, record: &ChangeRecord) -> Option<Value> {
        let mut record = record.clone();
        if let Some(kind) = self.kind {
            record.changes.retain(|change| change.kind == kind.name());
        }
        (!record.changes.is_empty()).then(|| read::audit_json(&record))
    }

    fn end(mut self, reason: &str) -> (Bytes, Self) {
        self.has_ended = true;
        let revision = self.daemon.config.revision();
        let value =
            json!({"error": reason, "seen": self.seen_revision, "start_again_at": revision});
        (json_line(&value), self)
    }
}

fn json_line(value: &Value) -> Bytes {
    Bytes::from(format!("{value}\n"))
}
