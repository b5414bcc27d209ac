// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Reads what a backend server says of itself in the head of a response.

use basaltarch_decide::server_rate::RateStatement;
use basaltarch_http::fields::{self, ExchangeFields};
use http::response;

use crate::host::verify::AnswerVerdict;
use crate::wire;

/// Returns what a response head says about the rate limit of its server; the error is the text of a
/// limit that can't be read.
///
/// A response without a limit ends the limit only if the response is complete and no server error:
/// a server that fails or refuses a request may leave out the field.
pub fn rate_statement(
    names: &ExchangeFields,
    head: &response::Parts,
    verdict: AnswerVerdict,
) -> Result<RateStatement, String> {
    let is_failure = wire::is_server_error(head.status.as_u16());
    Ok(match fields::rate_limit(&head.headers, &names.rate_limit)? {
        Some(rate) => RateStatement::PerSecond(rate),
        None if verdict == AnswerVerdict::Matching && !is_failure => RateStatement::Unlimited,
        None => RateStatement::Silent,
    })
}
