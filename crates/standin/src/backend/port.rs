// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Keeps the port of a simulated backend server while the server is down, as no other process may
//! answer in its place.

use std::io;
use std::net::SocketAddr;

use basaltarch_http::connection;
use monoio::net::TcpListener;
use socket2::{Domain, Protocol, Socket, Type};

/// `HeldPort` is a port that a simulated backend server listens at, or that refuses connections
/// while the server is down.
#[derive(Debug)]
pub struct HeldPort {
    address: SocketAddr,
    /// Bound and never listening.
    _socket: Socket,
}

impl HeldPort {
    /// Holds the port of `address`; with port 0 the system chooses the port.
    pub fn try_new(address: SocketAddr) -> io::Result<Self> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
        // The listener of the same process shares the port.
        socket.set_reuse_address(true)?;
        socket.bind(&address.into())?;
        let address = socket.local_addr()?.as_socket().unwrap_or(address);
        Ok(Self { address, _socket: socket })
    }

    /// Returns the address with the port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Listens at the port.
    pub fn listen(&self) -> io::Result<TcpListener> {
        connection::bind(self.address)
    }
}
