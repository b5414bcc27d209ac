// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Which requests get the slots of an overloaded service. Guards against slots that go to requests
//! whose answers come too late, against starvation, and against a deadlock of nested calls.

use std::time::Duration;

use basaltarch_core::resources::WorkClass;
use basaltarch_decide::order::{self, QueuedRequest};

const USUAL: Duration = Duration::from_millis(500);
const OBJECTIVE: Duration = Duration::from_secs(2);
const DEADLINE: Duration = Duration::from_secs(8);

fn queued_request(class: WorkClass, arrived_at: Duration) -> QueuedRequest {
    QueuedRequest {
        class,
        is_call: false,
        deadline: arrived_at + DEADLINE,
        objective: Some(arrived_at + OBJECTIVE),
        usual: Some(USUAL),
        needed_time: Some(USUAL),
    }
}

#[test]
fn verify_a_request_that_meets_its_objective_goes_before_an_urgent_late_one() {
    let now = Duration::from_secs(10);
    let late = queued_request(WorkClass::Critical, Duration::from_secs(7));
    let in_time = queued_request(WorkClass::Sheddable, Duration::from_secs(9));
    assert_eq!(order::first([late, in_time].into_iter(), 0, now), Some(1));
    assert_eq!(
        order::first([late].into_iter(), 0, now),
        Some(0),
        "a late request is served when no other waits"
    );
}

#[test]
fn verify_late_nested_calls_go_before_new_requests() {
    let now = Duration::from_secs(10);
    let new_request = queued_request(WorkClass::Critical, Duration::from_secs(10));
    let call = QueuedRequest {
        is_call: true,
        ..queued_request(WorkClass::Sheddable, Duration::from_secs(7))
    };
    assert_eq!(order::first([new_request, call].into_iter(), 0, now), Some(1));
}

/// Gives `slots` slots to one urgent and one less urgent request, which always wait. Returns the
/// share of the slots that the less urgent class got.
fn share_of_sheddable(slots: u32) -> f64 {
    let now = Duration::from_secs(1);
    // Waiting requests are in the order of arrival.
    let waiting =
        [queued_request(WorkClass::Sheddable, now), queued_request(WorkClass::Critical, now)];
    let sheddable =
        (0..slots).filter(|slot| order::first(waiting.into_iter(), *slot, now) == Some(0));
    sheddable.count() as f64 / f64::from(slots)
}

#[test]
fn verify_no_class_starves_while_urgent_requests_fill_all_slots() {
    let share = share_of_sheddable(1000);
    assert!((0.15..=0.25).contains(&share), "{share} of the slots");
}

/// `SimulatedRequest` is a request in the simulation of a service that calls itself.
#[derive(Clone, Copy)]
struct SimulatedRequest {
    queued_request: QueuedRequest,
    /// Slot of the parent request, for a nested call.
    parent: Option<usize>,
}

/// Simulates for a minute a service whose requests each make a nested call to the same service. A
/// request keeps its slot until its nested call ends, so that no request completes any more once
/// all slots are held by requests that wait for their nested calls. If `reserves_slots` is true,
/// slots are reserved for nested calls. Returns the number of requests that completed.
fn completed_with_calls(reserves_slots: bool) -> usize {
    const SLOTS: usize = 8;
    const STEP: Duration = Duration::from_millis(50);
    let mut slots: [Option<(SimulatedRequest, u32)>; SLOTS] = [None; SLOTS];
    let mut waiting: Vec<SimulatedRequest> = Vec::new();
    let mut completed = 0;
    for step in 0..1200 {
        let now = STEP * step;
        // More requests arrive than there are slots for.
        for _ in 0..2 {
            waiting.push(SimulatedRequest {
                queued_request: queued_request(WorkClass::Normal, now),
                parent: None,
            });
        }
        for slot in 0..SLOTS {
            let Some((request, steps_left)) = slots[slot] else { continue };
            match (request.parent, steps_left) {
                // A parent makes its nested call at the end of its own processing.
                (None, 1) => {
                    let call =
                        QueuedRequest { is_call: true, ..queued_request(WorkClass::Normal, now) };
                    waiting.push(SimulatedRequest { queued_request: call, parent: Some(slot) });
                    slots[slot] = Some((request, 0));
                }
                (None, 0) => {}
                (Some(parent), 1) => {
                    slots[slot] = None;
                    slots[parent] = None;
                    completed += 1;
                }
                _ => slots[slot] = Some((request, steps_left - 1)),
            }
        }
        waiting.retain(|request| {
            request.parent.is_some() || request.queued_request.meets_deadline(now)
        });
        for slot in 0..SLOTS {
            let used = slots.iter().flatten().count() as u32;
            let may_start = |request: &&SimulatedRequest| {
                used < order::open_slots(8, request.queued_request.is_call, reserves_slots)
            };
            let candidates = waiting.iter().filter(may_start).map(|request| request.queued_request);
            let first = order::first(candidates, step, now);
            let index = first.and_then(|first| {
                let eligible = waiting.iter().enumerate().filter(|(_, request)| may_start(request));
                eligible.map(|(index, _)| index).nth(first)
            });
            if let Some(index) = index.filter(|_| slots[slot].is_none()) {
                slots[slot] = Some((waiting.remove(index), 6));
            }
        }
    }
    completed
}

#[test]
fn verify_a_service_that_calls_itself_does_not_deadlock() {
    // A request and its nested call take 0.3 s each. There are 8 slots for 60 s, and half of their
    // time goes to nested calls.
    let max_completed = 8.0 * 60.0 / 0.6;
    let completed = completed_with_calls(true) as f64;
    assert!(completed > max_completed / 3.0, "{completed} of {max_completed}");
    assert!(
        (completed_with_calls(false) as f64) < 0.1 * max_completed,
        "without reserved slots the simulation deadlocks"
    );
}
