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

/// Size that the fleet is expected to have in two years.
pub const TWO_YEARS: FleetSize = FleetSize {
    services: 9_000,
    upstreams: 200_000,
    routes: 360_000,
    organisations: 430_000,
    daemons: 3_300,
};

impl FleetSize {
    /// Returns this size multiplied by `share`, with at least one resource of each kind.
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

/// Generates the resources of a configuration of `size`.
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
    /// Size of the fleet that the configuration describes.
    pub size: FleetSize,
    /// Size of the snapshot in bytes.
    pub snapshot_bytes: u64,
    /// Memory that the resources take, in bytes.
    pub fleet_bytes: u64,
    /// Memory that the layout takes, in bytes. The layout is the form of the configuration in which
    /// daemons look up the route and the service of a request.
    pub active_bytes: u64,
    /// Time to read the snapshot.
    pub read_time: Duration,
    /// Time to build the layout.
    pub build_time: Duration,
    /// Lengths of the time slices in which a daemon reads the snapshot and builds the layout. The
    /// daemon serves nothing else within a time slice.
    pub slice_times: SliceTimes,
    /// Time to free the memory of a replaced configuration.
    pub drop_time: Duration,
    /// Time of one route lookup in nanoseconds.
    pub lookup_ns: f64,
    /// Time to apply a change of one backend server, in microseconds.
    pub change_us: f64,
}

/// Measures a generated configuration of `size`.
pub fn measure_config(size: FleetSize) -> Option<ConfigCost> {
    let bytes = snapshot_of(size)?;
    let allocated_before = allocated_bytes();
    let start = Instant::now();
    let config = snapshot::from_bytes(&bytes).ok()?;
    let read_time = start.elapsed();
    let allocated_loaded = allocated_bytes();
    let start = Instant::now();
    let active = ActiveConfig::build(&config);
    let build_time = start.elapsed();
    let allocated_built = allocated_bytes();
    let lookup_ns = measure_lookups(&active, size);
    let (change_us, drop_time) = measure_changes(config, active, size)?;
    let slice_times = measure_slices(&bytes)?;
    Some(ConfigCost {
        size,
        snapshot_bytes: bytes.len() as u64,
        fleet_bytes: allocated_loaded.saturating_sub(allocated_before),
        active_bytes: allocated_built.saturating_sub(allocated_loaded),
        read_time,
        build_time,
        slice_times,
        drop_time,
        lookup_ns,
        change_us,
    })
}

/// Revision of generated configurations. The revision is far enough from 0 that a new daemon reads
/// the snapshot rather than the changes.
pub const GENERATED_REVISION: FleetRevision = FleetRevision(1000);

/// Generates a configuration of `size` and returns the bytes of its snapshot.
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
    /// Median length of the time slices.
    pub median: Duration,
    /// 99th percentile: 99 in 100 time slices are no longer.
    pub p99: Duration,
    /// Length of the longest time slice, which other processes mostly cause on a shared machine.
    pub longest: Duration,
}

/// Measures the lengths of the time slices in which a snapshot is read and its layout is built.
fn measure_slices(bytes: &[u8]) -> Option<SliceTimes> {
    let slice_start = Cell::new(Instant::now());
    let times = RefCell::new(Vec::new());
    let pause = async || {
        let slice = slice_start.replace(Instant::now()).elapsed();
        times.borrow_mut().push(slice);
    };
    let config = slices::poll_to_completion(snapshot::read(bytes, &pause)).ok()?;
    let layout = slices::poll_to_completion(ActiveConfig::build_in_slices(&config, &pause));
    slices::poll_to_completion(pause());
    black_box((config, layout));
    let mut times = times.into_inner();
    times.sort();
    let percentile = |share: usize| times.get((times.len() - 1) * share / 100).copied();
    Some(SliceTimes { median: percentile(50)?, p99: percentile(99)?, longest: percentile(100)? })
}

/// Applies changes one by one, as a daemon does, to copies that share the unchanged parts. Returns
/// the mean time of a change in microseconds, and the time to free the configuration.
fn measure_changes(
    mut config: FleetConfig,
    mut active: ActiveConfig,
    size: FleetSize,
) -> Option<(f64, Duration)> {
    const CHANGES: usize = 500;
    let mut changes_time = Duration::ZERO;
    for number in 0..CHANGES {
        let name = format!("server-{}", number * 37 % size.upstreams);
        let current_value = config.get(ResourceKind::BackendServer, &name)?.value.to_json();
        let mut value = current_value.clone();
        value["state"] = json!("draining");
        let change = ResourceChange {
            kind: ResourceKind::BackendServer.name().to_owned(),
            name,
            before: Some(current_value),
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
        let mut next_config = config.clone();
        next_config.apply(&record).ok()?;
        next_config.check_change(&record).ok()?;
        let mut layout = active.clone();
        black_box(layout.update(&config, &next_config, &record));
        changes_time += start.elapsed();
        config = next_config;
        active = layout;
    }
    let start = Instant::now();
    drop((config, active));
    Some((changes_time.as_micros() as f64 / CHANGES as f64, start.elapsed()))
}

/// Returns the bytes that a resource of one kind takes, measured on two configurations that differ
/// only in the number of resources of that kind. `grow` raises that number.
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
    let mut found_routes = 0;
    for index in 0..LOOKUPS {
        let (host, path) = &queries[index % queries.len()];
        found_routes += usize::from(matches!(
            black_box(active.routes.find(host, path, "GET")),
            RouteMatch::Found(_)
        ));
    }
    assert_eq!(found_routes, LOOKUPS, "every lookup finds its route");
    start.elapsed().as_nanos() as f64 / LOOKUPS as f64
}

/// Prints all measurements.
pub fn print_all() {
    println!("configuration held whole by one daemon");
    println!(
        "share    snapshot MB  resources MB  layout MB  read s  build s    slice p50 p99 max ms   drop ms  \
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
