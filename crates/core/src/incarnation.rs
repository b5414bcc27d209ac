// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Incarnations of backend servers. A backend server that restarts keeps nothing of its previous
//! incarnation, so what a daemon recorded about that incarnation must not apply to the next one.

use std::fmt;

/// Separator between the name of a backend server and its start time. A query string can't contain
/// this character, so no backend server can register under a name with the separator in it.
const START_SEPARATOR: char = '#';
/// Radix of the start time after the separator. A high radix keeps the names of upstreams short,
/// which daemons send to each other with every request.
const START_RADIX: u32 = 36;

/// `ServerIncarnation` is one run of a backend server, from its start to its end. The text form of
/// an incarnation is the name of an upstream, so that all state under this name belongs to one
/// incarnation alone.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerIncarnation {
    /// Name of the backend server, shared by all its incarnations.
    pub server: String,
    /// Unix time of the start in milliseconds, if the backend server reports it.
    pub born: Option<u64>,
}

impl ServerIncarnation {
    /// Parses the name of an upstream.
    pub fn of_upstream(upstream: &str) -> Self {
        let start = upstream.split_once(START_SEPARATOR);
        let start = start.and_then(|(server, born)| Some((server, parse_start(born)?)));
        match start {
            Some((server, born)) => Self { server: server.to_owned(), born: Some(born) },
            None => Self { server: upstream.to_owned(), born: None },
        }
    }

    /// Returns the name of the upstream that stands for this incarnation.
    pub fn upstream(&self) -> String {
        self.to_string()
    }
}

impl fmt::Display for ServerIncarnation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.server)?;
        match self.born {
            Some(born) => write!(formatter, "{START_SEPARATOR}{}", format_start(born)),
            None => Ok(()),
        }
    }
}

/// Returns the name of the backend server that the name of an upstream contains.
pub fn server_of(upstream: &str) -> &str {
    upstream.split_once(START_SEPARATOR).map_or(upstream, |(server, _)| server)
}

fn parse_start(text: &str) -> Option<u64> {
    u64::from_str_radix(text, START_RADIX).ok()
}

fn format_start(mut born: u64) -> String {
    let base = u64::from(START_RADIX);
    let mut digits = Vec::new();
    loop {
        let digit = (born % base) as u32;
        digits.push(char::from_digit(digit, START_RADIX).unwrap_or('0'));
        born /= base;
        if born == 0 {
            return digits.iter().rev().collect();
        }
    }
}
