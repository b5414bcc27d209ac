// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Checks the limits and the framing of heads and bodies. Guards against results that depend on how
//! the input is split into reads.

use std::time::Duration;

use basaltarch_http::body::{BodyLimits, BodyReader};
use basaltarch_http::errors::HttpError;
use basaltarch_http::fault::ConnectionFault;
use basaltarch_http::fields;
use basaltarch_http::framing::{self, BodyFraming};
use basaltarch_http::head::{self, HeadLimits};
use basaltarch_http::reader::ByteReader;
use basaltarch_http::writer;
use bytes::{Bytes, BytesMut};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Version};
use monoio::buf::{IoBufMut, IoVecBufMut};
use monoio::io::AsyncReadRent;
use monoio::{BufResult, LegacyDriver, RuntimeBuilder};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use test_case::test_case;

/// A connection that delivers its bytes in pieces of equal size and then ends.
struct PieceReader {
    pieces: std::collections::VecDeque<Vec<u8>>,
}

impl PieceReader {
    fn new(bytes: &[u8], piece: usize) -> ByteReader<Self> {
        let pieces = bytes.chunks(piece.max(1)).map(<[u8]>::to_vec).collect();
        ByteReader::new(Self { pieces }, ConnectionFault::default())
    }
}

impl AsyncReadRent for PieceReader {
    async fn read<T: IoBufMut>(&mut self, buf: T) -> BufResult<usize, T> {
        let piece = match self.pieces.front_mut() {
            Some(piece) => piece,
            None => return (Ok(0), buf),
        };
        // The slice reader copies into the buffer as a connection does.
        let mut source = piece.as_slice();
        let (result, buf) = AsyncReadRent::read(&mut source, buf).await;
        let rest = source.to_vec();
        if rest.is_empty() {
            self.pieces.pop_front();
        } else {
            *piece = rest;
        }
        (result, buf)
    }

    async fn readv<T: IoVecBufMut>(&mut self, buf: T) -> BufResult<usize, T> {
        (Ok(0), buf)
    }
}

fn run<F: std::future::Future>(future: F) -> F::Output {
    let mut runtime =
        RuntimeBuilder::<LegacyDriver>::new().enable_timer().build().expect("runtime");
    runtime.block_on(future)
}

async fn read_all(
    reader: &mut ByteReader<PieceReader>,
    framing: BodyFraming,
    limits: BodyLimits,
) -> Result<Vec<u8>, HttpError> {
    let mut body = BodyReader::new(framing, limits);
    let mut whole_body = Vec::new();
    while let Some(piece) = body.next(reader).await? {
        whole_body.extend_from_slice(&piece);
    }
    Ok(whole_body)
}

fn request(text: &str, piece: usize) -> Result<http::request::Parts, HttpError> {
    run(async {
        let mut reader = PieceReader::new(text.as_bytes(), piece);
        head::read_request(&mut reader, &HeadLimits::default()).await
    })
}

#[test_case("", "closed" ; "nothing came")]
#[test_case("GET / HT", "cut short" ; "half a head")]
fn verify_a_closed_connection_and_a_truncated_head_give_different_errors(text: &str, part: &str) {
    let error = request(text, 3).expect_err("no head");
    assert!(error.to_string().contains(part), "{error}");
    assert!(error.status().is_none(), "no response can be sent");
}

#[test]
fn verify_the_size_limit_of_a_head_is_exact() {
    let limits = HeadLimits { bytes: 256, ..HeadLimits::default() };
    let text = |length: usize| {
        let rest = length - "GET / HTTP/1.1\r\na: \r\n\r\n".len();
        format!("GET / HTTP/1.1\r\na: {}\r\n\r\n", "x".repeat(rest))
    };
    for (length, is_accepted) in [(255, true), (256, true), (257, false)] {
        let result = run(async {
            let mut reader = PieceReader::new(text(length).as_bytes(), 50);
            head::read_request(&mut reader, &limits).await
        });
        assert_eq!(result.is_ok(), is_accepted, "{length}");
    }
}

#[test_case("0\r\n\r\n", Ok("") ; "empty")]
#[test_case("5\r\nhello\r\n0\r\n\r\n", Ok("hello") ; "one chunk")]
#[test_case("A;name=value\r\n0123456789\r\n0\r\nT: 1\r\n\r\n", Ok("0123456789") ; "extension and trailer")]
#[test_case("5\r\nhel", Err("cut short") ; "cut in a chunk")]
#[test_case("5\r\nhello", Err("cut short") ; "cut after a chunk")]
#[test_case("5\r\nhello\r\n", Err("cut short") ; "no last chunk")]
#[test_case("5\nhello\r\n0\r\n\r\n", Err("chunk") ; "bare line feed")]
#[test_case("-5\r\nhello\r\n", Err("chunk") ; "sign")]
#[test_case("0x5\r\nhello\r\n", Err("chunk") ; "prefix")]
#[test_case("\r\nhello\r\n", Err("chunk") ; "no size")]
#[test_case("5\r\nhelloX\n0\r\n\r\n", Err("chunk") ; "no end")]
#[test_case("fffffffffffffffff\r\n", Err("chunk") ; "size of no number")]
fn verify_chunked_bodies(text: &str, expected: Result<&str, &str>) {
    for piece in [1, 2, 3, 7, 1000] {
        let result = run(async {
            let mut reader = PieceReader::new(text.as_bytes(), piece);
            read_all(&mut reader, BodyFraming::Chunked, BodyLimits::default()).await
        });
        match (&result, expected) {
            (Ok(body), Ok(expected)) => assert_eq!(body, expected.as_bytes()),
            (Err(error), Err(part)) => assert!(error.to_string().contains(part), "{error}"),
            other => panic!("{other:?}"),
        }
    }
}

