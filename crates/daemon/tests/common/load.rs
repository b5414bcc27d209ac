// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Callers that send requests to daemons one after the other until a test stops them.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};

use basaltarch_platform::headers;

use super::client::{self, Reply};
use super::registered::HOST;

/// A request of a caller, and its reply if one arrived.
pub struct SentRequest {
    pub id: String,
    pub reply: Option<Reply>,
}

/// Callers that send repeatable requests.
pub struct CallerLoad {
    callers: Vec<JoinHandle<()>>,
    is_over: Arc<AtomicBool>,
    sent_count: Arc<AtomicUsize>,
    sent: Arc<Mutex<Vec<SentRequest>>>,
}

impl CallerLoad {
    /// Starts callers that each send requests to one of the `daemons`, `callers` to each of them.
    pub fn start(daemons: &[SocketAddr], callers: usize, path: &'static str) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let sent_count = Arc::new(AtomicUsize::new(0));
        let sent = Arc::new(Mutex::new(Vec::new()));
        let addresses = daemons.iter().flat_map(|daemon| std::iter::repeat_n(*daemon, callers));
        let callers = addresses.map(|daemon| {
            let (is_over, sent_count, sent) = (is_over.clone(), sent_count.clone(), sent.clone());
            thread::spawn(move || {
                while !is_over.load(Ordering::SeqCst) {
                    let id = format!("load-{}", sent_count.fetch_add(1, Ordering::SeqCst));
                    let fields = [
                        ("Host", HOST),
                        (headers::names::REQUEST_ID, id.as_str()),
                        (headers::names::DEADLINE, "3000"),
                    ];
                    let reply = client::try_call(daemon, "GET", path, &fields, "");
                    sent.lock().expect("lock").push(SentRequest { id, reply });
                }
            })
        });
        Self { callers: callers.collect(), is_over, sent_count, sent }
    }

    /// Returns the number of requests that were sent so far.
    pub fn count(&self) -> usize {
        self.sent_count.load(Ordering::SeqCst)
    }

    /// Stops the callers and returns their requests.
    pub fn stop(self) -> Vec<SentRequest> {
        self.is_over.store(true, Ordering::SeqCst);
        self.callers.into_iter().for_each(|caller| caller.join().expect("a caller"));
        std::mem::take(&mut *self.sent.lock().expect("lock"))
    }
}
