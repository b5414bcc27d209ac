// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The simulated operator: writes a configuration document every 0.7 to 2.5 seconds. Each document
//! adds a route, removes the oldest added route, and moves a route to the other service.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use basaltarch_core::resources::{RouteRule, WorkClass, WorkMode};
use basaltarch_http::client::HttpClient;
use basaltarch_platform::document::{
    self, CallerLimits, ConfigDocument, NamedRoute, ServiceDeclaration,
};
use basaltarch_platform::rows;
use basaltarch_standin::backend::uploads::UploadAct;
use basaltarch_standin::platform::ROWS_CONTROL_PATH;
use bytes::Bytes;
use http::{HeaderMap, Method};
use snafu::ResultExt;

use crate::checker::{SeenAnswer, StepTimes};
use crate::errors::{CallSnafu, SoakError};
use crate::mix::{RequestClass, RequestMix};

/// Value of the header `Host` in the requests of callers.
pub const REQUESTED_HOST: &str = "meters.example";
/// Names of the services. The backend server of each host belongs to one of the services.
pub const SERVICES: [&str; 2] = ["reader-app", "billing-app"];
/// Number of consecutive documents that hold an added route.
const ADDED_ROUTE_STEPS: usize = 4;
/// Time-out of a write to the store.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Average increment of the document's version per step; [`version_of`] makes the increments
/// uneven.
const VERSION_STRIDE: usize = 7;

/// `RequestedRoute` is the route that a caller requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestedRoute {
    /// A route that every document has, to the first service.
    Steady,
    /// A route that every document has, to the first service, for non-repeatable requests.
    Plain,
    /// The same route with a long body, to which the server responds as the act says.
    Upload(UploadAct),
    /// The route that was added by the step of this number.
    Added(usize),
    /// The route that each step moves from one service to the other.
    Moved,
}

impl RequestedRoute {
    /// Returns the path of a request to the route.
    pub fn path(self) -> String {
        match self {
            Self::Steady => "/steady/x".to_owned(),
            Self::Plain => "/plain/x".to_owned(),
            Self::Upload(UploadAct::Digest) => "/plain/digest".to_owned(),
            Self::Upload(UploadAct::EarlyDigest) => "/plain/early-digest".to_owned(),
            Self::Upload(UploadAct::EarlyShed) => "/plain/early-shed".to_owned(),
            Self::Upload(UploadAct::StrayRefusal) => "/plain/stray-refusal".to_owned(),
            Self::Upload(UploadAct::PartialRefusal) => "/plain/partial-refusal".to_owned(),
            Self::Added(step) => format!("/added-{step}/x"),
            Self::Moved => "/moved/x".to_owned(),
        }
    }

    /// Says whether a request to the route may run at most once.
    pub fn is_plain(self) -> bool {
        matches!(self, Self::Plain | Self::Upload(_))
    }
}

/// Returns whether what a response shows about a route is consistent with a step's document.
pub fn document_allows(step: usize, route: RequestedRoute, answer: SeenAnswer) -> bool {
    let service = match route {
        RequestedRoute::Steady | RequestedRoute::Plain | RequestedRoute::Upload(_) => Some(0),
        RequestedRoute::Moved => Some(step % SERVICES.len()),
        RequestedRoute::Added(adding_step) => {
            (adding_step <= step && step < adding_step + ADDED_ROUTE_STEPS).then_some(0)
        }
    };
    match answer {
        SeenAnswer::Missing => service.is_none(),
        SeenAnswer::ServedBy(answering_service) => service == Some(answering_service),
        SeenAnswer::Inconclusive => true,
    }
}

/// `SoakOperator` writes documents, and records when each document was sent and acknowledged.
pub struct SoakOperator {
    client: HttpClient,
    mix: Option<Rc<RequestMix>>,
    steps: RefCell<Vec<StepTimes>>,
}

impl SoakOperator {
    /// Builds the operator that writes to the store at this address. Each document has the routes of
    /// the mix.
    pub fn new(store_address: SocketAddr, mix: Option<Rc<RequestMix>>) -> Self {
        let client = HttpClient::new(store_address, WRITE_TIMEOUT);
        Self { client, mix, steps: RefCell::default() }
    }

    /// Calls `read` with the times of all steps so far.
    pub fn with_steps<T>(&self, read: impl FnOnce(&[StepTimes]) -> T) -> T {
        read(&self.steps.borrow())
    }

    /// Returns the number of the newest step.
    pub fn newest_step(&self) -> usize {
        self.steps.borrow().len().saturating_sub(1)
    }

    /// Writes the document of the next step to the store; `now` returns the time of the run.
    pub async fn step(&self, now: impl Fn() -> Duration) -> Result<(), SoakError> {
        let step = self.steps.borrow().len();
        self.steps.borrow_mut().push(StepTimes { sent_at: now(), acked_at: None });
        let table = rows::OPERATOR_TABLE;
        let path = format!("{ROWS_CONTROL_PATH}{table}/{}", rows::DOCUMENT_KEY);
        let body = Bytes::from(document::write(&document_of(step, self.mix.as_deref())));
        let writing = self.client.call(Method::PUT, &path, HeaderMap::new(), body);
        let what = "writing the configuration document";
        let reply = writing.await.context(CallSnafu { what })?;
        if !reply.status.is_success() {
            return Err(SoakError::Refused { what, status: reply.status.as_u16() });
        }
        self.steps.borrow_mut()[step].acked_at = Some(now());
        Ok(())
    }
}

/// Returns the version of a step's document.
pub fn version_of(step: usize) -> u64 {
    (VERSION_STRIDE * (step + 1) + step % 3) as u64
}

fn document_of(step: usize, mix: Option<&RequestMix>) -> ConfigDocument {
    let declare_service = |name: &&str| ServiceDeclaration {
        name: (*name).to_owned(),
        health_path: "/health".to_owned(),
        connections: 300,
        cold_rate: 0.0,
    };
    let mut routes = vec![
        route("steady", "/steady/", 0, WorkMode::Repeatable),
        route("plain", "/plain/", 0, WorkMode::Plain),
        route("moved", "/moved/", step % SERVICES.len(), WorkMode::Repeatable),
    ];
    for adding_step in (step + 1).saturating_sub(ADDED_ROUTE_STEPS)..=step {
        let name = format!("added-{adding_step}");
        routes.push(route(&name, &format!("/{name}/"), 0, WorkMode::Repeatable));
    }
    routes.extend(mix.iter().flat_map(|mix| &mix.classes).map(class_route));
    ConfigDocument {
        version: version_of(step),
        routes,
        services: SERVICES.iter().map(declare_service).collect(),
        limits: CallerLimits {
            head_bytes: 16_384,
            body_bytes: 1 << 20,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        },
        organisations: None,
    }
}

fn class_route(class: &RequestClass) -> NamedRoute {
    let mut class_route = route(&class.name, &class.path_prefix(), class.service, class.mode());
    class_route.rule.timeout_ms = class.timeout_ms;
    class_route.rule.attempts = class.attempts;
    class_route.rule.objective_ms = class.objective_ms;
    class_route
}

fn route(name: &str, path_prefix: &str, service: usize, mode: WorkMode) -> NamedRoute {
    let rule = RouteRule {
        host: REQUESTED_HOST.to_owned(),
        path_prefix: path_prefix.to_owned(),
        methods: Vec::new(),
        service: SERVICES[service].to_owned(),
        timeout_ms: 2000,
        mode,
        criticality: WorkClass::Normal,
        split: Vec::new(),
        attempts: 2,
        objective_ms: 800,
        needs_key: false,
    };
    NamedRoute { name: name.to_owned(), rule }
}
