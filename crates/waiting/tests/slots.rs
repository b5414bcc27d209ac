// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The queue of a backend server: which requests wait, which are refused at once, and which request
//! is served first. Guards against callers that learn only near their deadline that their request
//! can't be served, and against slots that are counted wrongly.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use basaltarch_base::clock::DaemonClock;
use basaltarch_core::outcome::NotRunReason;
use basaltarch_core::resources::WorkClass;
use basaltarch_decide::order::QueuedRequest;
use basaltarch_decide::server_rate::{RateResponse, RateStatement};
use basaltarch_telemetry::runtime;
use basaltarch_waiting::slots::{SlotGuard, SlotQueue, SlotRequest};

const USUAL: Duration = Duration::from_millis(200);

/// `SlotOutcome` is the outcome of one request for a slot.
struct SlotOutcome {
    name: &'static str,
    end: Result<(), NotRunReason>,
}

/// `TestQueue` is a queue of at most 16 requests for two slots, with the outcomes of the requests.
struct TestQueue {
    clock: DaemonClock,
    queue: Rc<SlotQueue>,
    outcomes: Rc<RefCell<Vec<SlotOutcome>>>,
    held: Rc<RefCell<Vec<SlotGuard>>>,
}

impl TestQueue {
    fn new() -> Self {
        let clock = DaemonClock::try_new().expect("a clock");
        let queue = Rc::new(SlotQueue::new(2, 16, clock.clone()));
        Self { clock, queue, outcomes: Rc::default(), held: Rc::default() }
    }

    /// Requests a slot in a task of its own and lets the task run until it waits.
    async fn acquire_as(&self, name: &'static str, request: SlotRequest) {
        let queue = self.queue.clone();
        let outcomes = self.outcomes.clone();
        let held = self.held.clone();
        monoio::spawn(async move {
            let result = queue.acquire(request).await;
            let end = result.map(|guard| held.borrow_mut().push(guard));
            outcomes.borrow_mut().push(SlotOutcome { name, end });
        });
        monoio::time::sleep(Duration::from_millis(1)).await;
    }

    /// Releases the oldest slot and lets the next request acquire it.
    async fn release_slot(&self) {
        drop(self.held.borrow_mut().remove(0));
        monoio::time::sleep(Duration::from_millis(1)).await;
    }

    fn request(&self, class: WorkClass, within_ms: u64) -> SlotRequest {
        let now = self.clock.now();
        let scheduling = QueuedRequest {
            class,
            is_call: false,
            deadline: now + Duration::from_secs(60),
            objective: Some(now + Duration::from_millis(within_ms)),
            usual: Some(USUAL),
            needed_time: Some(USUAL),
        };
        SlotRequest {
            scheduling,
            refusable: false,
            passable: false,
            needs_recent_progress: false,
            is_upload_open: false,
        }
    }

    fn outcome_of(&self, name: &str) -> Option<Result<(), NotRunReason>> {
        self.outcomes.borrow().iter().find(|each| each.name == name).map(|each| each.end)
    }
}

fn run(test: impl std::future::Future<Output = ()>) {
    runtime::run(test).expect("runtime");
}

#[test]
fn verify_the_higher_class_is_served_first_and_within_a_class_the_first_to_arrive() {
    run(async {
        let queue = TestQueue::new();
        for name in ["slot-1", "slot-2"] {
            queue.acquire_as(name, queue.request(WorkClass::Normal, 60_000)).await;
        }
        let classes = [
            ("low", WorkClass::Sheddable),
            ("first", WorkClass::Normal),
            ("second", WorkClass::Normal),
            ("high", WorkClass::Critical),
        ];
        for (name, class) in classes {
            queue.acquire_as(name, queue.request(class, 60_000)).await;
        }
        for _ in 0..4 {
            queue.release_slot().await;
        }
        let order: Vec<&str> = queue.outcomes.borrow().iter().map(|each| each.name).collect();
        assert_eq!(order, ["slot-1", "slot-2", "high", "first", "second", "low"]);
    });
}

