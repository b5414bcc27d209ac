// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! A graceful shutdown of a daemon whose callers go on sending until it has ended.
//!
//! Guards against a fault in which a request ran at a backend server although its daemon was
//! stopping, and its caller got a closed connection or a 504 in place of the answer. With most of a
//! failure domain stopped at once, callers had no other daemon, and a daemon admitted requests
//! until its end. Some requests were admitted although the daemon gave up pending requests before
//! their service time was over. Other requests were admitted in the 20 ms between the daemon's last
//! check for requests in flight and its end, as admission and end were decided by separate checks.

mod common;

use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use common::client::{self, Reply};
use common::stops::{self, StopRequest};
use common::{eventually, FleetPlan, TestFleet};
use test_case::test_case;

/// Service time of each request in milliseconds.
const WORK_MS: &str = "1000";

/// Sends non-repeatable requests of [`WORK_MS`] one after another until nothing listens at
/// `callers` any more. A connection is reused until a reply announces that the connection ends, or
/// until no reply is received.
fn send_until_gone(callers: SocketAddr, caller: usize) -> Vec<StopRequest> {
    let mut requests = Vec::new();
    let mut keep_alive = None;
    loop {
        let connection = keep_alive.take().or_else(|| TcpStream::connect(callers).ok());
        let Some(mut stream) = connection else { return requests };
        let id = format!("{caller}-{}", requests.len());
        let reply = stops::send_request(&mut stream, &id, WORK_MS);
        let stays_open = reply.as_ref().is_some_and(|reply| reply.header("connection").is_none());
        keep_alive = stays_open.then_some(stream);
        requests.push(StopRequest { id, reply });
    }
}

#[test_case("1000" ; "callers learn soon that the daemon leaves")]
#[test_case("7500" ; "callers would learn too late to finish their requests")]
fn verify_a_stopping_daemon_admits_only_requests_that_it_can_finish(shortest_ms: &'static str) {
    let plan = FleetPlan {
        daemon_flags: vec![("drain-ms", "8000"), ("drain-min-ms", shortest_ms)],
        ..FleetPlan::default()
    };
    let mut fleet = TestFleet::start(&plan);
    let callers = fleet.daemons[0].callers;
    // Four callers keep requests in flight at every moment.
    let sending: Vec<_> =
        (0..4).map(|caller| thread::spawn(move || send_until_gone(callers, caller))).collect();
    eventually("requests are served", || {
        fleet.backends[0].total_runs() + fleet.backends[1].total_runs() > 4
    });
    fleet.daemons[0].signal("-TERM");
    assert_eq!(
        fleet.daemons[0].wait_exit().code(),
        Some(0),
        "no request is interrupted or given up"
    );
    let requests = sending.into_iter().flat_map(|thread| thread.join().expect("join"));
    let requests: Vec<StopRequest> = requests.collect();
    requests.iter().for_each(|request| request.check_runs(&fleet));
    let is_refused_as_draining = |request: &&StopRequest| {
        let reason = request.reply.as_ref().and_then(Reply::reason);
        reason.as_deref() == Some("draining")
    };
    assert!(
        requests.iter().filter(is_refused_as_draining).count() > 0,
        "no request arrived after the daemon stopped admitting requests"
    );
}

#[test]
fn verify_requests_that_arrive_with_the_last_check_are_answered_or_never_run() {
    const SHORTEST_DRAIN: Duration = Duration::from_secs(5);
    let plan = FleetPlan { daemon_flags: vec![("drain-min-ms", "5000")], ..FleetPlan::default() };
    let mut fleet = TestFleet::start(&plan);
    let callers = fleet.daemons[0].callers;
    let mut keep_alive = client::connect(callers);
    assert_eq!(
        stops::send_request(&mut keep_alive, "before", WORK_MS).map(|reply| reply.status),
        Some(200)
    );
    stops::request_stop(&fleet.daemons[0]);
    // The daemon is paused while the requests arrive and while its shortest drain passes. When the
    // daemon resumes, nothing is in flight, and there are requests to read.
    let stop_requested_at = Instant::now();
    fleet.daemons[0].signal("-STOP");
    let mut new_connection = client::connect(callers);
    stops::write_request(&mut keep_alive, "kept", WORK_MS).expect("write");
    stops::write_request(&mut new_connection, "fresh", WORK_MS).expect("write");
    eventually("the shortest drain is over", || stop_requested_at.elapsed() > SHORTEST_DRAIN);
    fleet.daemons[0].signal("-CONT");
    let replies = [("kept", keep_alive), ("fresh", new_connection)].map(|(id, mut stream)| {
        let reply = client::read_reply(&mut stream, "POST");
        StopRequest { id: id.to_owned(), reply }
    });
    assert_eq!(fleet.daemons[0].wait_exit().code(), Some(0), "no request is interrupted");
    replies.iter().for_each(|request| request.check_runs(&fleet));
}

#[test]
fn verify_a_backend_server_is_used_until_its_daemon_hands_over() {
    let flags = vec![("drain-ms", "60000"), ("drain-min-ms", "30000")];
    let fleet = TestFleet::start(&FleetPlan { daemon_flags: flags, ..FleetPlan::default() });
    stops::request_stop(&fleet.daemons[1]);
    // The other daemon gets six requests at once, more than the four slots of its own server.
    let callers = fleet.daemons[0].callers;
    let sending: Vec<_> = (0..6)
        .map(|number| {
            thread::spawn(move || {
                let mut stream = client::connect(callers);
                stops::send_request(&mut stream, &format!("meanwhile-{number}"), WORK_MS)
                    .map(|reply| reply.status)
            })
        })
        .collect();
    for sending in sending {
        assert_eq!(sending.join().expect("join"), Some(200));
    }
    assert!(
        fleet.backends[1].total_runs() > 0,
        "the backend server of the stopping daemon received no requests"
    );
}
