// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! A request whose caller has disconnected is not sent to a server, wherever the request waits.
//!
//! Guards against a fault in which an at-most-once request reached a server 0.78 s after its caller
//! had closed the connection, while paths between failure domains were cut for some daemons. The
//! ingress did not watch its caller while it waited for a link and sent the request once the link
//! was up. A host started a request although the cancel of the request had arrived together with
//! the request.

mod common;

use std::future;

use basaltarch_daemon::ingress::waiting;
use basaltarch_http::connection::{self, HttpStream};
use basaltarch_peer::frames::{self, FrameReader};
use basaltarch_peer::handshake::{self, LinkSide, PeerIdentity};
use basaltarch_peer::protocol::{CancelNotice, DispatchHead, FrameBody, PeerFrame};
use basaltarch_platform::headers::names;
use basaltarch_telemetry::runtime;
use bytes::BytesMut;
use common::daemon::FLEET_KEY;
use common::registered::{self, RegisteredFleet, SERVICE};
use common::{client, eventually, loopback_address};
use monoio::io::{AsyncWriteRentExt, Splitable};
use monoio::net::TcpStream;

#[test]
fn verify_a_disconnected_caller_ends_the_wait_for_a_link() {
    let test = async {
        let listener = connection::bind(loopback_address()).expect("bind");
        let address = listener.local_addr().expect("address");
        let caller = std::net::TcpStream::connect(address).expect("connect");
        let (stream, _) = listener.accept().await.expect("accept");
        let mut stream = HttpStream::new(stream);
        let link = waiting::unless_caller_gone(&mut stream, async { "link" }).await;
        assert_eq!(link, Some("link"));
        drop(caller);
        let pending_link = future::pending::<&str>();
        assert_eq!(waiting::unless_caller_gone(&mut stream, pending_link).await, None);
        // A caller that has already disconnected is detected at once, so the request is not sent
        // although the link is up.
        assert_eq!(waiting::unless_caller_gone(&mut stream, async { "link" }).await, None);
    };
    runtime::run(test).expect("runtime");
}

/// Builds the dispatch of a non-repeatable request with this id to the server `i-1`.
fn dispatch_frame(id: &str) -> PeerFrame {
    let header_lines = format!("host: {}\r\nrequest-id: {id}\r\n", common::registered::HOST);
    let head = DispatchHead {
        service_name: SERVICE.to_owned(),
        upstream: "i-1".to_owned(),
        route: "r-unsafe".to_owned(),
        method: "POST".to_owned(),
        target: "/unsafe/x".to_owned(),
        field_lines: header_lines.into_bytes(),
        deadline_ms: 3000,
        refusable: false,
        work_class: 1,
        work_mode: 0,
        attempt: 1,
        content_length: 0,
        body: Vec::new(),
        last: true,
        baseline: None,
        once_key: None,
        organisation: None,
        revision: 1,
        after_failure: false,
        passable: false,
        objective_ms: 800,
        logged: None,
        repeated: false,
        fingerprint: None,
        tally: None,
        reserved: None,
        called: None,
        rate: None,
    };
    PeerFrame { exchange: 0, body: FrameBody::Dispatch(head) }
}

#[test]
fn verify_a_request_received_together_with_its_cancel_is_not_started() {
    let fleet = RegisteredFleet::start(1);
    fleet.wait_served(0, &[0]);
    let server = &fleet.backends[0];
    let runs_before = server.total_runs();
    let peers = fleet.daemons[0].peers;
    let test = async {
        let stream = TcpStream::connect(peers).await.expect("connect");
        let (reader, mut writer) = stream.into_split();
        let mut reader = FrameReader::new(reader, |_| {});
        let identity = PeerIdentity {
            host: "host-z".to_owned(),
            incarnation: 1,
            failure_domain: "bkk-a".to_owned(),
            answers_looks: false,
            takes_reservations: false,
        };
        let link_side = LinkSide::Dialler;
        let key = FLEET_KEY.as_bytes();
        handshake::run(&mut reader, &mut writer, link_side, &identity, key)
            .await
            .expect("handshake");
        let mut buffer = BytesMut::new();
        let cancel = FrameBody::Cancel(CancelNotice { caller_gone: true });
        let frames_of_cancelled_request = [
            PeerFrame { exchange: 1, ..dispatch_frame("gone") },
            PeerFrame { exchange: 1, body: cancel },
        ];
        for frame in frames_of_cancelled_request
            .iter()
            .chain(&[PeerFrame { exchange: 2, ..dispatch_frame("stays") }])
        {
            frames::encode(frame, &mut buffer).expect("a frame");
        }
        writer.write_all(buffer.freeze()).await.0.expect("write");
        loop {
            let frame = reader.next().await.expect("a frame");
            if matches!((frame.exchange, frame.body), (2, FrameBody::Answer(_))) {
                return;
            }
        }
    };
    runtime::run(test).expect("runtime");
    assert_eq!((server.run_count("gone"), server.run_count("stays")), (0, 1));
    assert_eq!(server.total_runs(), runs_before + 1);
}

// Guards against requests that start at a host that was paused, after their callers got a time-out.
#[test]
fn verify_a_request_that_timed_out_at_its_ingress_does_not_start_at_a_paused_host() {
    let fleet = RegisteredFleet::start(1);
    let ingress = fleet.start_daemon("host-z", "bkk-b", &[]);
    let mut number = 0;
    eventually("the ingress reaches the server", || {
        number += 1;
        let id = format!("warm-{number}");
        registered::send_request(ingress.callers, "POST", "/unsafe/x", &id).status == 200
    });
    fleet.daemons[0].signal("-STOP");
    let headers =
        [("Host", registered::HOST), (names::REQUEST_ID, "late"), (names::DEADLINE, "400")];
    let reply = client::call(ingress.callers, "POST", "/unsafe/x", &headers, "x");
    fleet.daemons[0].signal("-CONT");
    assert_eq!(reply.status, 504, "{}", reply.text());
    eventually("the host has read the request", || {
        fleet.daemons[0].log_text().lines().any(|line| {
            let is_handled = line.contains("\"work refused\"") || line.contains("\"work started\"");
            is_handled && line.contains("\"late\"")
        })
    });
    assert_eq!(fleet.run_count("late"), 0);
}
