// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! A TCP forwarder between two processes. A test can cut each direction separately, and can
//! black-hole connections permanently.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::Duration;

/// Time between two checks of whether a direction is still cut.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Faults of a forwarder, which tests switch on and off.
#[derive(Default)]
pub struct Cuts {
    /// Whether bytes from the side that connected are held back until the cut ends.
    pub forward: AtomicBool,
    /// Whether bytes to the side that connected are held back until the cut ends.
    pub backward: AtomicBool,
    /// Whether new connections are closed at once.
    pub refuse: AtomicBool,
    /// Number of the last connection that is black-holed, as are all earlier connections. A
    /// black-holed connection stays open, and its bytes are read and dropped.
    last_black_holed: AtomicU64,
    /// Number of connections that were opened so far; also the number of the newest connection.
    opened_count: AtomicU64,
    /// Hosts whose links are cut; if empty, all links are cut. A daemon names its host in the first
    /// frame of a link, by which the link is recognised.
    pub only_hosts: Mutex<Vec<String>>,
}

impl Cuts {
    /// Returns whether the cuts apply to the connection with this first frame.
    fn applies_to(&self, first_frame: &[u8]) -> bool {
        let only_hosts = self.only_hosts.lock().expect("lock");
        let is_named =
            |host: &String| first_frame.windows(host.len()).any(|w| w == host.as_bytes());
        only_hosts.is_empty() || only_hosts.iter().any(is_named)
    }
}

/// A TCP forwarder. Connections stay open while a direction is cut, as on a network.
pub struct Forwarder {
    pub address: SocketAddr,
    pub cuts: Arc<Cuts>,
    target: Arc<Mutex<Option<SocketAddr>>>,
    open_streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Forwarder {
    /// Starts a forwarder that closes connections until [`Forwarder::forward_to`] is called.
    pub fn start() -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("bind");
        let forwarder = Self {
            address: listener.local_addr().expect("address"),
            cuts: Arc::default(),
            target: Arc::default(),
            open_streams: Arc::default(),
        };
        let cuts = forwarder.cuts.clone();
        let target = forwarder.target.clone();
        let open_streams = forwarder.open_streams.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let address = *target.lock().expect("lock");
                if let (Some(address), false) = (address, cuts.refuse.load(Ordering::SeqCst)) {
                    forward_connection(stream, address, &cuts, &open_streams);
                }
            }
        });
        forwarder
    }

    /// Sets the address to which new connections are forwarded.
    pub fn forward_to(&self, target: SocketAddr) {
        *self.target.lock().expect("lock") = Some(target);
    }

    /// Black-holes every open connection permanently; new connections work.
    pub fn black_hole(&self) {
        self.cuts
            .last_black_holed
            .store(self.cuts.opened_count.load(Ordering::SeqCst), Ordering::SeqCst);
    }

    /// Closes every connection.
    pub fn break_all(&self) {
        for stream in self.open_streams.lock().expect("lock").drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

fn forward_connection(
    caller_stream: TcpStream,
    address: SocketAddr,
    cuts: &Arc<Cuts>,
    open_streams: &Arc<Mutex<Vec<TcpStream>>>,
) {
    let target_stream = match TcpStream::connect(address) {
        Ok(target_stream) => target_stream,
        Err(_) => return,
    };
    let mut streams = open_streams.lock().expect("lock");
    streams.push(caller_stream.try_clone().expect("clone"));
    streams.push(target_stream.try_clone().expect("clone"));
    let (caller_reader, target_writer) =
        (caller_stream.try_clone().expect("clone"), target_stream.try_clone().expect("clone"));
    let connection_number = cuts.opened_count.fetch_add(1, Ordering::SeqCst) + 1;
    let is_black_holed = |cuts: &Arc<Cuts>| {
        let cuts = cuts.clone();
        move || connection_number <= cuts.last_black_holed.load(Ordering::SeqCst)
    };
    let (black_holed_forward, black_holed_backward) = (is_black_holed(cuts), is_black_holed(cuts));
    let first_frame = Arc::<OnceLock<Vec<u8>>>::default();
    let forward = (cuts.clone(), first_frame.clone());
    let backward = (cuts.clone(), first_frame.clone());
    thread::spawn(move || {
        let (cuts, first) = &forward;
        forward_bytes(caller_reader, target_writer, black_holed_forward, |chunk| {
            let first = first.get_or_init(|| chunk.to_vec());
            cuts.forward.load(Ordering::SeqCst) && cuts.applies_to(first)
        });
    });
    thread::spawn(move || {
        let (cuts, first) = &backward;
        forward_bytes(target_stream, caller_stream, black_holed_backward, |_| {
            let first = first.get().map_or(&[][..], Vec::as_slice);
            cuts.backward.load(Ordering::SeqCst) && cuts.applies_to(first)
        });
    });
}

/// Forwards bytes in one direction until the connection ends. Bytes wait while the direction is
/// cut, and are dropped if the connection is black-holed.
fn forward_bytes(
    mut from: TcpStream,
    mut to: TcpStream,
    is_black_holed: impl Fn() -> bool,
    is_cut: impl Fn(&[u8]) -> bool,
) {
    let mut chunk = [0; 16384];
    loop {
        let count = match from.read(&mut chunk) {
            Ok(count) if count > 0 => count,
            _ => break,
        };
        while is_cut(&chunk[..count]) && !is_black_holed() {
            thread::sleep(POLL_INTERVAL);
        }
        if is_black_holed() {
            continue;
        }
        if to.write_all(&chunk[..count]).is_err() {
            break;
        }
    }
    if is_black_holed() {
        return;
    }
    let _ = to.shutdown(std::net::Shutdown::Both);
    let _ = from.shutdown(std::net::Shutdown::Both);
}
