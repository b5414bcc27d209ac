// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Lists the requests that were running at backend servers when the servers crashed, and lifts the
//! refusal of these suspect requests.

use std::rc::Rc;

use basaltarch_core::fingerprint::RequestFingerprint;
use basaltarch_events::process::RequestLifted;
use basaltarch_http::server::{ServerReply, ServerRequest};
use http::StatusCode;
use serde_json::{json, Value};

use crate::admin::{changes, problem};
use crate::state::DaemonState;
use crate::suspects;

/// Lists all suspect requests known to this daemon, in descending order of crashes.
pub fn list(state: &DaemonState) -> ServerReply {
    let notices = state.suspects.notices(state.now());
    let suspects: Vec<Value> = notices
        .iter()
        .map(|notice| {
            json!({
                "fingerprint": notice.fingerprint.to_string(),
                "refused": notice.tally.is_refused(),
                "crashes": notice.tally.crashes,
                "good_runs": notice.tally.round,
                "upstream": &*notice.upstream,
                "seen_ms_ago": notice.seen_ago.as_millis() as u64,
            })
        })
        .collect();
    let body = json!({"seen_from": state.options.host, "suspects": suspects});
    ServerReply::json(StatusCode::OK, &body)
}

/// Lifts the refusal of a request in the whole fleet. Lifting a refusal changes no configuration,
/// so lifting is allowed whatever the source of the configuration is. The log records which
/// operator lifted the refusal.
pub fn lift(state: &Rc<DaemonState>, request: &ServerRequest, text: &str) -> ServerReply {
    let fingerprint = match RequestFingerprint::parse(text) {
        Some(fingerprint) => fingerprint,
        None => return problem(StatusCode::BAD_REQUEST, "a fingerprint has 32 hexadecimal digits"),
    };
    let fingerprint_text = fingerprint.to_string();
    if !suspects::lift_refusal(state, &fingerprint) {
        return problem(
            StatusCode::NOT_FOUND,
            "no request with this fingerprint is suspected here",
        );
    }
    let author = changes::author(request);
    let (actor, from) = (&author.actor, &author.from);
    RequestLifted { fingerprint: &fingerprint_text, actor, from }.log();
    ServerReply::json(StatusCode::OK, &json!({"lifted": fingerprint_text}))
}
