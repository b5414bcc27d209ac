// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Nested calls: requests that this host's backend servers send through this daemon while they
//! serve other requests.
//!
//! A server that forwards the id of a request appends an id of its own, so that the id of a nested
//! call names the parent request. A request that makes a nested call does not count as hung. If a
//! nested call fails, an error of the parent request is not attributed to the parent's server.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use fnv::FnvHashMap;

/// Separator between the id of a request and the suffix of a nested call.
const CALL_SEPARATOR: char = '.';

/// `NestedCalls` is the state of the nested calls of one request.
#[derive(Debug, Default)]
pub struct NestedCalls {
    /// Whether the parent request is a retry, which makes its nested calls retries too.
    pub repeated: bool,
    /// Organisation of the parent request, which its nested calls inherit.
    pub organisation: Option<Rc<str>>,
    call_made: Cell<bool>,
    call_failed: Cell<bool>,
}

impl NestedCalls {
    /// Says whether the request made a nested call.
    pub fn has_made_call(&self) -> bool {
        self.call_made.get()
    }

    /// Says whether a nested call got no successful response.
    pub fn has_failed_call(&self) -> bool {
        self.call_failed.get()
    }

    /// Records that a nested call got no successful response.
    pub fn note_failed_call(&self) {
        self.call_failed.set(true);
    }
}

/// `CallTable` holds the requests that run on this host, by their ids.
#[derive(Debug, Default)]
pub struct CallTable {
    running: RefCell<FnvHashMap<String, Rc<NestedCalls>>>,
}

impl CallTable {
    /// Records that a request starts to run, so that its nested calls are attributed to the
    /// request.
    pub fn begin(
        &self,
        request: &str,
        repeated: bool,
        organisation: Option<&str>,
    ) -> Rc<NestedCalls> {
        let organisation = organisation.map(Rc::from);
        let calls = Rc::new(NestedCalls { repeated, organisation, ..NestedCalls::default() });
        self.running.borrow_mut().insert(request.to_owned(), calls.clone());
        calls
    }

    /// Records that a request has ended.
    pub fn end(&self, request: &str) {
        self.running.borrow_mut().remove(request);
    }

    /// Returns the parent request of the nested call whose id is `call`, if the parent runs on this
    /// host, and records that the parent made a nested call.
    pub fn parent_of(&self, call: &str) -> Option<Rc<NestedCalls>> {
        let (request, _) = call.rsplit_once(CALL_SEPARATOR)?;
        let calls = self.running.borrow().get(request).cloned()?;
        calls.call_made.set(true);
        Some(calls)
    }
}
