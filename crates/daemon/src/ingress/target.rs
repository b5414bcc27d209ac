// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Resolves a request against the configuration: its route and its caller.

use std::rc::Rc;

use basaltarch_core::config::ActiveConfig;
use basaltarch_core::outcome::NotRunReason;
use basaltarch_core::routes::{RouteEntry, RouteMatch};
use http::{header, request, HeaderValue, Method, StatusCode, Version};

use crate::freshness;
use crate::ingress::caller_key::{self, CallerIdentity, GivenKey};
use crate::ingress::failure::CallerFailure;
use crate::state::DaemonState;

/// `RequestTarget` is the route and the caller of a request.
pub struct RequestTarget {
    /// Route of the request.
    pub route: Rc<RouteEntry>,
    /// Caller of the request.
    pub caller: CallerIdentity,
}

/// `TargetQuery` holds the parts of a request from which its route and its caller are resolved.
pub struct TargetQuery<'a> {
    /// Head of the request.
    pub head: &'a request::Parts,
    /// Host name that the request is addressed to.
    pub host: &'a str,
    /// Id of the request. The id of a nested call names the parent request. A nested call whose
    /// parent request runs on this host needs no key.
    pub id: &'a str,
}

/// Resolves the route and the caller of a request. A refusal says that something is not configured,
/// and callers treat such a refusal as permanent. A request is therefore refused only if the
/// configuration is confirmed to be the newest: a daemon that has received no changes for a while
/// may not know of a route that was added in that time.
pub async fn resolve(
    state: &Rc<DaemonState>,
    query: &TargetQuery<'_>,
) -> Result<(Rc<ActiveConfig>, RequestTarget), CallerFailure> {
    let active = state.config.active();
    let failure = match find_target(state, &active, query) {
        Ok(target) => return Ok((active, target)),
        Err(failure) => failure,
    };
    if !freshness::is_certain(state).await {
        return Err(CallerFailure::not_run(NotRunReason::ConfigurationUnsure));
    }
    let newest = state.config.active();
    if newest.revision == active.revision {
        return Err(failure);
    }
    find_target(state, &newest, query).map(|target| (newest, target))
}

fn find_target(
    state: &DaemonState,
    active: &ActiveConfig,
    query: &TargetQuery<'_>,
) -> Result<RequestTarget, CallerFailure> {
    let route = find_route(active, query.head, query.host)?;
    let given = GivenKey::of(&query.head.headers, &state.fields.api_key);
    let parent = match given {
        GivenKey::Missing => state.host.calls.parent_of(query.id),
        _ => None,
    };
    let caller = match parent {
        Some(parent) => CallerIdentity::of_call(parent.organisation.clone()),
        None => caller_key::identify(active, &given, route.rule.needs_key)?,
    };
    Ok(RequestTarget { route, caller })
}

fn find_route(
    active: &ActiveConfig,
    head: &request::Parts,
    host: &str,
) -> Result<Rc<RouteEntry>, CallerFailure> {
    match active.routes.find(host, head.uri.path(), head.method.as_str()) {
        RouteMatch::Found(route) => Ok(route),
        RouteMatch::Missing => Err(CallerFailure::not_run(NotRunReason::NoRoute)),
        RouteMatch::WrongMethod(methods) => {
            let status = StatusCode::METHOD_NOT_ALLOWED;
            let mut failure =
                CallerFailure::bad_request(status, "the route does not serve this method");
            failure.allow = Some(methods.join(", "));
            Err(failure)
        }
    }
}

/// Returns the host name that a request is addressed to: the host name in an absolute target, else
/// the host name in the `Host` field.
pub fn caller_host(head: &request::Parts) -> Result<String, CallerFailure> {
    let bad_request_failure =
        |message: &str| CallerFailure::bad_request(StatusCode::BAD_REQUEST, message);
    if head.method == Method::CONNECT {
        let message = "the method CONNECT is not supported";
        return Err(CallerFailure::bad_request(StatusCode::NOT_IMPLEMENTED, message));
    }
    let mut hosts = head.headers.get_all(header::HOST).iter();
    let field = hosts.next();
    if hosts.next().is_some() {
        return Err(bad_request_failure("the request has more than one Host field"));
    }
    if field.is_none() && head.version == Version::HTTP_11 {
        return Err(bad_request_failure("the request has no Host field"));
    }
    let absolute = head.uri.authority().map(|authority| authority.as_str());
    if absolute.is_some() && head.uri.scheme().is_none() {
        return Err(bad_request_failure("the request target is an authority without a path"));
    }
    let field = match field.map(HeaderValue::to_str) {
        Some(Ok(text)) => Some(text),
        Some(Err(_)) => return Err(bad_request_failure("the Host field is not visible ASCII")),
        None => None,
    };
    let host = absolute.or(field).unwrap_or_default();
    Ok(without_port(host).to_ascii_lowercase())
}

/// Returns a host without its port. The colons of an IPv6 address are enclosed in brackets, and are
/// not taken for the start of a port.
fn without_port(host: &str) -> &str {
    match host.rfind(':') {
        Some(colon) if !host[colon..].contains(']') => &host[..colon],
        _ => host,
    }
}
