// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! A proxy on loopback whose connections can be held or fall silent.

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

/// Bytes read at once.
const PIECE_BYTES: usize = 16 * 1024;
/// Time between looks whether a direction is still held.
const HELD_LOOK: Duration = Duration::from_millis(5);
/// Connections at once: each daemon of a few hundred may link to one.
const CONNECTIONS_MAX: usize = 1024;

/// `ProxyHold` says which directions of a proxy hold back what is sent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ProxyHold {
    /// From the side that connected.
    pub forward: bool,
    /// To the side that connected.
    pub back: bool,
}

#[derive(Default)]
struct ProxyState {
    target: Cell<Option<SocketAddr>>,
    hold: Cell<ProxyHold>,
    open: RefCell<Vec<Weak<Cell<bool>>>>,
}

/// `FaultProxy` passes connections on to a target, until it is told otherwise.
#[derive(Clone)]
pub struct FaultProxy {
    /// Address that it listens on.
    pub address: SocketAddr,
    state: Rc<ProxyState>,
}

impl FaultProxy {
    /// Starts a proxy without a target; connections that come before it has one are closed.
    pub fn start() -> io::Result<Self> {
        let listener = connection::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let address = listener.local_addr()?;
        let state = Rc::<ProxyState>::default();
        let shared = state.clone();
        let serve = move |stream, _| {
            let state = shared.clone();
            async move { join(&state, stream).await }
        };
        let count = ConnectionCount::default();
        monoio::spawn(connection::accept_all(listener, CONNECTIONS_MAX, count, serve));
        Ok(Self { address, state })
    }

    /// Sets where connections go from now on.
    pub fn forward_to(&self, target: SocketAddr) {
        self.state.target.set(Some(target));
    }

    /// Sets which directions are held; what is held goes on when they are freed.
    pub fn hold(&self, hold: ProxyHold) {
        self.state.hold.set(hold);
    }

    /// Silences each open connection that `chooses` says, for good and in both directions: nothing passes
    /// any more, nothing is closed, and the system goes on acknowledging what is sent. New ones work.
    pub fn silence(&self, mut chooses: impl FnMut() -> bool) {
        let mut open = self.state.open.borrow_mut();
        open.retain(|silent| silent.strong_count() > 0);
        for silent in open.iter().filter_map(Weak::upgrade) {
            if chooses() {
                silent.set(true);
            }
        }
    }
}

async fn join(state: &ProxyState, near: TcpStream) {
    let Some(target) = state.target.get() else { return };
    let Ok(far) = TcpStream::connect_addr(target).await else { return };
    // A proxy that gathers small pieces would add a delay of its own.
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let silent = Rc::new(Cell::new(false));
    state.open.borrow_mut().push(Rc::downgrade(&silent));
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let forward = pump(near_read, far_write, &silent, || state.hold.get().forward);
    let back = pump(far_read, near_write, &silent, || state.hold.get().back);
    let forward = std::pin::pin!(forward);
    let back = std::pin::pin!(back);
    let other: Pin<&mut dyn Future<Output = ()>> = match future::select(forward, back).await {
        Either::Left(((), back)) => back,
        Either::Right(((), forward)) => forward,
    };
    // The end of one side of a silent connection does not pass either.
    if silent.get() {
        other.await;
    }
}

async fn pump(
    mut from: impl AsyncReadRent,
    mut to: impl AsyncWriteRentExt,
    silent: &Cell<bool>,
    is_held: impl Fn() -> bool,
) {
    let mut buffer = vec![0; PIECE_BYTES];
    loop {
        let (result, piece) = from.read(buffer).await;
        let count = match result {
            Ok(count) if count > 0 => count,
            _ => return,
        };
        while is_held() && !silent.get() {
            monoio::time::sleep(HELD_LOOK).await;
        }
        buffer = piece;
        if silent.get() {
            continue;
        }
        let (written, _) = to.write_all(buffer[..count].to_vec()).await;
        if written.is_err() {
            return;
        }
    }
}
