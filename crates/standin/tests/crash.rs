// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! A simulated backend server that is down.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use basaltarch_standin::backend::{self, BackendOptions, BackendStandin, HeldPort};
use basaltarch_telemetry::runtime;
use socket2::{Domain, SockRef, Socket, Type};

/// Starts a simulated server whose requests for `/crash` crash it for good.
fn start_fragile_server() -> SocketAddr {
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        let serving = async move {
            let port = HeldPort::try_new(SocketAddr::from(([127, 0, 0, 1], 0))).expect("bind");
            let listener = port.listen().expect("listen");
            sender.send(port.address()).expect("send");
            let standin = BackendStandin::new(BackendOptions::default());
            backend::serve(port, listener, standin, 10).await;
        };
        runtime::run(serving).expect("runtime");
    });
    receiver.recv().expect("the server starts")
}

// Guards against another process that answers in the place of a server that is down.
#[test]
fn verify_a_server_that_is_down_refuses_connections_and_keeps_its_port() {
    let address = start_fragile_server();
    // A connection that ends by a reset doesn't keep the port by itself.
    let connect = || {
        TcpStream::connect(address).inspect(|stream| {
            SockRef::from(stream).set_linger(Some(Duration::ZERO)).expect("linger");
        })
    };
    let send = |request: String| {
        let mut stream = connect().expect("connect");
        stream.write_all(request.as_bytes()).expect("written");
        let _ = stream.read(&mut [0; 1024]);
    };
    let faults = r#"{"crash_path": "/crash", "crash_after_ms": 0, "down_ms": 3600000}"#;
    let (path, length) = (backend::FAULTS_PATH, faults.len());
    send(format!("PUT {path} HTTP/1.1\r\nHost: a\r\nContent-Length: {length}\r\n\r\n{faults}"));
    send("GET /crash HTTP/1.1\r\nHost: a\r\n\r\n".to_owned());
    let refusal = loop {
        // A crash closes the listener before it closes the connections.
        if let Err(error) = connect() {
            break error.kind();
        }
    };
    assert_eq!(refusal, ErrorKind::ConnectionRefused);
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    let taken = socket.bind(&address.into()).expect_err("the port is kept");
    assert_eq!(taken.kind(), ErrorKind::AddrInUse);
}
