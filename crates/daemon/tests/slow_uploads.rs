// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! An attempt goes on beside its hedge after its path was cut. Its body, which was withheld until
//! the request started, still reaches its server.

mod common;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{self, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;

use common::forwarder::Forwarder;
use common::scripted::{AfterExchange, ScriptedExchange, ScriptedServer};
use common::{client, FleetPlan, TestDaemon, TestFleet, TestPlatform, EVENT_TIMEOUT};
use serde_json::json;

/// Body of the requests: long enough to be withheld, short enough to be kept whole.
const BODY_BYTES: usize = 1000;

/// Says at which server an exchange began.
type Started = (usize, String);

/// Three daemons in failure domains of their own. Servers run beside the second and the third;
/// peers reach the second daemon through a forwarder.
struct CutFleet {
    fleet: TestFleet,
    forwarder: Forwarder,
    started: Receiver<Started>,
    /// Whether the second server never answers.
    is_silent: Arc<AtomicBool>,
}

fn play(
    exchange: &mut ScriptedExchange<'_>,
    server: usize,
    started: &Mutex<Sender<Started>>,
    is_silent: &AtomicBool,
) -> AfterExchange {
    let id = exchange.seen.id.clone();
    started.lock().expect("sender").send((server, id)).expect("the test runs");
    if !exchange.read_body() {
        return AfterExchange::Close;
    }
    if server == 1 && is_silent.load(Ordering::SeqCst) {
        exchange.await_end();
        return AfterExchange::Close;
    }
    exchange.answer("200 OK", &format!("x-served-by: {server}\r\n"), "done");
    AfterExchange::Keep
}

impl CutFleet {
    fn start() -> Self {
        let service = json!({"floor": 0.5, "prefer": "detection", "retry_budget": 1.0});
        let plan = FleetPlan { service, ..FleetPlan::default() };
        let platform = TestPlatform::start();
        let forwarder = Forwarder::start();
        let advertised = forwarder.address.to_string();
        let start_daemon = |host: &str, domain: &str, flags: &[(&str, &str)]| {
            TestDaemon::start(platform.address, host, domain, flags)
        };
        let daemons = vec![
            start_daemon("host-a", "bkk-a", &[]),
            start_daemon("host-b", "bkk-b", &[("advertise-peers", advertised.as_str())]),
            start_daemon("host-c", "bkk-c", &[]),
        ];
        forwarder.forward_to(daemons[1].peers);
        let (sender, started) = mpsc::channel();
        let (sender, is_silent) = (Arc::new(Mutex::new(sender)), Arc::new(AtomicBool::new(false)));
        let start_server = |server: usize| {
            let (sender, is_silent) = (sender.clone(), is_silent.clone());
            ScriptedServer::start(&format!("server-{server}"), move |exchange| {
                play(exchange, server, &sender, &is_silent)
            })
        };
        let mut fleet = TestFleet { platform, daemons, backends: Vec::new() };
        fleet.wait_members();
        fleet.backends = (0..2).map(|server| start_server(server).backend).collect();
        let mut configuration = fleet.build_configuration(&plan);
        for (server, (host, domain)) in
            [("host-b", "bkk-b"), ("host-c", "bkk-c")].iter().enumerate()
        {
            let entry = &mut configuration["backend-servers"][format!("server-{server}")];
            entry["host"] = json!(host);
            entry["failure_domain"] = json!(domain);
        }
        let reply = fleet.apply(&configuration);
        assert_eq!(reply.status, 200, "{}", reply.text());
        fleet.wait_revision(1);
        Self { fleet, forwarder, started, is_silent }
    }

    fn set_cut(&self, is_cut: bool) {
        self.forwarder.cuts.backward.store(is_cut, Ordering::SeqCst);
    }

    fn next_started(&self) -> Started {
        self.started.recv_timeout(EVENT_TIMEOUT).expect("a server gets the request")
    }
}

/// Guards against an attempt that waits at its server for a body that nobody sends any more.
#[test]
fn verify_an_attempt_beside_its_hedge_still_gets_its_body() {
    let cut = CutFleet::start();
    let callers = cut.fleet.daemons[0].callers;
    let send = move |id: String| {
        let headers = [("Host", "solver.example"), ("x-request-id", &*id)];
        client::call(callers, "POST", "/puzzle", &headers, &"b".repeat(BODY_BYTES))
    };
    // Both servers have served, so both links are established.
    let mut served = [false; 2];
    for number in 0.. {
        if served == [true; 2] {
            break;
        }
        assert_eq!(send(format!("before-{number}")).status, 200);
        served[cut.next_started().0] = true;
    }
    for number in 0.. {
        cut.set_cut(true);
        let caller = thread::spawn(move || send(format!("cut-{number}")));
        if cut.next_started().0 == 1 {
            cut.set_cut(false);
            assert_eq!(caller.join().expect("the caller").status, 200);
            continue;
        }
        // The first server waits for the body. Its hedge goes to the second, which never answers.
        cut.is_silent.store(true, Ordering::SeqCst);
        assert_eq!(cut.next_started(), (1, format!("cut-{number}")));
        cut.set_cut(false);
        let reply = caller.join().expect("the caller");
        assert_eq!((reply.status, reply.header("x-served-by").as_deref()), (200, Some("0")));
        return;
    }
}