#[test]
fn verify_a_request_that_would_be_late_is_declined_while_another_upstream_can_be_tried() {
    run(async {
        let queue = TestQueue::new();
        for name in ["slot-1", "slot-2"] {
            queue.acquire_as(name, queue.request(WorkClass::Normal, 60_000)).await;
        }
        let late = queue.request(WorkClass::Normal, 150);
        queue.acquire_as("declined", SlotRequest { passable: true, ..late }).await;
        assert_eq!(queue.outcome_of("declined"), Some(Err(NotRunReason::QueueFull)));
        // The last upstream that is tried queues the request, as the queued request makes no other
        // request miss its objective.
        queue.acquire_as("queued", late).await;
        assert_eq!(queue.outcome_of("queued"), None);
        queue.release_slot().await;
        assert_eq!(queue.outcome_of("queued"), Some(Ok(())));
    });
}

#[test]
fn verify_a_request_that_misses_its_objective_is_refused_while_another_can_meet_its_own() {
    run(async {
        let queue = TestQueue::new();
        for name in ["slot-1", "slot-2"] {
            queue.acquire_as(name, queue.request(WorkClass::Normal, 60_000)).await;
        }
        queue.acquire_as("late", queue.request(WorkClass::Normal, 320)).await;
        queue.acquire_as("in time", queue.request(WorkClass::Normal, 60_000)).await;
        // Waits until the request named "late" can no longer meet its objective.
        while queue.clock.now() < Duration::from_millis(400) {
            monoio::time::sleep(Duration::from_millis(10)).await;
        }
        queue.release_slot().await;
        assert_eq!(queue.outcome_of("late"), Some(Err(NotRunReason::QueueFull)));
        assert_eq!(queue.outcome_of("in time"), Some(Ok(())));
    });
}

#[test]
fn verify_a_request_that_can_only_start_after_its_deadline_is_refused_at_once() {
    run(async {
        let queue = TestQueue::new();
        for name in ["slot-1", "slot-2"] {
            queue.acquire_as(name, queue.request(WorkClass::Normal, 60_000)).await;
        }
        let now = queue.clock.now();
        let deadline = now + Duration::from_millis(50);
        let mut request = queue.request(WorkClass::Normal, 60_000);
        request.scheduling.deadline = deadline;
        queue.acquire_as("too late", request).await;
        assert_eq!(queue.outcome_of("too late"), Some(Err(NotRunReason::DeadlinePassed)));
    });
}

#[test]
fn verify_a_request_that_waited_for_half_of_its_time_is_refused_before_its_deadline() {
    run(async {
        let queue = TestQueue::new();
        for name in ["slot-1", "slot-2"] {
            queue.acquire_as(name, queue.request(WorkClass::Normal, 60_000)).await;
        }
        let deadline = queue.clock.now() + Duration::from_secs(2);
        let mut request = queue.request(WorkClass::Normal, 60_000);
        request.scheduling =
            QueuedRequest { deadline, usual: None, needed_time: None, ..request.scheduling };
        queue.acquire_as("waits", request).await;
        while queue.outcome_of("waits").is_none() {
            assert!(queue.clock.now() < deadline, "the request waited until its deadline");
            monoio::time::sleep(Duration::from_millis(5)).await;
        }
        assert_eq!(queue.outcome_of("waits"), Some(Err(NotRunReason::DeadlinePassed)));
    });
}

#[test]
fn verify_waiting_requests_are_refused_when_the_server_drains_and_slots_stay_exact() {
    run(async {
        let queue = TestQueue::new();
        for name in ["slot-1", "slot-2", "waits-1", "waits-2"] {
            queue.acquire_as(name, queue.request(WorkClass::Normal, 60_000)).await;
        }
        queue.queue.refuse_all(NotRunReason::Draining);
        monoio::time::sleep(Duration::from_millis(1)).await;
        for name in ["waits-1", "waits-2"] {
            assert_eq!(queue.outcome_of(name), Some(Err(NotRunReason::Draining)));
        }
        assert_eq!((queue.queue.used(), queue.queue.queued()), (2, 0));
        queue.release_slot().await;
        queue.release_slot().await;
        assert_eq!(queue.queue.used(), 0);
    });
}

