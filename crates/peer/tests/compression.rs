// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Compression of a link. Guards against frames that are garbled, or delayed until the next batch,
//! when a read ends within a compressed block, and against repeated heads that hardly shrink.

use basaltarch_peer::compression::{LinkDecoder, LinkEncoder};
use bytes::BytesMut;
use proptest::prelude::*;

fn encode(encoder: &mut LinkEncoder, batch: &[u8]) -> Vec<u8> {
    let mut compressed = Vec::new();
    encoder.encode(batch, &mut compressed);
    compressed
}

fn decode_all(decoder: &mut LinkDecoder) -> Vec<u8> {
    let mut plain = BytesMut::new();
    while decoder.decode(&mut plain).expect("decoded") {}
    plain.to_vec()
}

proptest! {
    #[test]
    fn verify_batches_are_restored_however_the_stream_is_split(
        batches in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..3000), 1..12),
        split in 1..700_usize,
    ) {
        let mut encoder = LinkEncoder::default();
        let mut decoder = LinkDecoder::default();
        for batch in &batches {
            let compressed = encode(&mut encoder, batch);
            let mut plain = Vec::new();
            for received in compressed.chunks(split) {
                decoder.feed(received);
                plain.extend(decode_all(&mut decoder));
            }
            // Each batch is complete without bytes of the next.
            prop_assert_eq!(&plain, batch);
        }
    }
}

#[test]
fn verify_a_repeated_head_takes_a_fraction_of_its_first_size() {
    let head = |number: u32| {
        format!(
            "solver-app puzzle GET /puzzle/{number} host: solver.example\r\naccept: */*\r\n\
                 user-agent: a-caller/1.0\r\nx-forwarded-for: 10.0.0.1\r\nid: {number:08x}\r\n"
        )
    };
    let mut encoder = LinkEncoder::default();
    let first = encode(&mut encoder, head(1).as_bytes()).len();
    let later_bytes: usize = (2..12).map(|n| encode(&mut encoder, head(n).as_bytes()).len()).sum();
    assert!(
        later_bytes / 10 * 3 < first,
        "{first} bytes for the first head, {} for each later one",
        later_bytes / 10
    );
}

#[test]
fn verify_a_highly_compressible_batch_is_restored_in_blocks() {
    let batch = vec![7; 3_000_000];
    let compressed = encode(&mut LinkEncoder::default(), &batch);
    assert!(compressed.len() < 30_000);
    let mut decoder = LinkDecoder::default();
    decoder.feed(&compressed);
    let mut plain = BytesMut::new();
    // One call decodes one block only, so that its frames are handled before the next.
    assert!(decoder.decode(&mut plain).expect("decoded"));
    assert!(plain.len() < 100_000, "{} bytes in one block", plain.len());
    plain.extend(decode_all(&mut decoder));
    assert_eq!(&plain[..], &batch[..]);
}

#[test]
fn verify_bytes_that_no_encoder_wrote_are_an_error() {
    let mut decoder = LinkDecoder::default();
    decoder.feed(&[0xff; 64]);
    assert!(decoder.decode(&mut BytesMut::new()).is_err());
}
