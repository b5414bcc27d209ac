// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Guards against a panic in the task of one connection that ends the listener or other
//! connections, or that leaves the ended connection in the count of open connections.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use basaltarch_http::client::HttpClient;
use basaltarch_http::connection;
use basaltarch_http::server::{self, ServerLimits, ServerReply};
use basaltarch_http::table::ConnectionTable;
use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use monoio::{LegacyDriver, RuntimeBuilder};

#[test]
fn verify_a_panic_ends_its_connection_alone() {
    let mut runtime =
        RuntimeBuilder::<LegacyDriver>::new().enable_timer().build().expect("runtime");
    runtime.block_on(async {
        let listener = connection::bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("bind");
        let address = listener.local_addr().expect("address");
        let served = Rc::new(Cell::new(0));
        let table = ConnectionTable::default();
        let open = table.clone();
        let seen = served.clone();
        monoio::spawn(connection::accept_all(listener, 10, table, move |stream, from, entry| {
            let seen = seen.clone();
            server::serve(stream, from, entry, ServerLimits::default().into(), move |request| {
                let seen = seen.clone();
                async move {
                    assert_ne!(request.path(), "/panic", "panic requested by the test");
                    seen.set(seen.get() + 1);
                    ServerReply::text(StatusCode::OK, "well")
                }
            })
        }));
        let client = HttpClient::new(address, Duration::from_secs(20));
        let call =
            |path: &'static str| client.call(Method::GET, path, HeaderMap::new(), Bytes::new());
        assert!(call("/panic").await.is_err(), "the panic ends its connection");
        for _ in 0..3 {
            assert_eq!(call("/").await.expect("a reply").status, StatusCode::OK);
        }
        assert!(call("/panic").await.is_err());
        assert_eq!(call("/").await.expect("a reply").status, StatusCode::OK);
        assert_eq!(
            (served.get(), open.len()),
            (4, 1),
            "4 requests served; only the pooled connection is still counted"
        );
    });
}
