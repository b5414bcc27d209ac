// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Frames, exchanges and flow control between daemons. Guards against frames that are lost when a
//! read ends within them, panics on malformed frames, exchanges reported as not run although their
//! bytes were sent, and senders that exceed the flow-control window.

use std::rc::Rc;
use std::task::{Context, Poll};

use basaltarch_peer::errors::LinkError;
use basaltarch_peer::frames::{self, FrameSender, FRAME_BYTES_MAX};
use basaltarch_peer::handshake::PeerIdentity;
use basaltarch_peer::link::DialledLink;
use basaltarch_peer::protocol::{
    BodyChunk, CreditGrant, DispatchHead, ExchangeFailure, FrameBody, HeartbeatNote, PeerFrame,
};
use basaltarch_peer::stream::{
    EventPipe, EventSink, RemoteSink, SendCredit, StreamEvent, WINDOW_BYTES,
};
use bytes::{BufMut, Bytes, BytesMut};
use futures_util::task::noop_waker;
use monoio::{LegacyDriver, RuntimeBuilder};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn run<F: std::future::Future>(future: F) -> F::Output {
    let mut runtime =
        RuntimeBuilder::<LegacyDriver>::new().enable_timer().build().expect("runtime");
    runtime.block_on(future)
}

fn dispatch(body: Vec<u8>) -> DispatchHead {
    DispatchHead {
        service_name: "solver-app".to_owned(),
        upstream: "server-1".to_owned(),
        route: "puzzle".to_owned(),
        method: "GET".to_owned(),
        target: "/puzzle".to_owned(),
        field_lines: b"host: h\r\n".to_vec(),
        deadline_ms: 1000,
        refusable: true,
        work_class: 1,
        work_mode: 0,
        attempt: 1,
        content_length: body.len() as i64,
        body,
        last: true,
        baseline: None,
        once_key: None,
        organisation: None,
        revision: 7,
        after_failure: false,
        passable: true,
        logged: None,
        objective_ms: 800,
        repeated: false,
        fingerprint: None,
        tally: None,
        reserved: None,
        called: None,
        rate: None,
    }
}

#[test]
fn verify_frames_are_read_back_however_they_are_split() {
    let frames = [
        PeerFrame { exchange: 1, body: FrameBody::Dispatch(dispatch(vec![1, 2, 3])) },
        PeerFrame { exchange: 2, body: FrameBody::Credit(CreditGrant { bytes: 9 }) },
        PeerFrame {
            exchange: 0,
            body: FrameBody::Heartbeat(HeartbeatNote {
                asked_ms: Some(7),
                fresh_ms: None,
                wants_word: None,
                evacuations: None,
                reply: false,
                revision: 3,
                members: Vec::new(),
                suspects: None,
            }),
        },
    ];
    let mut bytes = BytesMut::new();
    for frame in &frames {
        frames::encode(frame, &mut bytes).expect("encode");
    }
    for split in 1..bytes.len() {
        let mut buffer = BytesMut::from(&bytes[..split]);
        let mut decoded_frames = Vec::new();
        while let Some(frame) = frames::decode(&mut buffer).expect("decode") {
            decoded_frames.push(frame);
        }
        buffer.extend_from_slice(&bytes[split..]);
        while let Some(frame) = frames::decode(&mut buffer).expect("decode") {
            decoded_frames.push(frame);
        }
        assert_eq!(decoded_frames, frames);
    }
}

#[test]
fn verify_frames_over_the_limit_are_neither_sent_nor_read() {
    let frame = PeerFrame {
        exchange: 1,
        body: FrameBody::Chunk(BodyChunk { data: vec![0; FRAME_BYTES_MAX], last: true }),
    };
    let mut bytes = BytesMut::new();
    let error = frames::encode(&frame, &mut bytes).expect_err("too long");
    assert!(matches!(error, LinkError::FrameTooLong { .. }));
    assert!(bytes.is_empty(), "no part of the rejected frame stays in the buffer");
    bytes.put_u32(u32::MAX);
    assert!(matches!(frames::decode(&mut bytes), Err(LinkError::FrameTooLong { .. })));
}

fn link() -> (Rc<DialledLink>, FrameSender) {
    let sender = FrameSender::default();
    let peer = PeerIdentity {
        host: "host-b".to_owned(),
        incarnation: 1,
        failure_domain: "bkk-b".to_owned(),
        answers_looks: false,
        takes_reservations: false,
    };
    (DialledLink::new(peer, sender.clone()), sender)
}

fn failure(event: StreamEvent) -> ExchangeFailure {
    match event {
        StreamEvent::Failed(failure) => failure,
        other => panic!("{other:?}"),
    }
}

#[test]
fn verify_an_unsent_exchange_fails_as_not_run_when_the_link_ends() {
    use basaltarch_core::outcome::FailureOutcome;
    run(async {
        let (link, _) = link();
        let exchange = link.dispatch(dispatch(Vec::new())).expect("dispatch");
        link.end();
        let failure = failure(exchange.answer.next().await);
        let outcome = FailureOutcome::from_wire(failure.outcome);
        assert!(matches!(outcome, FailureOutcome::NotRun(_)), "{outcome}");
        assert!(link.dispatch(dispatch(Vec::new())).is_err());
    });
}

