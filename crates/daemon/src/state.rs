// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The state that the roles of a daemon share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use basaltarch_base::clock::{ClockError, DaemonClock};
use basaltarch_base::configuration::ConfigCell;
use basaltarch_base::metrics::RouteLabels;
use basaltarch_base::peers::PeerTable;
use basaltarch_base::signal::RisingSignal;
use basaltarch_core::account::ByteAccount;
use basaltarch_core::units;
use basaltarch_http::body::BodyLimits;
use basaltarch_http::fields::ExchangeFields;
use basaltarch_http::head::HeadLimits;
use basaltarch_http::table::ConnectionTable;
use basaltarch_options::DaemonOptions;
use basaltarch_peer::handshake::PeerIdentity;
use basaltarch_store::changes::ChangeStore;
use basaltarch_store::ledger::OnceLedger;
use basaltarch_store::platform::PlatformClient;

use crate::admin::metrics_page::MetricsPage;
use crate::admission::ServerAdmission;
use crate::departures::DepartureTable;
use crate::document::DocumentCell;
use crate::evacuations::EvacuationRegistry;
use crate::freshness::FreshnessTracker;
use crate::health_checks::ListenerChecks;
use crate::host::HostRole;
use crate::ingress::load_probe::PendingProbes;
use crate::ingress::trace::LogBudget;
use crate::limits::RateLimiter;
use crate::membership::MemberTable;
use crate::notices::NoticeTable;
use crate::parts::SnapshotParts;
use crate::registration::RegistrationTable;
use crate::roster::HostRoster;
use crate::rows::RowsRelay;
use crate::services::ServiceTable;
use crate::stop::StopState;
use crate::suspects::SuspectRegistry;

/// `DaemonState` is the state that the roles of a daemon share. One thread owns it, so there are no
/// locks.
pub struct DaemonState {
    /// The settings at the start, with the addresses as bound.
    pub options: DaemonOptions,
    /// The settings as last reloaded, used for the settings that may change while the daemon runs.
    live: RefCell<Rc<DaemonOptions>>,
    /// Time since the start.
    pub clock: DaemonClock,
    /// The identity of this daemon to its peers.
    pub identity: PeerIdentity,
    /// The configuration in force.
    pub config: ConfigCell,
    /// The operator's document, if the document is the source of the configuration.
    pub document: DocumentCell,
    /// The failure domains that the operator's table evacuates.
    pub evacuations: EvacuationRegistry,
    /// How recently the configuration was confirmed as the newest.
    pub freshness: FreshnessTracker,
    /// The rows of all hosts.
    pub roster: HostRoster,
    /// The relay of the rows of hosts between the daemons of this daemon's failure domain.
    pub rows: RowsRelay,
    /// What backend servers said of themselves in responses that this daemon passed on.
    pub notices: Rc<NoticeTable>,
    /// The registrations of backend servers on this host.
    pub registrations: RegistrationTable,
    /// When the listeners at the addresses of backend servers were last checked.
    pub listener_checks: ListenerChecks,
    /// The backend servers of this host that are leaving or have left.
    pub departures: DepartureTable,
    /// Whether the backend servers of this host may be used yet.
    pub admission: ServerAdmission,
    /// Names of the header fields that are exchanged with backend servers.
    pub fields: ExchangeFields,
    /// The ingress's state of each service.
    pub services: ServiceTable,
    /// Paths and links to other daemons.
    pub peers: PeerTable,
    /// Snapshots that are being received.
    pub snapshots: SnapshotParts,
    /// This daemon's view of the fleet's membership.
    pub members: MemberTable,
    /// The backend servers of this host.
    pub host: HostRole,
    /// Load probes of upstreams that are not answered yet.
    pub pending_probes: PendingProbes,
    /// Rate limiting at the ingress, and the limits that this daemon counts for the fleet.
    pub limits: RateLimiter,
    /// Accepted changes of the configuration in the platform's table.
    pub changes: ChangeStore,
    /// Client of the platform.
    pub platform: Rc<PlatformClient>,
    /// Ledger of at-most-once requests.
    pub ledger: Rc<OnceLedger>,
    /// Requests that crash the backend servers that run them.
    pub suspects: SuspectRegistry,
    /// Progress of the daemon's shutdown.
    pub stop: StopState,
    /// Raised when the settings should be reloaded.
    pub reloading: RisingSignal,
    /// Bytes that are held for clients beyond those reckoned for each connection.
    pub account: ByteAccount,
    /// Page of metrics that was rendered last.
    pub metrics_page: MetricsPage,
    /// Connections of callers.
    pub callers: ConnectionTable,
    /// Which routes have labels of their own in the metrics.
    pub route_labels: RouteLabels,
    /// How many requests are logged.
    pub log_budget: LogBudget,
    /// Number of callers' requests that came without an id.
    pub requests: Cell<u64>,
}

