// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The resources that operators declare, and the validation of their values.

use std::net::SocketAddr;
use std::rc::Rc;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::errors::{self, ResourceError};
use crate::organisations::KeyDigest;

/// Maximum length of a resource name in bytes; the bound keeps table keys and logs short.
pub const NAME_BYTES_MAX: usize = 128;
/// Maximum number of slots of one backend server; typical servers have 3 or 4 slots.
pub const SLOTS_MAX: u32 = 4096;
/// Maximum number of connections of one backend server; typical servers accept 300 to 400.
pub const CONNECTIONS_MAX: u32 = 65_536;
/// Maximum length of the queue of one backend server.
pub const QUEUE_MAX: u32 = 4096;
/// Maximum timeout of a route, in milliseconds (10 minutes).
pub const TIMEOUT_MS_MAX: u64 = 600_000;
/// Maximum weight of a share of a route; weights are usually percentages.
pub const WEIGHT_MAX: u32 = 1_000_000;
/// Maximum number of upstreams to which a route may allow one request to be dispatched.
pub const ATTEMPTS_MAX: u32 = 16;
/// Maximum rate of a limit, in requests per second.
pub const RATE_MAX: f64 = 10_000_000.0;

/// `ResourceKind` is the kind of a resource.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ResourceKind {
    /// A failure domain in a region.
    FailureDomain,
    /// A service and the settings that govern its upstreams.
    Service,
    /// A backend server of a service.
    BackendServer,
    /// A route from host and path to a service.
    Route,
    /// A rate limit.
    Limit,
    /// An organisation whose callers share limits.
    Organisation,
}

/// Every kind, ordered so that references only point to earlier kinds.
pub const ALL_KINDS: [ResourceKind; 6] = [
    ResourceKind::FailureDomain,
    ResourceKind::Organisation,
    ResourceKind::Service,
    ResourceKind::BackendServer,
    ResourceKind::Route,
    ResourceKind::Limit,
];

impl ResourceKind {
    /// Returns the name of the kind in paths and files.
    pub fn name(self) -> &'static str {
        match self {
            Self::FailureDomain => "failure-domains",
            Self::Service => "services",
            Self::BackendServer => "backend-servers",
            Self::Route => "routes",
            Self::Limit => "limits",
            Self::Organisation => "organisations",
        }
    }

    /// Returns the kinds whose resources may refer to a resource of this kind.
    pub fn referrers(self) -> &'static [ResourceKind] {
        match self {
            Self::FailureDomain => &[Self::BackendServer],
            Self::Service => &[Self::BackendServer, Self::Route, Self::Limit],
            Self::Route | Self::Organisation => &[Self::Limit],
            Self::BackendServer | Self::Limit => &[],
        }
    }

    /// Parses the name of a kind.
    pub fn parse(name: &str) -> Result<Self, ResourceError> {
        ALL_KINDS.into_iter().find(|kind| kind.name() == name).ok_or_else(|| {
            ResourceError::UnknownKind {
                kind: name.to_owned(),
                allowed: ALL_KINDS.map(Self::name).join(", "),
            }
        })
    }
}

/// `FailureDomain` is a group of hosts that fail together, such as a zone.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FailureDomain {
    /// Region of the failure domain.
    pub region: String,
    /// Whether the backend servers of the failure domain get no new requests.
    #[serde(default)]
    pub evacuated: bool,
}

/// `OrganisationSpec` is an organisation whose callers share limits.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationSpec {
    /// Human-readable name of the organisation.
    #[serde(default)]
    pub title: String,
    /// Digests of the API keys that identify the organisation's callers.
    #[serde(default)]
    pub keys: Vec<KeyDigest>,
    /// Class of the organisation's requests, if it overrides the class of the route.
    #[serde(default)]
    pub criticality: Option<WorkClass>,
}

/// `EjectionPreference` is the trade-off of a service between missed and false ejections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EjectionPreference {
    /// Eject upstreams early, at the cost of more false ejections.
    Detection,
    /// Eject only upstreams that are faulty with high confidence.
    #[default]
    Precision,
}

