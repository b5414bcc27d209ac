// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! A TCP proxy on loopback that can hold back data or black-hole connections.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::time::Duration;

use basaltarch_http::connection::{self, ConnectionCount};
use futures_util::future::{self, Either};
use monoio::io::{AsyncReadRent, AsyncWriteRentExt, Splitable};
use monoio::net::TcpStream;

/// Largest number of bytes that are read from a connection at a time.
const CHUNK_BYTES: usize = 16 * 1024;
/// Interval at which a held direction is checked for its release.
const HELD_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum number of concurrent connections of a proxy: each of a few hundred daemons may link to
/// the same daemon.
const CONNECTIONS_MAX: usize = 1024;

/// `ProxyHold` is the set of directions in which a proxy holds back data.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ProxyHold {
    /// From the client to the target.
    pub forward: bool,
    /// From the target to the client.
    pub back: bool,
}

#[derive(Default)]
struct ProxyState {
    target: Cell<Option<SocketAddr>>,
    hold: Cell<ProxyHold>,
    /// For each open connection, whether it is black-holed.
    open: RefCell<Vec<Weak<Cell<bool>>>>,
}

/// `FaultProxy` relays connections to a target and injects faults into them.
#[derive(Clone)]
pub struct FaultProxy {
    /// Address on which the proxy listens.
    pub address: SocketAddr,
    state: Rc<ProxyState>,
}

impl FaultProxy {
    /// Starts a proxy without a target; it closes connections until it has one.
    pub fn start() -> io::Result<Self> {
        let listener = connection::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let address = listener.local_addr()?;
        let state = Rc::<ProxyState>::default();
        let shared = state.clone();
        let serve = move |stream, _| {
            let state = shared.clone();
            async move { relay(&state, stream).await }
        };
        let count = ConnectionCount::default();
        monoio::spawn(connection::accept_all(listener, CONNECTIONS_MAX, count, serve));
        Ok(Self { address, state })
    }

    /// Sets the target of new connections.
    pub fn forward_to(&self, target: SocketAddr) {
        self.state.target.set(Some(target));
    }

    /// Sets which directions are held; data that was held back is sent once they are released.
    pub fn hold(&self, hold: ProxyHold) {
        self.state.hold.set(hold);
    }

    /// Black-holes each open connection for which `chooses` returns true, permanently and in both
    /// directions: no data is relayed, neither end is closed, and the operating system still
    /// acknowledges what is sent. New connections work.
    pub fn black_hole(&self, mut chooses: impl FnMut() -> bool) {
        let mut open = self.state.open.borrow_mut();
        open.retain(|black_holed| black_holed.strong_count() > 0);
        for black_holed in open.iter().filter_map(Weak::upgrade) {
            if chooses() {
                black_holed.set(true);
            }
        }
    }
}

async fn relay(state: &ProxyState, near: TcpStream) {
    let Some(target) = state.target.get() else { return };
    let Ok(far) = TcpStream::connect_addr(target).await else { return };
    // Without TCP_NODELAY the proxy would gather small writes and add a delay of its own.
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let black_holed = Rc::new(Cell::new(false));
    state.open.borrow_mut().push(Rc::downgrade(&black_holed));
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let forward = pump(near_read, far_write, &black_holed, || state.hold.get().forward);
    let back = pump(far_read, near_write, &black_holed, || state.hold.get().back);
    let forward = std::pin::pin!(forward);
    let back = std::pin::pin!(back);
    let remaining: Pin<&mut dyn Future<Output = ()>> = match future::select(forward, back).await {
        Either::Left(((), back)) => back,
        Either::Right(((), forward)) => forward,
    };
    // On a black-holed connection the close of one side isn't relayed to the other either.
    if black_holed.get() {
        remaining.await;
    }
}

async fn pump(
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
