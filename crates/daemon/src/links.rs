// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Dials and accepts links to other daemons, and monitors them.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use basaltarch_base::metrics;
use basaltarch_base::peers::PeerPath;
use basaltarch_decide::eviction::ConnectionStage;
use basaltarch_decide::path::PathState;
use basaltarch_events::fleet;
use basaltarch_http::connection;
use basaltarch_http::table::{ConnectionEntry, ConnectionTable};
use basaltarch_peer::compression::LinkEncoder;
use basaltarch_peer::errors::LinkError;
use basaltarch_peer::frames::{FrameReader, FrameSender};
use basaltarch_peer::handshake::{self, LinkSide, PeerIdentity};
use basaltarch_peer::link::{AcceptedLink, DialledLink, NO_EXCHANGE};
use basaltarch_peer::protocol::FrameBody;
use futures_util::future::{self, Either};
use monoio::io::{OwnedReadHalf, OwnedWriteHalf, Splitable};
use monoio::net::{TcpListener, TcpStream};

use crate::control;
use crate::document;
use crate::host;
use crate::membership;
use crate::rows;
use crate::state::DaemonState;

/// Timeout for connecting to another daemon: a round trip to a distant region takes up to 0.3 s.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time that a request waits for a link to be established.
///
/// Dialling continues in the background after this time, so that a later request finds a link to a
/// distant daemon.
const LINK_WAIT_MAX: Duration = Duration::from_millis(500);
/// Time between checks of the links.
const LINK_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time without use after which a link is closed.
const LINK_IDLE_TIME_MAX: Duration = Duration::from_secs(120);
/// Time without a received frame after which the link of a cut path is closed, so that a new link
/// can be established. Also the longest time that a replaced link waits for its last requests.
const LINK_CUT_TIME_MAX: Duration = Duration::from_secs(10);
/// Time without traffic after which the system probes the other end of an accepted link. Daemons
/// close the links that they dialled earlier, so only those of a lost host are probed.
const ACCEPTED_PROBE_AFTER: Duration = Duration::from_secs(150);
/// Time between two such probes.
const ACCEPTED_PROBE_INTERVAL: Duration = Duration::from_secs(10);
/// Number of unanswered probes after which the system drops an accepted link.
const ACCEPTED_PROBES: u32 = 3;
/// Maximum number of accepted links: one link from every other daemon at the fleet size expected in
/// two years, and some more for daemons that restart.
const ACCEPTED_LINKS_MAX: usize = 8192;

type LinkReader = FrameReader<OwnedReadHalf<TcpStream>>;
type LinkWriter = OwnedWriteHalf<TcpStream>;

/// Returns the link along a path, dialling it if necessary.
pub async fn link_to(
    state: &Rc<DaemonState>,
    path: &Rc<PeerPath>,
) -> Result<Rc<DialledLink>, LinkError> {
    if let Some(link) = path.link() {
        return Ok(link);
    }
    match monoio::time::timeout(LINK_WAIT_MAX, wait_for_link(state, path)).await {
        Ok(result) => result,
        Err(_) => Err(LinkError::TimedOut),
    }
}

/// Sends a daemon a message that it replies to, and establishes the link if necessary. The message is
/// built once there is a link, as establishing one takes time.
pub async fn send_request(
    state: &Rc<DaemonState>,
    path: &Rc<PeerPath>,
    build_message: impl FnOnce(&DaemonState) -> FrameBody,
) {
    path.note_used(state.now());
    if let Ok(link) = link_to(state, path).await {
        // A send error is ignored: a link that ended brings no reply.
        let _ = link.sender().send(NO_EXCHANGE, build_message(state));
        path.await_reply(state.now());
    }
}

async fn wait_for_link(
    state: &Rc<DaemonState>,
    path: &Rc<PeerPath>,
) -> Result<Rc<DialledLink>, LinkError> {
    loop {
        if let Some(link) = path.link() {
            return Ok(link);
        }
        let seen = path.change_count();
        if !start_dial(state, path) && !path.is_dialling() {
            return Err(LinkError::Closed);
        }
        path.wait_change(seen).await;
        if path.link().is_none() && !path.is_dialling() {
            return Err(LinkError::Closed);
        }
    }
}

/// Starts to dial a link in a task of its own, unless a dial is in progress or must wait for its
/// back-off.
fn start_dial(state: &Rc<DaemonState>, path: &Rc<PeerPath>) -> bool {
    let Some(dial_number) = path.start_dial(state.now()) else { return false };
    let state = state.clone();
    let path = path.clone();
    monoio::spawn(async move {
        connection::catch_panics("dialled link", run_dialled(&state, &path, dial_number)).await;
        path.note_unlinked(dial_number, state.now());
    });
    true
}

/// Dials a second link beside a link that may be black-holed, and waits for the second link up to
/// [`LINK_WAIT_MAX`]. Requests in flight stay on the first link, as that link may recover. New
/// requests use the second link.
pub async fn renew(state: &Rc<DaemonState>, path: &Rc<PeerPath>) {
    let seen = path.change_count();
    if start_dial(state, path) || path.is_dialling() {
        let _ = monoio::time::timeout(LINK_WAIT_MAX, path.wait_change(seen)).await;
    }
}