/// `ServiceSpec` is a service and the settings that govern its upstreams.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Share of the configured slots that ejection always leaves in service, 0 to 1.
    #[serde(default = "default_floor")]
    pub floor: f64,
    /// Whether ejection favours detection or precision.
    #[serde(default)]
    pub prefer: EjectionPreference,
    /// Maximum number of requests in the queue of each backend server.
    #[serde(default = "default_queue")]
    pub queue: u32,
    /// Share of requests that may be retried, 0 to 1.
    #[serde(default = "default_budget")]
    pub retry_budget: f64,
    /// Requests per second that each backend server bears while it is cold, 0 for no bound.
    #[serde(default)]
    pub cold_rate: f64,
}

fn default_floor() -> f64 {
    0.7
}

fn default_queue() -> u32 {
    16
}

fn default_budget() -> f64 {
    0.1
}

/// `ServerState` is the state that the operator requests for a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerState {
    /// The backend server accepts requests.
    #[default]
    Active,
    /// The backend server is draining and accepts no new requests.
    Draining,
}

/// `BackendServer` is one backend server of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendServer {
    /// Name of the service that the backend server belongs to.
    pub service: String,
    /// Host that the backend server runs on; the daemon of this host sends it requests.
    pub host: String,
    /// Address that the backend server listens on.
    pub address: SocketAddr,
    /// Number of requests that the backend server processes concurrently.
    pub slots: u32,
    /// Maximum number of connections that the backend server accepts.
    pub connections: u32,
    /// Failure domain of the host.
    pub failure_domain: String,
    /// Whether the backend server accepts requests.
    #[serde(default)]
    pub state: ServerState,
}

/// `WorkMode` defines whether a request of a route may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkMode {
    /// A request is retried only when it is certain that the request did not run.
    #[default]
    Plain,
    /// A request may run more than once without harm.
    Repeatable,
    /// A request runs at most once, even over several attempts with the same idempotency key.
    Once,
}

/// `WorkClass` is the priority of a request when there is not enough capacity for all.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkClass {
    /// Requests that are shed first.
    Sheddable,
    /// Requests that are shed after sheddable ones and before critical ones.
    #[default]
    Normal,
    /// Requests that are shed last.
    Critical,
}

/// `RouteRule` sends requests of a host and path prefix to a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteRule {
    /// Value of the `Host` header without port.
    pub host: String,
    /// Prefix of the path, matched on whole segments.
    pub path_prefix: String,
    /// Methods that the route accepts; when the list is empty, the route accepts all methods.
    #[serde(default)]
    pub methods: Vec<String>,
    /// Service that serves the requests of the route, unless `split` is given.
    pub service: String,
    /// Timeout of a request, in milliseconds.
    #[serde(default = "default_timeout")]
    pub timeout_ms: u64,
    /// Whether a request may run more than once. The mode decides when a request is retried.
    #[serde(default)]
    pub mode: WorkMode,
    /// Priority of the route's requests when load is shed.
    #[serde(default)]
    pub criticality: WorkClass,
    /// Services that share the requests by weight; when empty, `service` receives all of them.
    #[serde(default)]
    pub split: Vec<ServiceShare>,
    /// Maximum number of upstreams to which one request may be dispatched; 0 stands for the maximum
    /// that the daemon's settings give.
    #[serde(default)]
    pub attempts: u32,
    /// Latency objective in milliseconds: time within which a response has its full value to the
    /// caller; 0 when no objective was declared.
    #[serde(default)]
    pub objective_ms: u32,
    /// Whether callers need the API key of an organisation.
    #[serde(default)]
    pub needs_key: bool,
}

/// `ServiceShare` is one service of a route that splits its requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceShare {
    /// Name of the service.
    pub service: String,
    /// Weight of this service among the services that share the route's requests.
    pub weight: u32,
}

fn default_timeout() -> u64 {
    10_000
}

