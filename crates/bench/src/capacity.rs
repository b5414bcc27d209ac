// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Growth of state, memory and processor time with the size of the fleet: the measurements behind
//! docs/CAPACITY.md.

use std::alloc::System;
use std::cell::{Cell, RefCell};
use std::hint::black_box;
use std::time::{Duration, Instant};

use basaltarch_core::config::{
    ActiveConfig, ChangeRecord, ConfigBuilder, FleetConfig, ResourceChange, SnapshotResource,
};
use basaltarch_core::resources::ResourceKind;
use basaltarch_core::routes::RouteMatch;
use basaltarch_core::slices;
use basaltarch_core::snapshot;
use basaltarch_core::units::FleetRevision;
use basaltarch_decide::balance::LoadView;
use basaltarch_decide::health::UpstreamHealth;
use cap::Cap;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{json, Value};

/// `FleetSize` is the number of resources of each kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetSize {
    /// Services.
    pub services: usize,
    /// Upstreams over all services.
    pub upstreams: usize,
    /// Routes over all services.
    pub routes: usize,
    /// Organisations.
    pub organisations: usize,
    /// Daemons.
    pub daemons: usize,
}

/// Size of the fleet that is expected in two years.
pub const TWO_YEARS: FleetSize = FleetSize {
    services: 9_000,
    upstreams: 200_000,
    routes: 360_000,
    organisations: 430_000,
    daemons: 3_300,
};

impl FleetSize {
    /// Returns this size scaled by a share, with at least one of each.
    pub fn scaled(self, share: f64) -> Self {
        let scaled_count = |count: usize| ((count as f64 * share) as usize).max(1);
        Self {
            services: scaled_count(self.services),
            upstreams: scaled_count(self.upstreams),
            routes: scaled_count(self.routes),
            organisations: scaled_count(self.organisations),
            daemons: scaled_count(self.daemons),
        }
    }
}

/// Generates the resources of a configuration of this size.
pub fn generate(size: FleetSize) -> Vec<SnapshotResource> {
    let revision = GENERATED_REVISION;
    let mut resources = Vec::new();
    let mut add = |kind: &str, name: String, value: Value| {
        resources.push(SnapshotResource(kind.to_owned(), name, revision, value));
    };
    for domain in 0..30 {
        let value = json!({"region": format!("region-{}", domain % 11)});
        add("failure-domains", format!("domain-{domain}"), value);
    }
    for number in 0..size.services {
        let value = json!({"floor": 0.7, "prefer": "precision"});
        add("services", format!("service-{number}"), value);
    }
    for number in 0..size.upstreams {
        let host = number % size.daemons;
        let value = json!({
            "service": format!("service-{}", number % size.services),
            "host": format!("host-{host}"),
            "address": format!("10.{}.{}.{}:8080", host / 65536, host / 256 % 256, host % 256),
            "slots": 4, "connections": 300,
            "failure_domain": format!("domain-{}", host % 30),
        });
        add("backend-servers", format!("server-{number}"), value);
    }
    for number in 0..size.routes {
        let service = number % size.services;
        let value = json!({
            "host": format!("service-{service}.example"),
            "path_prefix": format!("/part-{}", number / size.services),
            "service": format!("service-{service}"),
            "mode": "repeatable",
        });
        add("routes", format!("route-{number}"), value);
    }
    for number in 0..size.organisations {
        add("organisations", format!("organisation-{number}"), json!({"title": ""}));
    }
    resources
}

/// Counts allocated bytes, since the size of the process includes freed memory that has not been
/// returned to the system.
#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

fn allocated_bytes() -> u64 {
    ALLOCATOR.allocated() as u64
}