impl DaemonState {
    /// Builds the state of a daemon that was just started. Fails if the system has no suitable
    /// clock.
    pub fn try_new(options: DaemonOptions) -> Result<Rc<Self>, ClockError> {
        let clock = DaemonClock::try_new()?;
        let platform = Rc::new(PlatformClient::new(
            options.platform,
            options.store_reads,
            options.store_writes,
        ));
        let identity = PeerIdentity {
            host: options.host.clone(),
            incarnation: units::wall_millis() as i64,
            failure_domain: options.failure_domain.clone(),
            answers_looks: true,
            takes_reservations: true,
        };
        Ok(Rc::new(Self {
            live: RefCell::new(Rc::new(options.clone())),
            clock,
            identity,
            config: ConfigCell::default(),
            document: DocumentCell::default(),
            evacuations: EvacuationRegistry::default(),
            freshness: FreshnessTracker::default(),
            roster: HostRoster::default(),
            rows: RowsRelay::default(),
            notices: Rc::default(),
            registrations: RegistrationTable::default(),
            listener_checks: ListenerChecks::default(),
            departures: DepartureTable::default(),
            admission: ServerAdmission::default(),
            fields: options.exchange_fields(),
            services: ServiceTable::default(),
            peers: PeerTable::new(&options.host),
            snapshots: SnapshotParts::default(),
            members: MemberTable::default(),
            host: HostRole::default(),
            pending_probes: PendingProbes::default(),
            limits: RateLimiter::default(),
            changes: ChangeStore::new(platform.clone()),
            ledger: OnceLedger::new(platform.clone()),
            platform,
            stop: StopState::default(),
            suspects: SuspectRegistry::default(),
            reloading: RisingSignal::default(),
            log_budget: LogBudget::new(options.log_requests, options.log_failures),
            requests: Cell::new(0),
            route_labels: RouteLabels::default(),
            account: ByteAccount::new(options.client_bytes),
            metrics_page: MetricsPage::default(),
            callers: ConnectionTable::default(),
            options,
        }))
    }

    /// Returns the settings as last reloaded.
    pub fn live(&self) -> Rc<DaemonOptions> {
        self.live.borrow().clone()
    }

    /// Puts reloaded settings in force.
    pub fn set_live(&self, options: DaemonOptions) {
        self.log_budget.set(options.log_requests, options.log_failures, self.now());
        *self.live.borrow_mut() = Rc::new(options);
    }

    /// Returns the limits on heads of callers' requests: those of the document, if there is one.
    pub fn head_limits(&self) -> HeadLimits {
        let configured = self.options.head;
        match self.document.get() {
            Some(document) => HeadLimits {
                bytes: document.limits.head_bytes,
                time: document.limits.head_time,
                idle: document.limits.idle_time,
            },
            None => configured,
        }
    }

    /// Returns the limits on bodies of callers' requests: those of the document, if there is one.
    pub fn body_limits(&self) -> BodyLimits {
        let configured = self.options.body;
        match self.document.get() {
            Some(document) => BodyLimits { bytes: document.limits.body_bytes, ..configured },
            None => configured,
        }
    }

    /// Returns the time since the start, including time for which the host was suspended.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Returns the service that runs on this host: the service of a registered backend server, or
    /// else the service that the settings name.
    pub fn own_service(&self) -> Option<String> {
        let servers = self.roster.own_servers();
        let registered = servers.iter().find(|server| !server.draining).or(servers.first());
        let registered = registered.map(|server| server.service.clone());
        registered.or_else(|| self.live().own_service.clone())
    }

    /// Says whether the daemon is asked to stop.
    pub fn is_stopping(&self) -> bool {
        self.stop.is_asked()
    }
}