/// `LimitScope` is the set of requests that a limit counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LimitScope {
    /// All requests of one organisation.
    Organisation,
    /// All requests of one route.
    Route,
    /// All requests of one service.
    Service,
}

/// `LimitRule` bounds the rate of requests over the whole fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LimitRule {
    /// Whose requests are counted: an organisation's, a route's or a service's.
    pub scope: LimitScope,
    /// Name of the organisation, route or service whose requests are counted.
    pub target: String,
    /// Requests per second that the whole fleet may admit.
    pub rate: f64,
    /// Requests that may arrive in one burst.
    pub burst: f64,
}

/// `ResourceValue` is a resource of any kind.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ResourceValue {
    /// A failure domain.
    FailureDomain(FailureDomain),
    /// A service.
    Service(ServiceSpec),
    /// A backend server.
    BackendServer(Rc<BackendServer>),
    /// A route.
    Route(Rc<RouteRule>),
    /// A limit.
    Limit(LimitRule),
    /// An organisation.
    Organisation(OrganisationSpec),
}

impl ResourceValue {
    /// Parses and validates a resource of `kind` from JSON.
    pub fn try_new(kind: ResourceKind, name: &str, value: &Value) -> Result<Self, ResourceError> {
        let path = resource_path(kind, name);
        check_name(&path, name)?;
        let parsed = match kind {
            ResourceKind::FailureDomain => Self::FailureDomain(parse_spec(&path, value)?),
            ResourceKind::Service => Self::Service(parse_spec(&path, value)?),
            ResourceKind::BackendServer => Self::BackendServer(Rc::new(parse_spec(&path, value)?)),
            ResourceKind::Route => Self::Route(Rc::new(parse_spec(&path, value)?)),
            ResourceKind::Limit => Self::Limit(parse_spec(&path, value)?),
            ResourceKind::Organisation => Self::Organisation(parse_spec(&path, value)?),
        };
        parsed.check(&path)?;
        Ok(parsed)
    }

    /// Returns the resource as JSON, with defaults included.
    pub fn to_json(&self) -> Value {
        let value = match self {
            Self::FailureDomain(spec) => serde_json::to_value(spec),
            Self::Service(spec) => serde_json::to_value(spec),
            Self::BackendServer(spec) => serde_json::to_value(&**spec),
            Self::Route(spec) => serde_json::to_value(&**spec),
            Self::Limit(spec) => serde_json::to_value(spec),
            Self::Organisation(spec) => serde_json::to_value(spec),
        };
        value.unwrap_or(Value::Null)
    }

    fn check(&self, path: &str) -> Result<(), ResourceError> {
        match self {
            Self::FailureDomain(_) | Self::Organisation(_) => Ok(()),
            Self::Service(spec) => check_service(path, spec),
            Self::BackendServer(spec) => check_server(path, spec),
            Self::Route(spec) => check_route(path, spec),
            Self::Limit(spec) => check_limit(path, spec),
        }
    }

    /// Returns the route if the resource is a route.
    pub fn into_route(self) -> Option<Rc<RouteRule>> {
        match self {
            Self::Route(rule) => Some(rule),
            _ => None,
        }
    }

    /// Returns the references of this resource to other resources: the field, and the kind and name
    /// of the resource that the field refers to.
    pub fn references(&self) -> Vec<(&'static str, ResourceKind, &str)> {
        match self {
            Self::FailureDomain(_) | Self::Service(_) | Self::Organisation(_) => Vec::new(),
            Self::BackendServer(spec) => vec![
                ("service", ResourceKind::Service, &spec.service),
                ("failure_domain", ResourceKind::FailureDomain, &spec.failure_domain),
            ],
            Self::Route(spec) => {
                let main = ("service", ResourceKind::Service, spec.service.as_str());
                let reference = |share| ("split", ResourceKind::Service, service_of(share));
                std::iter::once(main).chain(spec.split.iter().map(reference)).collect()
            }
            Self::Limit(spec) => {
                let kind = match spec.scope {
                    LimitScope::Organisation => ResourceKind::Organisation,
                    LimitScope::Route => ResourceKind::Route,
                    LimitScope::Service => ResourceKind::Service,
                };
                vec![("target", kind, &spec.target)]
            }
        }
    }
}