#[test]
fn verify_only_non_repeatable_requests_wait_for_a_completion_at_an_unproven_server() {
    run(async {
        let queue = TestQueue::new();
        queue.acquire_as("first", queue.request(WorkClass::Normal, 60_000)).await;
        let once =
            SlotRequest { needs_recent_progress: true, ..queue.request(WorkClass::Normal, 60_000) };
        queue.acquire_as("declined", SlotRequest { passable: true, ..once }).await;
        assert_eq!(queue.outcome_of("declined"), Some(Err(NotRunReason::Unproven)));
        let (waiting, outcomes) = (queue.queue.clone(), queue.outcomes.clone());
        let offer = monoio::spawn(async move {
            let offer = waiting.await_offer(once).await;
            outcomes.borrow_mut().push(SlotOutcome {
                name: "offered",
                end: offer.as_ref().map(drop).map_err(|e| *e),
            });
            offer
        });
        monoio::time::sleep(Duration::from_millis(1)).await;
        assert_eq!(
            queue.outcome_of("offered"),
            None,
            "a slot is free, but no request has completed here"
        );
        queue.queue.note_end();
        queue.release_slot().await;
        assert_eq!(queue.outcome_of("offered"), Some(Ok(())));
        let slot = offer.await.expect("an offer").start(once).await.expect("a slot");
        assert_eq!(queue.queue.used(), 1);
        drop(slot);
        assert_eq!(queue.queue.used(), 0);
    });
}

#[test]
fn verify_one_reservation_is_offered_the_next_slot_before_the_slot_is_free() {
    run(async {
        let queue = TestQueue::new();
        for name in ["slot-1", "slot-2"] {
            queue.acquire_as(name, queue.request(WorkClass::Normal, 60_000)).await;
        }
        let request = queue.request(WorkClass::Normal, 60_000);
        let offer = queue.queue.await_offer(request).await.expect("an offer of the next slot");
        queue.acquire_as("waits", request).await;
        let outcomes = queue.outcomes.clone();
        let held = queue.held.clone();
        monoio::spawn(async move {
            let end = offer.start(request).await.map(|slot| held.borrow_mut().push(slot));
            outcomes.borrow_mut().push(SlotOutcome { name: "offered", end });
        });
        monoio::time::sleep(Duration::from_millis(1)).await;
        assert_eq!(queue.outcome_of("offered"), None, "all slots are taken");
        queue.release_slot().await;
        assert_eq!(queue.outcome_of("offered"), Some(Ok(())), "before the queued request");
        assert_eq!(queue.outcome_of("waits"), None);
    });
}

impl TestQueue {
    /// Records that the server names a rate limit, or none.
    fn name_rate(&self, per_second: Option<f64>) {
        let statement = per_second.map_or(RateStatement::Unlimited, RateStatement::PerSecond);
        self.queue.note_rate(&RateResponse { statement, sent_at: self.clock.now() });
    }
}

#[test]
fn verify_a_request_that_can_go_elsewhere_does_not_wait_for_its_turn() {
    run(async {
        let queue = TestQueue::new();
        queue.name_rate(Some(0.5));
        let request = SlotRequest { passable: true, ..queue.request(WorkClass::Normal, 60_000) };
        queue.acquire_as("passable", request).await;
        assert_eq!(queue.outcome_of("passable"), Some(Err(NotRunReason::QueueFull)));
    });
}

#[test]
fn verify_a_request_whose_turn_comes_too_late_is_refused_at_once() {
    run(async {
        let queue = TestQueue::new();
        queue.name_rate(Some(0.5));
        queue.acquire_as("late", queue.request(WorkClass::Normal, 1000)).await;
        assert_eq!(queue.outcome_of("late"), Some(Err(NotRunReason::QueueFull)));
    });
}

