// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The daemon's memory and descriptors stay within their limits, however many connections callers
//! open.

mod common;

use std::fs;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use common::client;
use common::registered::{RegisteredFleet, HOST};
use common::{eventually, TestDaemon};

/// Memory limit of the daemon in MB. By this limit, the daemon allows 744 connections of callers.
const MEMORY_LIMIT_MB: u64 = 48;
/// Descriptor limit of the daemon. By this limit alone, the daemon would allow 750 connections of
/// callers.
const DESCRIPTOR_LIMIT: u64 = 1500;
/// Number of callers' connections that the daemon allows: the lower of the numbers that follow from
/// [`MEMORY_LIMIT_MB`] and [`DESCRIPTOR_LIMIT`].
const CONNECTION_LIMIT: usize = 744;
/// Number of connections that callers try to open.
const CONNECTION_ATTEMPTS: usize = 900;

fn count_open_descriptors(daemon: &TestDaemon) -> u64 {
    fs::read_dir(format!("/proc/{}/fd", daemon.process_id())).expect("fd").count() as u64
}

fn read_peak_resident_mb(daemon: &TestDaemon) -> u64 {
    let status =
        fs::read_to_string(format!("/proc/{}/status", daemon.process_id())).expect("status");
    let line = status.lines().find(|line| line.starts_with("VmHWM:")).expect("peak");
    let kib: u64 = line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).expect("number");
    kib / 1024
}

/// Sends a request on a connection that stays open; returns whether the request was answered with
/// status 200.
fn is_request_served(stream: &mut TcpStream, id: usize) -> bool {
    let text = format!("GET /safe/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: many-{id}\r\n\r\n");
    let mut status_line = [0; 15];
    // A refused connection may fail while the request is written or while the reply is read.
    stream.write_all(text.as_bytes()).is_ok()
        && stream.read_exact(&mut status_line).is_ok()
        && &status_line == b"HTTP/1.1 200 OK"
}

/// Says whether the daemon has a connection still open.
fn is_open(mut stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).expect("nonblocking");
    let mut chunk = [0; 1024];
    loop {
        match stream.read(&mut chunk) {
            Ok(0) => return false,
            Ok(_) => {}
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return error.kind() == ErrorKind::WouldBlock,
        }
    }
}

#[test]
fn verify_many_callers_leave_the_daemon_within_its_memory_and_descriptors() {
    let mut fleet = RegisteredFleet::start(1);
    fleet.daemons[0].kill();
    let (memory_limit, descriptor_limit) =
        (MEMORY_LIMIT_MB.to_string(), DESCRIPTOR_LIMIT.to_string());
    let extra_flags = [
        ("memory-mb", memory_limit.as_str()),
        ("descriptors", descriptor_limit.as_str()),
        ("connections-each", descriptor_limit.as_str()),
    ];
    fleet.daemons[0] = fleet.start_daemon("host-a", "bkk-a", &extra_flags);
    assert_eq!(fleet.send_heartbeat(0, false).status, 200);
    fleet.wait_served(0, &[0]);
    let daemon = &fleet.daemons[0];
    let descriptors_before = count_open_descriptors(daemon);
    // Each caller that comes with a request is served: a connection that rests makes room for it.
    let streams: Vec<TcpStream> = (0..CONNECTION_ATTEMPTS)
        .map(|id| {
            let mut stream = client::connect(daemon.callers);
            assert!(is_request_served(&mut stream, id), "request {id} is served");
            stream
        })
        .collect();
    let open_count = streams.iter().filter(|stream| is_open(stream)).count();
    assert!(
        (CONNECTION_LIMIT - 1..=CONNECTION_LIMIT).contains(&open_count),
        "{open_count} connections open"
    );
    assert!(
        count_open_descriptors(daemon) <= descriptors_before + CONNECTION_LIMIT as u64 + 8,
        "{}",
        count_open_descriptors(daemon)
    );
    assert!(count_open_descriptors(daemon) < DESCRIPTOR_LIMIT);
    assert!(
        read_peak_resident_mb(daemon) < MEMORY_LIMIT_MB,
        "{} MB",
        read_peak_resident_mb(daemon)
    );
    drop(streams);
    eventually("new connections are served once the earlier ones are closed", || {
        let mut stream = client::connect(daemon.callers);
        stream.set_read_timeout(Some(Duration::from_secs(5))).expect("timeout");
        is_request_served(&mut stream, CONNECTION_ATTEMPTS)
    });
}

#[test]
fn verify_the_connections_of_one_address_are_bounded() {
    let mut fleet = RegisteredFleet::start(1);
    fleet.daemons[0].kill();
    fleet.daemons[0] = fleet.start_daemon("host-a", "bkk-a", &[("connections-each", "2")]);
    assert_eq!(fleet.send_heartbeat(0, false).status, 200);
    let daemon = &fleet.daemons[0];
    eventually("the document is in force", || fleet.is_ready(0));
    let mut streams: Vec<TcpStream> = (0..2).map(|_| client::connect(daemon.callers)).collect();
    assert!(streams.iter_mut().enumerate().all(|(id, stream)| is_request_served(stream, id)));
    assert!(
        !is_request_served(&mut client::connect(daemon.callers), 2),
        "a third connection is refused"
    );
    eventually("the refusal is logged", || daemon.log_text().contains("caller refused"));
    drop(streams);
    eventually("new connections are served once the earlier ones are closed", || {
        is_request_served(&mut client::connect(daemon.callers), 3)
    });
}