/// Probes all links and makes the pending calls to the store anew, after a link was replaced while it
/// was unresponsive. The other daemon runs, so the first link was black-holed, and other connections
/// may be black-holed as well.
fn suspect_connections(state: &DaemonState) {
    if state.peers.request_probes(state.now()) {
        document::renew_call(state);
        rows::renew_call(state);
    }
}

/// Closes a replaced link once nothing is in flight on it, or after [`LINK_CUT_TIME_MAX`].
async fn close_replaced(link: Rc<DialledLink>) {
    let mut waited = Duration::ZERO;
    while link.exchange_count() > 0 && waited < LINK_CUT_TIME_MAX {
        monoio::time::sleep(LINK_CHECK_INTERVAL).await;
        waited += LINK_CHECK_INTERVAL;
    }
    link.sender().close();
}

/// Dials a link, and runs the link until its connection ends.
async fn run_dialled(state: &Rc<DaemonState>, path: &Rc<PeerPath>, dial_number: u64) {
    let (mut reader, writer, link) = match dial(state, path).await {
        Ok(parts) => parts,
        Err(error) => {
            let retry_in_ms = path.back_off().as_millis() as u64;
            let (host, error) = (&*path.host, &error.to_string());
            fleet::PeerUnreachable { host, error, retry_in_ms }.log();
            return;
        }
    };
    let was_cut = path.state(state.now()) == PathState::Cut;
    if let Some(replaced_link) = path.note_linked(dial_number, link.clone(), state.now()) {
        monoio::spawn(close_replaced(replaced_link));
        if was_cut {
            suspect_connections(state);
        }
    }
    metrics::LINKS.add(1);
    fleet::PeerLinked { host: &path.host }.log();
    let sender = link.sender().clone();
    let on_control = |body: FrameBody| {
        control::handle_frame(state, Some(path), &sender, &link.peer, body);
    };
    let on_frame = || path.note_frame(state.now());
    let reading = link.run(&mut reader, on_frame, on_control);
    let encoder = crosses_domains(state, &link.peer).then(LinkEncoder::default);
    let error = run_halves(reading, &sender, writer, encoder).await;
    let in_flight = link.exchange_count() as u64;
    link.end();
    metrics::LINKS.add(-1);
    let silent_ms = path.time_since_frame(state.now()).as_millis() as u64;
    fleet::PeerLost { host: &path.host, error: &error.to_string(), in_flight, silent_ms }.log();
}

async fn dial(
    state: &Rc<DaemonState>,
    path: &Rc<PeerPath>,
) -> Result<(LinkReader, LinkWriter, Rc<DialledLink>), LinkError> {
    let address = path.address().ok_or(LinkError::Closed)?;
    let (mut reader, mut writer) = connect(address).await?;
    let key = &state.options.fleet_key;
    let side = LinkSide::Dialler;
    let peer = handshake::run(&mut reader, &mut writer, side, &state.identity, key).await?;
    // Another host may have taken over the address since the path learnt it.
    if *peer.host != *path.host {
        return Err(LinkError::OtherHost { host: peer.host });
    }
    if crosses_domains(state, &peer) {
        reader.start_decoding();
    }
    let link = DialledLink::new(peer, FrameSender::default());
    Ok((reader, writer, link))
}

/// Identifies the daemon that listens at an address, by a handshake.
pub async fn identify_peer(
    state: &Rc<DaemonState>,
    address: SocketAddr,
) -> Result<PeerIdentity, LinkError> {
    let (mut reader, mut writer) = connect(address).await?;
    let key = &state.options.fleet_key;
    handshake::run(&mut reader, &mut writer, LinkSide::Dialler, &state.identity, key).await
}

async fn connect(address: SocketAddr) -> Result<(LinkReader, LinkWriter), LinkError> {
    let connect = TcpStream::connect_addr(address);
    match monoio::time::timeout(CONNECT_TIMEOUT, connect).await {
        Ok(Ok(stream)) => Ok(split_stream(stream)),
        Ok(Err(source)) => Err(LinkError::Broken { source }),
        Err(_) => Err(LinkError::TimedOut),
    }
}

fn split_stream(stream: TcpStream) -> (LinkReader, LinkWriter) {
    let _ = stream.set_nodelay(true);
    let (read, write) = stream.into_split();
    (FrameReader::new(read, count_received), write)
}

/// Runs both halves of a link until either ends.
async fn run_halves(
    reading: impl std::future::Future<Output = LinkError>,
    sender: &FrameSender,
    writer: LinkWriter,
    encoder: Option<LinkEncoder>,
) -> LinkError {
    let reading = std::pin::pin!(reading);
    let writing = std::pin::pin!(sender.run(writer, encoder, count_sent));
    match future::select(reading, writing).await {
        Either::Left((error, _)) => error,
        Either::Right((Err(error), _)) => error,
        Either::Right((Ok(()), _)) => LinkError::Closed,
    }
}