/// `ConfigCost` is the memory and processor time that a configuration takes at a daemon that holds
/// all of it.
#[derive(Debug, Clone, Copy)]
pub struct ConfigCost {
    /// The size.
    pub size: FleetSize,
    /// Bytes of the snapshot.
    pub snapshot_bytes: u64,
    /// Memory of the resources.
    pub fleet_bytes: u64,
    /// Memory of the layout, the form in which requests look the configuration up.
    pub active_bytes: u64,
    /// Time to read the snapshot.
    pub read_time: Duration,
    /// Time to build the layout.
    pub build_time: Duration,
    /// Time slices of reading and building the layout; within a slice nothing else is served.
    pub slice_times: SliceTimes,
    /// Time to free the memory of a replaced configuration.
    pub drop_time: Duration,
    /// Time of one route lookup in nanoseconds.
    pub lookup_ns: f64,
    /// Time to apply a change of one backend server, in microseconds.
    pub change_us: f64,
}

/// Measures a configuration of this size.
pub fn measure_config(size: FleetSize) -> Option<ConfigCost> {
    let bytes = snapshot_of(size)?;
    let before = allocated_bytes();
    let start = Instant::now();
    let config = snapshot::from_bytes(&bytes).ok()?;
    let read_time = start.elapsed();
    let loaded = allocated_bytes();
    let start = Instant::now();
    let active = ActiveConfig::build(&config);
    let build_time = start.elapsed();
    let built = allocated_bytes();
    let lookup_ns = measure_lookups(&active, size);
    let (change_us, drop_time) = measure_changes(config, active, size)?;
    let slice_times = measure_slices(&bytes)?;
    Some(ConfigCost {
        size,
        snapshot_bytes: bytes.len() as u64,
        fleet_bytes: loaded.saturating_sub(before),
        active_bytes: built.saturating_sub(loaded),
        read_time,
        build_time,
        slice_times,
        drop_time,
        lookup_ns,
        change_us,
    })
}

/// Revision of generated configurations, far enough from 0 that a new daemon reads the snapshot
/// rather than the changes.
pub const GENERATED_REVISION: FleetRevision = FleetRevision(1000);

/// Generates a configuration of this size and returns its snapshot.
pub fn snapshot_of(size: FleetSize) -> Option<Vec<u8>> {
    let mut builder = ConfigBuilder::default();
    for resource in generate(size) {
        builder.push(&resource).ok()?;
    }
    snapshot::to_bytes(&builder.finish(GENERATED_REVISION).ok()?).ok()
}

/// `SliceTimes` is the distribution of the lengths of time slices.
#[derive(Debug, Clone, Copy)]
pub struct SliceTimes {
    /// Median.
    pub median: Duration,
    /// 99th percentile: 99 in 100 stay below.
    pub p99: Duration,
    /// Longest; on a shared machine mostly caused by other processes.
    pub longest: Duration,
}

/// Measures the time slices of reading a snapshot and building its layout.
fn measure_slices(bytes: &[u8]) -> Option<SliceTimes> {
    let begun = Cell::new(Instant::now());
    let times = RefCell::new(Vec::new());
    let pause = async || {
        let slice = begun.replace(Instant::now()).elapsed();
        times.borrow_mut().push(slice);
    };
    let config = slices::poll_to_completion(snapshot::read(bytes, &pause)).ok()?;
    let layout = slices::poll_to_completion(ActiveConfig::build_in_slices(&config, &pause));
    slices::poll_to_completion(pause());
    black_box((config, layout));
    let mut times = times.into_inner();
    times.sort();
    let at = |share: usize| times.get((times.len() - 1) * share / 100).copied();
    Some(SliceTimes { median: at(50)?, p99: at(99)?, longest: at(100)? })
}

/// Applies changes one by one, as a daemon does: on copies that share the unchanged parts.
fn measure_changes(
    mut config: FleetConfig,
    mut active: ActiveConfig,
    size: FleetSize,
) -> Option<(f64, Duration)> {
    const CHANGES: usize = 500;
    let mut spent = Duration::ZERO;
    for number in 0..CHANGES {
        let name = format!("server-{}", number * 37 % size.upstreams);
        let known = config.get(ResourceKind::BackendServer, &name)?.value.to_json();
        let mut value = known.clone();
        value["state"] = json!("draining");
        let change = ResourceChange {
            kind: ResourceKind::BackendServer.name().to_owned(),
            name,
            before: Some(known),
            after: Some(value),
        };
        let record = ChangeRecord {
            revision: config.revision().next(),
            actor: String::new(),
            at_ms: 0,
            from: String::new(),
            writer: String::new(),
            changes: vec![change],
        };
        let start = Instant::now();
        let mut next = config.clone();
        next.apply(&record).ok()?;
        next.check_change(&record).ok()?;
        let mut layout = active.clone();
        black_box(layout.update(&config, &next, &record));
        spent += start.elapsed();
        config = next;
        active = layout;
    }
    let start = Instant::now();
    drop((config, active));
    Some((spent.as_micros() as f64 / CHANGES as f64, start.elapsed()))
}

