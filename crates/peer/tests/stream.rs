// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Pieces of a body that wait in a pipe are merged, in their order and without loss.

use basaltarch_peer::stream::{EventPipe, StreamEvent, WINDOW_BYTES};
use bytes::Bytes;
use monoio::{LegacyDriver, RuntimeBuilder};
use proptest::prelude::*;

/// Reads a body to its end; returns its bytes and the number of events that brought them.
fn read_body(pipe: &EventPipe) -> (Vec<u8>, usize) {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new().build().expect("runtime");
    runtime.block_on(async {
        let (mut body, mut events) = (Vec::new(), 0);
        loop {
            let StreamEvent::Data(data, last) = pipe.next().await else { panic!("a body") };
            body.extend_from_slice(&data);
            events += 1;
            if last {
                return (body, events);
            }
        }
    })
}

#[test]
fn verify_a_window_of_single_bytes_is_a_few_events() {
    let pipe = EventPipe::default();
    for number in 0..WINDOW_BYTES {
        let data = Bytes::copy_from_slice(&[number as u8]);
        pipe.push(StreamEvent::Data(data, number + 1 == WINDOW_BYTES)).expect("open");
    }
    let (body, events) = read_body(&pipe);
    let expected: Vec<u8> = (0..WINDOW_BYTES).map(|number| number as u8).collect();
    assert_eq!((body == expected, events), (true, 4));
}

proptest! {
    #[test]
    fn verify_a_body_is_whole_however_it_is_split(sizes in prop::collection::vec(0..40_000usize, 1..20)) {
        let pipe = EventPipe::default();
        let mut expected = Vec::new();
        for (number, size) in sizes.iter().enumerate() {
            let data = vec![number as u8; *size];
            expected.extend_from_slice(&data);
            let is_last = number + 1 == sizes.len();
            pipe.push(StreamEvent::Data(Bytes::from(data), is_last)).expect("open");
        }
        prop_assert_eq!(read_body(&pipe).0, expected);
    }
}
