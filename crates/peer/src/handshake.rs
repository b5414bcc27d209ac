// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Mutual authentication on connecting: each side proves that it holds the fleet key.
//!
//! Each side sends a nonce and answers the nonce of the other side with an HMAC-SHA-256 (RFC 2104)
//! over its role, both nonces and both host names. The roles differ, so that a proof can't be
//! reflected to its sender.

use std::time::Duration;

use hmac::{Hmac, KeyInit, Mac};
use monoio::io::{AsyncReadRent, AsyncWriteRent, AsyncWriteRentExt};
use rand::Rng;
use sha2::Sha256;

use crate::errors::LinkError;
use crate::frames::{self, FrameReader};
use crate::protocol::{FrameBody, HelloNote, PeerFrame, ProofNote};

/// Version of the protocol between daemons.
pub const PROTOCOL_VERSION: i32 = 2;
/// Timeout of the whole handshake: several round trips between distant regions (0.3 s each).
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);
/// Length of a nonce in bytes, which matches the security level of SHA-256.
const NONCE_BYTES: usize = 32;
/// Minimum length of the fleet key in bytes.
pub const KEY_BYTES_MIN: usize = 16;

/// `PeerIdentity` is what a daemon announces of itself in the handshake.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerIdentity {
    /// Host of the daemon.
    pub host: String,
    /// Incarnation of the daemon; each restart has a higher number.
    pub incarnation: i64,
    /// Failure domain of the host.
    pub failure_domain: String,
    /// Whether the daemon answers load probes for its upstreams.
    pub answers_looks: bool,
    /// Whether the daemon accepts reservations in the queues of its upstreams.
    pub takes_reservations: bool,
}

/// `LinkSide` is the role of a daemon on a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkSide {
    /// The daemon that opened the connection.
    Dialler,
    /// The daemon that accepted the connection.
    Acceptor,
}

impl LinkSide {
    fn label(self) -> &'static [u8] {
        match self {
            Self::Dialler => b"basaltarch dialler",
            Self::Acceptor => b"basaltarch acceptor",
        }
    }

    fn opposite(self) -> Self {
        match self {
            Self::Dialler => Self::Acceptor,
            Self::Acceptor => Self::Dialler,
        }
    }
}

/// Runs the handshake and returns the identity of the other side.
pub async fn run<R: AsyncReadRent, W: AsyncWriteRent>(
    reader: &mut FrameReader<R>,
    writer: &mut W,
    side: LinkSide,
    identity: &PeerIdentity,
    key: &[u8],
) -> Result<PeerIdentity, LinkError> {
    let exchange = exchange_proofs(reader, writer, side, identity, key);
    match monoio::time::timeout(HANDSHAKE_TIMEOUT, exchange).await {
        Ok(result) => result,
        Err(_) => Err(LinkError::TimedOut),
    }
}

async fn exchange_proofs<R: AsyncReadRent, W: AsyncWriteRent>(
    reader: &mut FrameReader<R>,
    writer: &mut W,
    side: LinkSide,
    identity: &PeerIdentity,
    key: &[u8],
) -> Result<PeerIdentity, LinkError> {
    let ours = HelloNote {
        host: identity.host.clone(),
        incarnation: identity.incarnation,
        nonce: random_nonce(),
        failure_domain: identity.failure_domain.clone(),
        protocol_version: PROTOCOL_VERSION,
        answers_looks: Some(identity.answers_looks),
        takes_reservations: Some(identity.takes_reservations),
    };
    write_frame(writer, FrameBody::Hello(ours.clone())).await?;
    let theirs = match reader.next().await?.body {
        FrameBody::Hello(hello) => hello,
        other => return Err(unexpected_frame(&other)),
    };
    if theirs.protocol_version != PROTOCOL_VERSION {
        return Err(LinkError::WrongVersion {
            theirs: theirs.protocol_version,
            ours: PROTOCOL_VERSION,
        });
    }
    let mac = proof_mac(key, side, &ours, &theirs).finalize().into_bytes().to_vec();
    write_frame(writer, FrameBody::Proof(ProofNote { mac })).await?;
    let proof = match reader.next().await?.body {
        FrameBody::Proof(proof) => proof,
        other => return Err(unexpected_frame(&other)),
    };
    proof_mac(key, side.opposite(), &theirs, &ours)
        .verify_slice(&proof.mac)
        .map_err(|_| LinkError::WrongKey { host: theirs.host.clone() })?;
    Ok(PeerIdentity {
        answers_looks: theirs.answers_looks.unwrap_or(false),
        takes_reservations: theirs.takes_reservations.unwrap_or(false),
        host: theirs.host,
        incarnation: theirs.incarnation,
        failure_domain: theirs.failure_domain,
    })
}

fn unexpected_frame(body: &FrameBody) -> LinkError {
    LinkError::Unexpected { frame: frames::frame_name(body) }
}

fn random_nonce() -> Vec<u8> {
    let mut nonce = vec![0; NONCE_BYTES];
    rand::rng().fill_bytes(&mut nonce);
    nonce
}

fn proof_mac(key: &[u8], side: LinkSide, prover: &HelloNote, verifier: &HelloNote) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key)
        .unwrap_or_else(|_| unreachable!("HMAC accepts keys of any length"));
    mac.update(side.label());
    for part in [&prover.nonce, &verifier.nonce] {
        mac.update(&(part.len() as u64).to_be_bytes());
        mac.update(part);
    }
    mac.update(prover.host.as_bytes());
    mac.update(&[0]);
    mac.update(verifier.host.as_bytes());
    mac
}

async fn write_frame<W: AsyncWriteRent>(writer: &mut W, body: FrameBody) -> Result<(), LinkError> {
    let mut buffer = bytes::BytesMut::new();
    frames::encode(&PeerFrame { exchange: 0, body }, &mut buffer)?;
    let (result, _) = writer.write_all(buffer).await;
    result.map(drop).map_err(|source| LinkError::Broken { source })
}