/// Returns the bytes that a resource of one kind takes, from two configurations that differ in the
/// number of that kind only.
fn measure_kind(grow: impl Fn(&mut FleetSize)) -> Option<f64> {
    let small = FleetSize {
        services: 1000,
        upstreams: 1000,
        routes: 1000,
        organisations: 1000,
        daemons: 100,
    };
    let mut large = small;
    grow(&mut large);
    let count = |size: FleetSize| size.services + size.upstreams + size.routes + size.organisations;
    let added_count = (count(large) - count(small)) as f64;
    let bytes = |size| {
        let cost = measure_config(size)?;
        Some((cost.fleet_bytes + cost.active_bytes) as f64)
    };
    Some((bytes(large)? - bytes(small)?) / added_count)
}

fn measure_lookups(active: &ActiveConfig, size: FleetSize) -> f64 {
    const LOOKUPS: usize = 200_000;
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let queries: Vec<(String, String)> = (0..1000)
        .map(|_| {
            let route = rng.random_range(0..size.routes);
            let host = format!("service-{}.example", route % size.services);
            (host, format!("/part-{}/x/y", route / size.services))
        })
        .collect();
    let start = Instant::now();
    let mut found = 0;
    for index in 0..LOOKUPS {
        let (host, path) = &queries[index % queries.len()];
        found += usize::from(matches!(
            black_box(active.routes.find(host, path, "GET")),
            RouteMatch::Found(_)
        ));
    }
    assert_eq!(found, LOOKUPS, "every lookup finds its route");
    start.elapsed().as_nanos() as f64 / LOOKUPS as f64
}

/// Prints all measurements.
pub fn print_all() {
    println!("configuration held whole by one daemon");
    println!(
        "share    snapshot MB  resources MB  layout MB  read s  lay out s  turns p50 p99 max ms   drop ms  \
         look-up ns  change us"
    );
    for share in [0.01, 0.05, 0.1, 1.0] {
        if let Some(cost) = measure_config(TWO_YEARS.scaled(share)) {
            let mb = |bytes: u64| bytes as f64 / 1e6;
            let ms = |time: Duration| time.as_secs_f64() * 1e3;
            println!(
                "{share:<8} {:<12.1} {:<13.1} {:<10.1} {:<7.2} {:<10.2} {:<6.2} {:<6.2} {:<8.1} {:<8.1} {:<11.0} {:.1}",
                mb(cost.snapshot_bytes),
                mb(cost.fleet_bytes),
                mb(cost.active_bytes),
                cost.read_time.as_secs_f64(),
                cost.build_time.as_secs_f64(),
                ms(cost.slice_times.median),
                ms(cost.slice_times.p99),
                ms(cost.slice_times.longest),
                ms(cost.drop_time),
                cost.lookup_ns,
                cost.change_us
            );
        }
    }
    println!("\nbytes of one resource held whole");
    type Grow = fn(&mut FleetSize);
    let kinds: [(&str, Grow); 4] = [
        ("service", |size| size.services += 20_000),
        ("backend server", |size| size.upstreams += 50_000),
        ("route", |size| size.routes += 50_000),
        ("organisation", |size| size.organisations += 50_000),
    ];
    for (name, grow) in kinds {
        if let Some(bytes) = measure_kind(grow) {
            println!("{name:<15} {bytes:.0}");
        }
    }
    println!("\nbytes of one upstream, in use");
    println!("view at an ingress {}", std::mem::size_of::<LoadView>());
    println!("health at its host {}, and each route", std::mem::size_of::<UpstreamHealth>());
}