/// Says whether a link crosses failure domains. Both sides of a link come to the same result.
/// Frames are compressed on a link that crosses failure domains, as traffic between failure domains
/// is expensive. Within a failure domain, the processor time for compression would cost more than
/// the traffic.
fn crosses_domains(state: &DaemonState, peer: &PeerIdentity) -> bool {
    state.options.failure_domain != peer.failure_domain
}

fn count_received(bytes: usize) {
    metrics::PEER_BYTES_RECEIVED.add(bytes as u64);
}

fn count_sent(bytes: usize) {
    metrics::PEER_BYTES_SENT.add(bytes as u64);
}

/// Accepts links from other daemons for ever.
pub async fn accept(state: Rc<DaemonState>, listener: TcpListener) {
    let links_max = ACCEPTED_LINKS_MAX.min(state.options.accepted_links);
    let serve = move |stream, _, entry: Rc<ConnectionEntry>| {
        let state = state.clone();
        async move { run_accepted(&state, stream, &entry).await }
    };
    connection::accept_all(listener, links_max, ConnectionTable::default(), serve).await;
}

async fn run_accepted(state: &Rc<DaemonState>, stream: TcpStream, entry: &ConnectionEntry) {
    // Without probes, a link whose other host has lost its power would stay open.
    let _ = stream.set_tcp_keepalive(
        Some(ACCEPTED_PROBE_AFTER),
        Some(ACCEPTED_PROBE_INTERVAL),
        Some(ACCEPTED_PROBES),
    );
    let (mut reader, mut writer) = split_stream(stream);
    let key = &state.options.fleet_key;
    let side = LinkSide::Acceptor;
    let shaking = handshake::run(&mut reader, &mut writer, side, &state.identity, key);
    let peer = match future::select(std::pin::pin!(shaking), std::pin::pin!(entry.evicted())).await
    {
        Either::Left((Ok(peer), _)) => peer,
        Either::Left((Err(error), _)) => {
            fleet::LinkRefused { error: &error.to_string() }.log();
            return;
        }
        Either::Right(_) => return,
    };
    entry.enter(ConnectionStage::Serving);
    let is_cross_domain = crosses_domains(state, &peer);
    if is_cross_domain {
        reader.start_decoding();
    }
    let sender = FrameSender::default();
    let link = AcceptedLink::new(peer, sender.clone());
    state.members.note_accepted(&link);
    let on_dispatch = |inbound| {
        let state = state.clone();
        let link = link.clone();
        monoio::spawn(async move { host::serve_remote(state, link, inbound).await });
    };
    let on_control =
        |body: FrameBody| control::handle_frame(state, None, &sender, &link.peer, body);
    let reading = link.run(&mut reader, on_dispatch, on_control);
    let encoder = is_cross_domain.then(LinkEncoder::default);
    let error = run_halves(reading, &sender, writer, encoder).await;
    link.end();
    fleet::AcceptedEnded { host: &link.peer.host, error: &error.to_string() }.log();
}

/// Monitors the dialled links for ever: probes unresponsive links and closes idle links.
pub async fn watch(state: Rc<DaemonState>) {
    loop {
        monoio::time::sleep(LINK_CHECK_INTERVAL).await;
        let now = state.now();
        for path in state.peers.linked() {
            check_path(&state, &path, now);
        }
    }
}

/// Logs when a path counts as cut, because no frame has arrived along the path for a while, and
/// when frames arrive again.
fn log_silence(path: &PeerPath, in_flight: usize, now: Duration) {
    let is_unresponsive = path.state(now) == PathState::Cut;
    if path.note_silence(is_unresponsive) == is_unresponsive {
        return;
    }
    let host = &*path.host;
    if is_unresponsive {
        let silent_ms = path.time_since_frame(now).as_millis() as u64;
        fleet::PeerSilent { host, silent_ms, in_flight: in_flight as u64 }.log();
    } else {
        fleet::PeerHeard { host }.log();
    }
}

fn check_path(state: &Rc<DaemonState>, path: &Rc<PeerPath>, now: Duration) {
    let link = match path.link() {
        Some(link) => link,
        None => return,
    };
    let is_in_use = link.exchange_count() > 0;
    if path.is_probe_due(now, is_in_use) {
        let note = membership::heartbeat_request(state, Vec::new());
        let _ = link.sender().send(NO_EXCHANGE, FrameBody::Heartbeat(note));
    }
    log_silence(path, link.exchange_count(), now);
    let is_idle = !is_in_use && now.saturating_sub(path.used_at()) > LINK_IDLE_TIME_MAX;
    let is_cut = path.state(now) == PathState::Cut;
    if is_idle || is_cut && path.time_since_frame(now) > LINK_CUT_TIME_MAX {
        link.sender().close();
    } else if is_cut {
        // A connection may be black-holed for good while new ones work. Requests in flight on the
        // first link continue there.
        start_dial(state, path);
    }
}