#[test]
fn verify_a_body_over_the_limit_is_rejected() {
    let limits = BodyLimits { bytes: 10, idle: Duration::from_secs(1) };
    let result = run(async {
        let mut reader = PieceReader::new(&[b'x'; 11], 4);
        read_all(&mut reader, BodyFraming::Length(11), limits).await
    });
    assert_eq!(result.expect_err("too large").status(), Some(http::StatusCode::PAYLOAD_TOO_LARGE));
}

#[test]
fn verify_hop_by_hop_fields_are_removed_with_those_that_connection_lists() {
    let mut headers = HeaderMap::new();
    for (name, value) in [
        ("connection", "close, X-One"),
        ("connection", "x-two"),
        ("x-one", "1"),
        ("x-two", "2"),
        ("x-three", "3"),
        ("te", "trailers"),
        ("transfer-encoding", "chunked"),
        ("proxy-authorization", "secret"),
    ] {
        let name: HeaderName = name.parse().expect("name");
        headers.append(name, HeaderValue::from_static(value));
    }
    assert!(fields::wants_close(Version::HTTP_11, &headers));
    fields::remove_hop_fields(&mut headers);
    let remaining: Vec<&str> = headers.keys().map(HeaderName::as_str).collect();
    assert_eq!(remaining, ["x-three"]);
    assert!(fields::wants_close(Version::HTTP_10, &headers));
}

/// Returns a configuration of `cases` cases from a fixed seed, so that each run has the same cases.
fn fixed_config(cases: u32) -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(20_261_202);
    ProptestConfig { cases, rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(fixed_config(400))]

    /// Arbitrary bytes must not cause a panic.
    #[test]
    fn verify_arbitrary_bytes_give_a_head_or_an_error(
        bytes in prop::collection::vec(any::<u8>(), 0..400),
        piece in 1..50_usize,
    ) {
        run(async {
            let mut reader = PieceReader::new(&bytes, piece);
            if let Ok(head) = head::read_request(&mut reader, &HeadLimits::default()).await {
                let _ = framing::of_request(&head);
            }
            let mut reader = PieceReader::new(&bytes, piece);
            if let Ok(head) = head::read_response(&mut reader, &HeadLimits::default()).await {
                let _ = framing::of_response(&head, &Method::GET);
            }
            let mut reader = PieceReader::new(&bytes, piece);
            let _ = read_all(&mut reader, BodyFraming::Chunked, BodyLimits::default()).await;
        });
    }

    /// Nearly valid heads reach more of the parser than random bytes do.
    #[test]
    fn verify_corrupted_heads_give_a_head_or_an_error(
        position in 0..120_usize,
        byte in any::<u8>(),
        piece in 1..50_usize,
    ) {
        let mut text = b"POST /a?b=c HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\
            X-Some: value\r\nTransfer-Encoding: chunked\r\nExpect: 100-continue\r\n\r\nabc".to_vec();
        let position = position % text.len();
        text[position] = byte;
        run(async {
            let mut reader = PieceReader::new(&text, piece);
            if let Ok(head) = head::read_request(&mut reader, &HeadLimits::default()).await {
                // A message with both length fields must be rejected, because the length of its
                // body is ambiguous.
                let framing = framing::of_request(&head);
                let has_both_lengths = head.headers.contains_key("content-length")
                    && head.headers.contains_key("transfer-encoding");
                assert!(!has_both_lengths || framing.is_err());
            }
        });
    }

    /// Chunks that the writer produces are read back, however the input is split.
    #[test]
    fn verify_written_chunks_are_read_back(
        pieces in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..300), 0..8),
        split in 1..100_usize,
    ) {
        let mut buffer = BytesMut::new();
        for piece in &pieces {
            writer::put_piece(&mut buffer, BodyFraming::Chunked, piece, false);
        }
        writer::put_piece(&mut buffer, BodyFraming::Chunked, &Bytes::new(), true);
        buffer.extend_from_slice(b"next");
        let (body, unread) = run(async {
            let mut reader = PieceReader::new(&buffer, split);
            let body = read_all(&mut reader, BodyFraming::Chunked, BodyLimits::default()).await;
            while reader.fill(100).await.expect("read") > 0 {}
            (body.expect("body"), reader.buffer.clone())
        });
        prop_assert_eq!(body, pieces.concat());
        prop_assert_eq!(&unread[..], b"next", "the next message is untouched");
    }
}