#[test]
fn verify_waiting_requests_start_as_their_turns_come() {
    run(async {
        let queue = TestQueue::new();
        queue.name_rate(Some(20.0));
        queue.acquire_as("first", queue.request(WorkClass::Normal, 60_000)).await;
        queue.acquire_as("second", queue.request(WorkClass::Normal, 60_000)).await;
        assert_eq!(queue.outcome_of("second"), None);
        while queue.outcome_of("second").is_none() {
            monoio::time::sleep(Duration::from_millis(1)).await;
        }
        assert_eq!(queue.outcome_of("first"), Some(Ok(())));
        assert_eq!(queue.outcome_of("second"), Some(Ok(())));
    });
}

#[test]
fn verify_a_limit_that_ends_starts_the_waiting_requests_at_once() {
    run(async {
        let queue = TestQueue::new();
        queue.name_rate(Some(0.2));
        queue.acquire_as("waiting", queue.request(WorkClass::Normal, 60_000)).await;
        assert_eq!(queue.outcome_of("waiting"), None);
        queue.name_rate(None);
        monoio::time::sleep(Duration::from_millis(1)).await;
        assert_eq!(queue.outcome_of("waiting"), Some(Ok(())));
    });
}

#[test]
fn verify_an_offer_that_is_not_used_gives_its_turn_back() {
    run(async {
        let queue = TestQueue::new();
        queue.name_rate(Some(5.0));
        let request = queue.request(WorkClass::Normal, 60_000);
        let offer = queue.queue.await_offer(request).await.expect("an offer");
        assert!(!queue.queue.turn_in().is_zero());
        drop(offer);
        assert!(queue.queue.turn_in().is_zero());
        let offer = queue.queue.await_offer(request).await.expect("an offer");
        let slot = offer.start(request).await.expect("a slot");
        assert!(!queue.queue.turn_in().is_zero(), "a request that starts takes one turn");
        assert!(queue.queue.turn_in() <= Duration::from_millis(200), "and not two");
        drop(slot);
    });
}

#[test]
fn verify_requests_whose_bodies_still_arrive_leave_half_of_the_slots_to_others() {
    run(async {
        let queue = TestQueue::new();
        let request = queue.request(WorkClass::Normal, 60_000);
        let upload = SlotRequest { is_upload_open: true, ..request };
        queue.acquire_as("upload-1", upload).await;
        queue.acquire_as("upload-2", upload).await;
        assert_eq!(queue.outcome_of("upload-2"), None, "one of two slots is left to others");
        queue.acquire_as("other", request).await;
        assert_eq!(queue.outcome_of("other"), Some(Ok(())), "it goes past the waiting upload");
        queue.held.borrow()[0].note_uploaded();
        drop(queue.held.borrow_mut().pop());
        monoio::time::sleep(Duration::from_millis(1)).await;
        assert_eq!(queue.outcome_of("upload-2"), Some(Ok(())), "the first body has arrived");
        assert!(queue.queue.is_full());
        queue.held.borrow_mut().clear();
        assert_eq!(queue.queue.used(), 0);
    });
}

#[test]
fn verify_an_upload_gives_its_place_in_a_full_queue_to_a_request_of_its_class() {
    run(async {
        let queue = TestQueue::new();
        let request = queue.request(WorkClass::Normal, 60_000);
        let upload = SlotRequest { is_upload_open: true, ..request };
        for name in ["slot-1", "slot-2"] {
            queue.acquire_as(name, request).await;
        }
        assert!(!queue.queue.is_wanted());
        queue.queue.configure(2, 1);
        queue.acquire_as("upload", upload).await;
        assert!(queue.queue.is_wanted());
        assert!(queue.queue.has_room(&request) && !queue.queue.has_room(&upload));
        queue.acquire_as("other", request).await;
        assert_eq!(queue.outcome_of("upload"), Some(Err(NotRunReason::QueueFull)));
        queue.release_slot().await;
        assert_eq!(queue.outcome_of("other"), Some(Ok(())));
    });
}