fn service_of(share: &ServiceShare) -> &str {
    &share.service
}

/// Returns the path of a resource, such as `services/solver-app`.
pub fn resource_path(kind: ResourceKind, name: &str) -> String {
    format!("{}/{name}", kind.name())
}

fn parse_spec<T: DeserializeOwned>(path: &str, value: &Value) -> Result<T, ResourceError> {
    T::deserialize(value).map_err(|error| ResourceError::Malformed {
        path: path.to_owned(),
        message: error.to_string(),
    })
}

fn check_name(path: &str, name: &str) -> Result<(), ResourceError> {
    let has_valid_length = !name.is_empty() && name.len() <= NAME_BYTES_MAX;
    let has_valid_bytes = name
        .bytes()
        .all(|byte| byte.is_ascii_lowercase() || byte.is_ascii_digit() || b"-._".contains(&byte));
    if has_valid_length && has_valid_bytes {
        return Ok(());
    }
    Err(errors::bad_value(path, format!("{name:?}"), "1 to 128 of a-z, 0-9, '-', '.', '_'"))
}

fn check_range(
    path: &str,
    field: &str,
    value: f64,
    min: f64,
    max: f64,
) -> Result<(), ResourceError> {
    if value.is_finite() && (min..=max).contains(&value) {
        return Ok(());
    }
    let allowed = format!("{min} to {max}");
    Err(errors::bad_value(format!("{path}.{field}"), value, &allowed))
}

fn check_service(path: &str, spec: &ServiceSpec) -> Result<(), ResourceError> {
    check_range(path, "floor", spec.floor, 0.0, 1.0)?;
    check_range(path, "queue", spec.queue.into(), 0.0, QUEUE_MAX.into())?;
    check_range(path, "retry_budget", spec.retry_budget, 0.0, 1.0)?;
    check_range(path, "cold_rate", spec.cold_rate, 0.0, RATE_MAX)
}

fn check_server(path: &str, spec: &BackendServer) -> Result<(), ResourceError> {
    check_range(path, "slots", spec.slots.into(), 1.0, SLOTS_MAX.into())?;
    let max = f64::from(CONNECTIONS_MAX);
    check_range(path, "connections", spec.connections.into(), 1.0, max)?;
    check_name(&format!("{path}.host"), &spec.host)
}

fn check_route(path: &str, spec: &RouteRule) -> Result<(), ResourceError> {
    if !spec.path_prefix.starts_with('/') {
        let field = format!("{path}.path_prefix");
        return Err(errors::bad_value(field, &spec.path_prefix, "a path that starts with /"));
    }
    let is_valid_host = !spec.host.is_empty()
        && !spec.host.bytes().any(|byte| byte <= b' ' || byte.is_ascii_uppercase());
    if !is_valid_host {
        let field = format!("{path}.host");
        return Err(errors::bad_value(field, &spec.host, "a host name in lower case, no port"));
    }
    for share in &spec.split {
        let weight = f64::from(share.weight);
        check_range(path, "split.weight", weight, 1.0, f64::from(WEIGHT_MAX))?;
    }
    check_range(path, "attempts", spec.attempts.into(), 0.0, ATTEMPTS_MAX.into())?;
    for method in &spec.methods {
        if method.is_empty() || !method.bytes().all(|byte| byte.is_ascii_uppercase()) {
            let field = format!("{path}.methods");
            return Err(errors::bad_value(field, method, "methods in capitals, such as GET"));
        }
    }
    check_range(path, "timeout_ms", spec.timeout_ms as f64, 1.0, TIMEOUT_MS_MAX as f64)
}

fn check_limit(path: &str, spec: &LimitRule) -> Result<(), ResourceError> {
    check_range(path, "rate", spec.rate, 0.001, RATE_MAX)?;
    check_range(path, "burst", spec.burst, 1.0, RATE_MAX)
}
