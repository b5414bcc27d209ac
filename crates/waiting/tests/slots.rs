// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The queue before a backend server: who waits, who is refused at once, who is served first.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use basaltarch_base::clock::DaemonClock;
use basaltarch_core::outcome::NotRunReason;
use basaltarch_core::resources::WorkClass;
use basaltarch_decide::order::WaitingWork;
use basaltarch_telemetry::runtime;
use basaltarch_waiting::slots::{SlotGuard, SlotQueue, SlotRequest};

const USUAL: Duration = Duration::from_millis(200);

/// What became of one who asked.
struct AskEnd {
    name: &'static str,
    end: Result<(), NotRunReason>,
}

/// A queue of 16 before two slots, and what became of those who asked.
struct TestQueue {
    clock: DaemonClock,
    queue: Rc<SlotQueue>,
    ends: Rc<RefCell<Vec<AskEnd>>>,
    held: Rc<RefCell<Vec<SlotGuard>>>,
}

impl TestQueue {
    fn new() -> Self {
        let clock = DaemonClock::try_new().expect("a clock");
        let queue = Rc::new(SlotQueue::new(2, 16, clock.clone()));
        Self { clock, queue, ends: Rc::default(), held: Rc::default() }
    }

    /// Asks for a slot in a task of its own and lets it run as far as it gets.
    async fn ask(&self, name: &'static str, request: SlotRequest) {
        let queue = self.queue.clone();
        let ends = self.ends.clone();
        let held = self.held.clone();
        monoio::spawn(async move {
            let result = queue.acquire(request).await;
            let end = result.map(|guard| held.borrow_mut().push(guard));
            ends.borrow_mut().push(AskEnd { name, end });
        });
        monoio::time::sleep(Duration::from_millis(1)).await;
    }

    /// Gives the oldest slot back and lets the next in.
    async fn give_back(&self) {
        drop(self.held.borrow_mut().remove(0));
        monoio::time::sleep(Duration::from_millis(1)).await;
    }

    fn request(&self, class: WorkClass, within_ms: u64) -> SlotRequest {
        let now = self.clock.now();
        let work = WaitingWork {
            class,
            is_call: false,
            deadline: now + Duration::from_secs(60),
            objective: Some(now + Duration::from_millis(within_ms)),
            usual: Some(USUAL),
            most: Some(USUAL),
        };
        SlotRequest { work, refusable: false, passable: false, wants_proof: false }
    }

    fn end_of(&self, name: &str) -> Option<Result<(), NotRunReason>> {
        self.ends.borrow().iter().find(|each| each.name == name).map(|each| each.end)
    }
}

fn run(test: impl std::future::Future<Output = ()>) {
    runtime::run(test).expect("runtime");
}

#[test]
fn verify_the_higher_class_is_served_first_and_of_one_class_the_first_to_come() {
    run(async {
        let queue = TestQueue::new();
        for name in ["slot-1", "slot-2"] {
            queue.ask(name, queue.request(WorkClass::Normal, 60_000)).await;
        }
        let classes = [
            ("low", WorkClass::Sheddable),
            ("first", WorkClass::Normal),
            ("second", WorkClass::Normal),
            ("high", WorkClass::Critical),
        ];
        for (name, class) in classes {
            queue.ask(name, queue.request(class, 60_000)).await;
        }
        for _ in 0..4 {
            queue.give_back().await;
        }
        let order: Vec<&str> = queue.ends.borrow().iter().map(|each| each.name).collect();
        assert_eq!(order, ["slot-1", "slot-2", "high", "first", "second", "low"]);
    });
}

#[test]
fn verify_what_would_be_late_here_is_passed_on_while_another_can_be_asked() {
    run(async {
        let queue = TestQueue::new();
        for name in ["slot-1", "slot-2"] {
            queue.ask(name, queue.request(WorkClass::Normal, 60_000)).await;
        }
        let late = queue.request(WorkClass::Normal, 150);
        queue.ask("passed", SlotRequest { passable: true, ..late }).await;
        assert_eq!(queue.end_of("passed"), Some(Err(NotRunReason::QueueFull)));
        // The last upstream asked keeps it while it makes nobody else late.
        queue.ask("kept", late).await;
        assert_eq!(queue.end_of("kept"), None);
        queue.give_back().await;
        assert_eq!(queue.end_of("kept"), Some(Ok(())));
    });
}

#[test]
fn verify_who_is_late_makes_way_for_those_in_time() {
    run(async {
        let queue = TestQueue::new();
        for name in ["slot-1", "slot-2"] {
            queue.ask(name, queue.request(WorkClass::Normal, 60_000)).await;
        }
        queue.ask("late", queue.request(WorkClass::Normal, 320)).await;
        queue.ask("in time", queue.request(WorkClass::Normal, 60_000)).await;
        // Until the first of them can't be done by its objective any more.
        while queue.clock.now() < Duration::from_millis(400) {
            monoio::time::sleep(Duration::from_millis(10)).await;
        }
        queue.give_back().await;
        assert_eq!(queue.end_of("late"), Some(Err(NotRunReason::QueueFull)));
        assert_eq!(queue.end_of("in time"), Some(Ok(())));
    });
}