#[test]
fn verify_a_submitted_exchange_fails_as_unknown_when_the_link_ends() {
    use basaltarch_core::outcome::FailureOutcome;
    run(async {
        let (link, sender) = link();
        let submitted_exchange = link.dispatch(dispatch(Vec::new())).expect("dispatch");
        // The writer task hands the bytes to the operating system; the listener never reads them.
        let writer_queue = sender.clone();
        let listener = monoio::net::TcpListener::bind("127.0.0.1:0").expect("bind");
        let address = listener.local_addr().expect("address");
        let stream = monoio::net::TcpStream::connect_addr(address).await.expect("connect");
        let writer_task =
            monoio::spawn(async move { writer_queue.run(stream, None, |_| ()).await });
        while !sender.was_submitted(0) {
            monoio::time::sleep(std::time::Duration::from_millis(1)).await;
        }
        let later_exchange = link.dispatch(dispatch(Vec::new())).expect("dispatch");
        link.end();
        let submitted_outcome =
            FailureOutcome::from_wire(failure(submitted_exchange.answer.next().await).outcome);
        let later_outcome =
            FailureOutcome::from_wire(failure(later_exchange.answer.next().await).outcome);
        assert!(matches!(submitted_outcome, FailureOutcome::Unknown(_)), "{submitted_outcome}");
        assert!(matches!(later_outcome, FailureOutcome::NotRun(_)), "{later_outcome}");
        drop(writer_task);
    });
}

#[test]
fn verify_a_request_body_waits_until_the_request_starts() {
    use futures_util::FutureExt;
    run(async {
        let pipe = Rc::new(EventPipe::default());
        pipe.shut_window();
        let sink = EventSink::Local(pipe.clone());
        let data = || StreamEvent::Data(Bytes::from_static(b"x"), false);
        assert!(sink.send(data()).now_or_never().is_none());
        pipe.open_window();
        assert_eq!(sink.send(data()).now_or_never(), Some(Ok(())));
        assert_eq!(pipe.next().await, data());
        pipe.close();
        assert!(sink.send(data()).now_or_never().expect("at once").is_err());
    });
}

#[test]
fn verify_a_sender_stops_at_the_window() {
    use futures_util::FutureExt;
    run(async {
        let pipe = Rc::new(EventPipe::default());
        let sink = EventSink::Local(pipe.clone());
        let chunk = Bytes::from(vec![0; WINDOW_BYTES / 4]);
        let mut sent = 0;
        while sink.send(StreamEvent::Data(chunk.clone(), false)).now_or_never().is_some() {
            sent += chunk.len();
            assert!(sent <= 2 * WINDOW_BYTES, "the window does not stop the sender");
        }
        assert_eq!(sent, WINDOW_BYTES);
        pipe.next().await;
        assert!(sink.send(StreamEvent::Data(chunk, false)).now_or_never().is_some());
    });
}

/// Returns a configuration of `cases` cases from a fixed seed, so that each run has the same cases.
fn fixed_config(cases: u32) -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(20_261_202);
    ProptestConfig { cases, rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(fixed_config(500))]

    /// Decoding of arbitrary bytes from a peer must not panic.
    #[test]
    fn verify_any_bytes_decode_or_fail(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let mut buffer = BytesMut::new();
        buffer.put_u32(bytes.len() as u32);
        buffer.extend_from_slice(&bytes);
        let _ = frames::decode(&mut buffer);
    }

    #[test]
    fn verify_mangled_frames_decode_or_fail(position in 0..200_usize, byte in any::<u8>()) {
        let frame = PeerFrame { exchange: 1, body: FrameBody::Dispatch(dispatch(vec![7; 40])) };
        let mut bytes = BytesMut::new();
        frames::encode(&frame, &mut bytes).expect("encode");
        let position = 4 + position % (bytes.len() - 4);
        bytes[position] = byte;
        let _ = frames::decode(&mut bytes);
    }
}

/// Says whether body bytes may be sent now.
fn is_ready(sink: &EventSink) -> bool {
    let waker = noop_waker();
    matches!(sink.poll_ready(&mut Context::from_waker(&waker)), Poll::Ready(Ok(())))
}

/// Guards against body bytes that are passed on, and gone, before the host starts the request.
#[test]
fn verify_an_offered_slot_lets_no_body_bytes_pass_before_the_request_starts() {
    let pipe = Rc::new(EventPipe::default());
    pipe.shut_window();
    let sink = EventSink::Local(pipe.clone());
    pipe.offer_slot();
    assert!(is_ready(&sink), "the offer arrives");
    sink.begin(dispatch(Vec::new())).expect("an open pipe");
    assert!(!is_ready(&sink), "the request's head uses the offer up");
    pipe.open_window();
    assert!(is_ready(&sink), "the request has started");

    let credit = Rc::new(SendCredit::of_request());
    let sender = FrameSender::default();
    let sink = EventSink::Remote(RemoteSink { exchange: 1, sender, credit: credit.clone() });
    credit.add(1);
    assert!(is_ready(&sink), "the offer arrives");
    sink.begin(dispatch(Vec::new())).expect("an open link");
    assert!(!is_ready(&sink), "the request's head uses the offer up");
    credit.add(WINDOW_BYTES as i32);
    assert!(is_ready(&sink), "the request has started");
}
