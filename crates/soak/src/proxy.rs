// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! A TCP proxy on loopback that can hold back the data of its connections or black-hole the
//! connections.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Poll, Waker};
use std::time::Duration;

use basaltarch_http::connection;
use basaltarch_http::table::{ConnectionEntry, ConnectionTable};
use futures_util::future::{self, Either};
use monoio::io::{AsyncReadRent, AsyncWriteRentExt, Splitable};
use monoio::net::TcpStream;

/// Largest number of bytes that are read from a connection at a time.
const CHUNK_BYTES: usize = 16 * 1024;
/// Interval at which a connection with held-back data checks whether the direction is still held.
const HELD_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum number of concurrent connections of a proxy. Each of a few hundred daemons may link to
/// the daemon behind the proxy.
const CONNECTIONS_MAX: usize = 1024;

/// `ProxyHold` is the set of directions in which a proxy holds back data.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ProxyHold {
    /// Whether data from the client to the target is held back.
    pub forward: bool,
    /// Whether data from the target to the client is held back.
    pub back: bool,
}

#[derive(Default)]
struct ProxyState {
    target: Cell<Option<SocketAddr>>,
    hold: Cell<ProxyHold>,
    open_connections: RefCell<Vec<Weak<ProxyConnection>>>,
}

/// `ProxyConnection` is the state of one open connection.
#[derive(Default)]
struct ProxyConnection {
    black_holed: Cell<bool>,
    is_reset: Cell<bool>,
    reset_waker: RefCell<Option<Waker>>,
}

impl ProxyConnection {
    fn reset(&self) {
        self.is_reset.set(true);
        if let Some(waker) = self.reset_waker.borrow_mut().take() {
            waker.wake();
        }
    }

    async fn wait_reset(&self) {
        future::poll_fn(|context| {
            if self.is_reset.get() {
                return Poll::Ready(());
            }
            *self.reset_waker.borrow_mut() = Some(context.waker().clone());
            Poll::Pending
        })
        .await
    }
}

/// `FaultProxy` relays connections to a target and injects faults into them.
#[derive(Clone)]
pub struct FaultProxy {
    /// Address on which the proxy listens.
    pub address: SocketAddr,
    state: Rc<ProxyState>,
}

impl FaultProxy {
    /// Starts a proxy without a target. Until a target is set, the proxy closes each new
    /// connection.
    pub fn start() -> io::Result<Self> {
        let listener = connection::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let address = listener.local_addr()?;
        let state = Rc::<ProxyState>::default();
        let shared = state.clone();
        let serve = move |stream, _, entry: Rc<ConnectionEntry>| {
            entry.protect();
            let state = shared.clone();
            async move { relay_connection(&state, stream).await }
        };
        let table = ConnectionTable::default();
        monoio::spawn(connection::accept_all(listener, CONNECTIONS_MAX, table, serve));
        Ok(Self { address, state })
    }

    /// Sets the target of new connections.
    pub fn forward_to(&self, target: SocketAddr) {
        self.state.target.set(Some(target));
    }

    /// Sets the directions in which data is held back. When a direction is released, the data that
    /// was held back in that direction is sent.
    pub fn hold(&self, hold: ProxyHold) {
        self.state.hold.set(hold);
    }

    /// Says whether data is held back in any direction.
    pub fn is_held(&self) -> bool {
        self.state.hold.get() != ProxyHold::default()
    }

    /// Black-holes each open connection for which `is_chosen` returns true, permanently and in both
    /// directions: no data is relayed, neither end is closed, and the operating system still
    /// acknowledges received data. Connections that are opened later are not black-holed.
    pub fn black_hole(&self, mut is_chosen: impl FnMut() -> bool) {
        for connection in self.open_connections().iter().filter(|_| is_chosen()) {
            connection.black_holed.set(true);
        }
    }

    /// Closes both ends of each open connection for which `is_chosen` returns true, whatever is in
    /// transit.
    pub fn reset(&self, mut is_chosen: impl FnMut() -> bool) {
        for connection in self.open_connections().iter().filter(|_| is_chosen()) {
            connection.reset();
        }
    }

    fn open_connections(&self) -> Vec<Rc<ProxyConnection>> {
        let mut open_connections = self.state.open_connections.borrow_mut();
        open_connections.retain(|connection| connection.strong_count() > 0);
        open_connections.iter().filter_map(Weak::upgrade).collect()
    }
}

async fn relay_connection(state: &ProxyState, client_stream: TcpStream) {
    let Some(target) = state.target.get() else { return };
    let Ok(target_stream) = TcpStream::connect_addr(target).await else { return };
    // Without TCP_NODELAY, the operating system would gather small writes and add a delay that the
    // connection does not have without the proxy.
    let _ = client_stream.set_nodelay(true);
    let _ = target_stream.set_nodelay(true);
    let connection = Rc::<ProxyConnection>::default();
    state.open_connections.borrow_mut().push(Rc::downgrade(&connection));
    let black_holed = &connection.black_holed;
    let (client_read, client_write) = client_stream.into_split();
    let (target_read, target_write) = target_stream.into_split();
    let forward = relay_data(client_read, target_write, black_holed, || state.hold.get().forward);
    let back = relay_data(target_read, client_write, black_holed, || state.hold.get().back);
    let relaying = std::pin::pin!(relay_both(forward, back, black_holed));
    let resetting = std::pin::pin!(connection.wait_reset());
    future::select(relaying, resetting).await;
}

/// Relays both directions of a connection until one of them ends.
async fn relay_both(
    forward: impl Future<Output = ()>,
    back: impl Future<Output = ()>,
    black_holed: &Cell<bool>,
) {
    let forward = std::pin::pin!(forward);
    let back = std::pin::pin!(back);
    let remaining: Pin<&mut dyn Future<Output = ()>> = match future::select(forward, back).await {
        Either::Left(((), back)) => back,
        Either::Right(((), forward)) => forward,
    };
    // On a black-holed connection, the close of one stream isn't relayed to the other stream
    // either.
    if black_holed.get() {
        remaining.await;
    }
}

/// Copies data from one stream to another until a stream ends or fails. Holds data back while
/// `is_held` returns true, and discards all data once the connection is black-holed.
async fn relay_data(
    mut from: impl AsyncReadRent,
    mut to: impl AsyncWriteRentExt,
    black_holed: &Cell<bool>,
    is_held: impl Fn() -> bool,
) {
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        let (result, chunk) = from.read(buffer).await;
        let count = match result {
            Ok(count) if count > 0 => count,
            _ => return,
        };
        while is_held() && !black_holed.get() {
            monoio::time::sleep(HELD_POLL_INTERVAL).await;
        }
        buffer = chunk;
        if black_holed.get() {
            continue;
        }
        let (written, _) = to.write_all(buffer[..count].to_vec()).await;
        if written.is_err() {
            return;
        }
    }
}
