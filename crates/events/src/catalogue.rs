// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The macro that declares events, and the list of all events.

use crate::{fleet, process, requests, servers};

/// `FieldEntry` describes one field of an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FieldEntry {
    /// Name of the field in the line.
    pub name: &'static str,
    /// Meaning of the value of the field.
    pub help: &'static str,
}

/// `EventEntry` describes one event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventEntry {
    /// Name of the event, which is the message of the line.
    pub name: &'static str,
    /// Level of the line.
    pub level: &'static str,
    /// When the event is logged.
    pub help: &'static str,
    /// Fields of the event.
    pub fields: &'static [FieldEntry],
}

/// Lists every event.
pub fn entries() -> impl Iterator<Item = &'static EventEntry> {
    [requests::EVENTS, servers::EVENTS, fleet::EVENTS, process::EVENTS].into_iter().flatten()
}

/// Declares events: the help text, name, level, type and fields of each event. Each type gets a
/// method `log`, and the module gets a constant `EVENTS` that lists the events of the module.
macro_rules! log_events {
    ($(
        $(#[doc = $help:literal])+
        $name:literal $level:ident $event:ident $(<$life:lifetime>)? {
            $( $(#[doc = $field_help:literal])+ $field:ident: $kind:ty, )*
        }
    )*) => {
        $(
            $(#[doc = $help])+
            #[derive(Debug, Clone)]
            pub struct $event $(<$life>)? {
                $( $(#[doc = $field_help])+ pub $field: $kind, )*
            }

            impl $(<$life>)? $event $(<$life>)? {
                /// Logs the event.
                pub fn log(&self) {
                    tracing::event!(tracing::Level::$level, $($field = self.$field,)* $name);
                }
            }
        )*

        /// The events of this module.
        pub const EVENTS: &[$crate::catalogue::EventEntry] = &[$(
            $crate::catalogue::EventEntry {
                name: $name,
                level: stringify!($level),
                help: concat!($($help),+),
                fields: &[$(
                    $crate::catalogue::FieldEntry {
                        name: stringify!($field),
                        help: concat!($($field_help),+),
                    },
                )*],
            },
        )*];
    };
}

pub(crate) use log_events;
