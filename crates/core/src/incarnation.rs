// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! One start of a backend server, which holds nothing of the start before.

use std::fmt;

/// Sign between the name of a backend server and its start. It can't stand in a query, so that no
/// backend server that registers has it in its name.
const START_SIGN: char = '#';
/// Base of the number behind the sign: short, since the name goes with every request between daemons.
const START_BASE: u32 = 36;

/// `ServerIncarnation` is one start of a backend server. Written out, it is the name of an upstream, so
/// that whatever is kept by that name is kept for this start alone.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerIncarnation {
    /// Name of the backend server, which it may keep over starts.
    pub server: String,
    /// Unix time of the start in milliseconds, if the backend server tells it.
    pub born: Option<u64>,
}

impl ServerIncarnation {
    /// Reads the name of an upstream.
    pub fn of_upstream(upstream: &str) -> Self {
        let start = upstream.split_once(START_SIGN);
        let start = start.and_then(|(server, born)| Some((server, parse_start(born)?)));
        match start {
            Some((server, born)) => Self { server: server.to_owned(), born: Some(born) },
            None => Self { server: upstream.to_owned(), born: None },
        }
    }

    /// Returns the name of the upstream.
    pub fn upstream(&self) -> String {
        self.to_string()
    }
}

impl fmt::Display for ServerIncarnation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.server)?;
        match self.born {
            Some(born) => write!(formatter, "{START_SIGN}{}", write_start(born)),
            None => Ok(()),
        }
    }
}

/// Returns the name of the backend server behind the name of an upstream.
pub fn server_of(upstream: &str) -> &str {
    upstream.split_once(START_SIGN).map_or(upstream, |(server, _)| server)
}

fn parse_start(text: &str) -> Option<u64> {
    u64::from_str_radix(text, START_BASE).ok()
}

fn write_start(mut born: u64) -> String {
    let base = u64::from(START_BASE);
    let mut digits = Vec::new();
    loop {
        let digit = (born % base) as u32;
        digits.push(char::from_digit(digit, START_BASE).unwrap_or('0'));
        born /= base;
        if born == 0 {
            return digits.iter().rev().collect();
        }
    }
}
