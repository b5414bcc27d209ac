// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Calls that the work of this host's backend servers makes through this daemon.
//!
//! A server that passes the id of a request on puts its own behind it, so that a call names the work
//! it belongs to. Work that makes a call does not hang; and where the call is lost, the error that
//! follows is not the server's own.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use fnv::FnvHashMap;

/// Sign between the id of a request and what a call of it adds.
const CALL_SIGN: char = '.';

/// `WorkCalls` is what is known of the calls of one piece of work.
#[derive(Debug, Default)]
pub struct WorkCalls {
    /// Whether the work repeats other work, so that its calls do as well.
    pub repeated: bool,
    /// Organisation that the work is for, and so are its calls.
    pub organisation: Option<Rc<str>>,
    made: Cell<bool>,
    lost: Cell<bool>,
}

impl WorkCalls {
    /// Says whether the work made a call.
    pub fn has_called(&self) -> bool {
        self.made.get()
    }

    /// Says whether a call of the work got no good answer.
    pub fn has_lost(&self) -> bool {
        self.lost.get()
    }

    /// Takes in that a call got no good answer.
    pub fn note_lost(&self) {
        self.lost.set(true);
    }
}

/// `CallTable` holds the work that runs on this host, by the id of its request.
#[derive(Debug, Default)]
pub struct CallTable {
    works: RefCell<FnvHashMap<String, Rc<WorkCalls>>>,
}

impl CallTable {
    /// Takes in that work for a request runs.
    pub fn begin(
        &self,
        request: &str,
        repeated: bool,
        organisation: Option<&str>,
    ) -> Rc<WorkCalls> {
        let organisation = organisation.map(Rc::from);
        let calls = Rc::new(WorkCalls { repeated, organisation, ..WorkCalls::default() });
        self.works.borrow_mut().insert(request.to_owned(), calls.clone());
        calls
    }

    /// Takes in that the work is over.
    pub fn end(&self, request: &str) {
        self.works.borrow_mut().remove(request);
    }

    /// Returns the work that made the call with this id, if it runs here, and notes the call.
    pub fn caller_of(&self, call: &str) -> Option<Rc<WorkCalls>> {
        let (request, _) = call.rsplit_once(CALL_SIGN)?;
        let calls = self.works.borrow().get(request).cloned()?;
        calls.made.set(true);
        Some(calls)
    }
}