#[test]
fn verify_what_can_only_start_after_its_deadline_is_refused_at_once() {
    run(async {
        let queue = TestQueue::new();
        for name in ["slot-1", "slot-2"] {
            queue.ask(name, queue.request(WorkClass::Normal, 60_000)).await;
        }
        let now = queue.clock.now();
        let deadline = now + Duration::from_millis(50);
        let mut request = queue.request(WorkClass::Normal, 60_000);
        request.work.deadline = deadline;
        queue.ask("hopeless", request).await;
        assert_eq!(queue.end_of("hopeless"), Some(Err(NotRunReason::DeadlinePassed)));
    });
}

#[test]
fn verify_work_that_waited_for_half_of_its_time_is_refused_before_its_deadline() {
    run(async {
        let queue = TestQueue::new();
        for name in ["slot-1", "slot-2"] {
            queue.ask(name, queue.request(WorkClass::Normal, 60_000)).await;
        }
        let deadline = queue.clock.now() + Duration::from_secs(2);
        let mut request = queue.request(WorkClass::Normal, 60_000);
        request.work = WaitingWork { deadline, usual: None, most: None, ..request.work };
        queue.ask("waits", request).await;
        while queue.end_of("waits").is_none() {
            assert!(queue.clock.now() < deadline, "it waited until its deadline");
            monoio::time::sleep(Duration::from_millis(5)).await;
        }
        assert_eq!(queue.end_of("waits"), Some(Err(NotRunReason::DeadlinePassed)));
    });
}

#[test]
fn verify_all_who_wait_are_refused_when_the_server_leaves_and_slots_stay_exact() {
    run(async {
        let queue = TestQueue::new();
        for name in ["slot-1", "slot-2", "waits-1", "waits-2"] {
            queue.ask(name, queue.request(WorkClass::Normal, 60_000)).await;
        }
        queue.queue.refuse_all(NotRunReason::Draining);
        monoio::time::sleep(Duration::from_millis(1)).await;
        for name in ["waits-1", "waits-2"] {
            assert_eq!(queue.end_of(name), Some(Err(NotRunReason::Draining)));
        }
        assert_eq!((queue.queue.used(), queue.queue.queued()), (2, 0));
        queue.give_back().await;
        queue.give_back().await;
        assert_eq!(queue.queue.used(), 0);
    });
}

#[test]
fn verify_once_only_work_waits_until_something_ended_and_other_work_does_not() {
    run(async {
        let queue = TestQueue::new();
        queue.ask("finds out", queue.request(WorkClass::Normal, 60_000)).await;
        let once = SlotRequest { wants_proof: true, ..queue.request(WorkClass::Normal, 60_000) };
        queue.ask("passed on", SlotRequest { passable: true, ..once }).await;
        assert_eq!(queue.end_of("passed on"), Some(Err(NotRunReason::Unproven)));
        let (waiting, ends) = (queue.queue.clone(), queue.ends.clone());
        let turn = monoio::spawn(async move {
            let turn = waiting.wait_turn(once).await;
            ends.borrow_mut()
                .push(AskEnd { name: "called in", end: turn.as_ref().map(drop).map_err(|e| *e) });
            turn
        });
        monoio::time::sleep(Duration::from_millis(1)).await;
        assert_eq!(queue.end_of("called in"), None, "a slot is free, and nothing has ended here");
        queue.queue.note_end();
        queue.give_back().await;
        assert_eq!(queue.end_of("called in"), Some(Ok(())));
        let slot = turn.await.expect("its turn").start(once).await.expect("a slot");
        assert_eq!(queue.queue.used(), 1);
        drop(slot);
        assert_eq!(queue.queue.used(), 0);
    });
}

#[test]
fn verify_one_piece_is_called_in_ahead_and_gets_the_next_slot() {
    run(async {
        let queue = TestQueue::new();
        for name in ["slot-1", "slot-2"] {
            queue.ask(name, queue.request(WorkClass::Normal, 60_000)).await;
        }
        let request = queue.request(WorkClass::Normal, 60_000);
        let turn = queue.queue.wait_turn(request).await.expect("one is called in ahead");
        queue.ask("waits", request).await;
        let ends = queue.ends.clone();
        let held = queue.held.clone();
        monoio::spawn(async move {
            let end = turn.start(request).await.map(|slot| held.borrow_mut().push(slot));
            ends.borrow_mut().push(AskEnd { name: "called in", end });
        });
        monoio::time::sleep(Duration::from_millis(1)).await;
        assert_eq!(queue.end_of("called in"), None, "all slots are taken");
        queue.give_back().await;
        assert_eq!(queue.end_of("called in"), Some(Ok(())), "before who came whole");
        assert_eq!(queue.end_of("waits"), None);
    });
}
