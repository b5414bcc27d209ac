// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The configuration in force in this daemon; its revision only ever rises.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use basaltarch_core::config::{ActiveConfig, ChangeRecord, FleetConfig};
use basaltarch_core::units::FleetRevision;
use basaltarch_events::fleet;

use crate::metrics;
use crate::signal::RisingSignal;

/// Changes kept for watches and for peers that are behind: hours at 7,200 changes a day.
pub const RECORDS_KEPT: usize = 1024;

/// `TouchedServices` are the services that changes touched.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TouchedServices {
    /// Any may have changed.
    All,
    /// These, with their upstreams.
    Some(Vec<Rc<str>>),
}

impl Default for TouchedServices {
    fn default() -> Self {
        Self::Some(Vec::new())
    }
}

impl TouchedServices {
    fn add(&mut self, more: TouchedServices) {
        match (&mut *self, more) {
            (Self::Some(touched), Self::Some(more)) => touched.extend(more),
            _ => *self = Self::All,
        }
    }
}

/// `ConfigCell` holds the configuration in force.
#[derive(Debug, Default)]
pub struct ConfigCell {
    fleet: RefCell<FleetConfig>,
    active: RefCell<Rc<ActiveConfig>>,
    records: RefCell<VecDeque<Rc<ChangeRecord>>>,
    since: Cell<Duration>,
    loaded: Cell<bool>,
    touched: RefCell<TouchedServices>,
    changed: RisingSignal,
}

impl ConfigCell {
    /// Returns the configuration laid out for requests.
    pub fn active(&self) -> Rc<ActiveConfig> {
        self.active.borrow().clone()
    }

    /// Returns the revision in force.
    pub fn revision(&self) -> FleetRevision {
        self.active.borrow().revision
    }

    /// Returns when the revision in force came.
    pub fn since(&self) -> Duration {
        self.since.get()
    }

    /// Calls `read` with the whole configuration.
    pub fn with_fleet<T>(&self, read: impl FnOnce(&FleetConfig) -> T) -> T {
        read(&self.fleet.borrow())
    }

    /// Says whether a configuration was learnt from the store or a peer.
    pub fn is_loaded(&self) -> bool {
        self.loaded.get()
    }

    /// Notes that the store or a peer has nothing later than what is here.
    pub fn mark_loaded(&self) {
        if !self.loaded.replace(true) {
            self.changed.raise();
        }
    }

    /// Returns the signal that rises with each change.
    pub fn changed(&self) -> &RisingSignal {
        &self.changed
    }

    /// Puts changes in force that follow what is here; others are passed over.
    ///
    /// Returns how many were put in force.
    pub fn apply(&self, records: &[ChangeRecord], now: Duration) -> usize {
        let mut applied = 0;
        for record in records {
            if record.revision <= self.revision() {
                metrics::OLD_REVISIONS.add_one();
                self.tell_older(record.revision);
                continue;
            }
            let before = self.fleet.borrow().clone();
            let result = self.fleet.borrow_mut().apply(record);
            match result {
                Ok(true) => {
                    self.update_layout(&before, record);
                    self.keep(record.clone());
                    applied += 1;
                }
                Ok(false) => break,
                Err(error) => {
                    let (revision, error) = (record.revision.0, &error.to_string());
                    fleet::ChangeUnreadable { error, from: "store or peer", revision }.log();
                    break;
                }
            }
        }
        if applied > 0 {
            self.put_in_force(now);
        }
        applied
    }

    /// Changes a copy of the layout, which shares all that stays the same; requests under way keep
    /// the one they have.
    fn update_layout(&self, before: &FleetConfig, record: &ChangeRecord) {
        let mut next = ActiveConfig::clone(&self.active.borrow());
        let services = next.update(before, &self.fleet.borrow(), record);
        *self.active.borrow_mut() = Rc::new(next);
        if let TouchedServices::Some(touched) = &mut *self.touched.borrow_mut() {
            touched.extend(services);
        }
    }

    /// Returns the services touched since the last call.
    pub fn take_touched(&self) -> TouchedServices {
        self.touched.replace(TouchedServices::Some(Vec::new()))
    }

    fn keep(&self, record: ChangeRecord) {
        let mut records = self.records.borrow_mut();
        records.push_back(Rc::new(record));
        if records.len() > RECORDS_KEPT {
            records.pop_front();
        }
    }

    /// Takes a whole configuration over if it is later than what is here; `next` is its layout.
    pub fn adopt(&self, config: FleetConfig, mut next: ActiveConfig, now: Duration) -> bool {
        if self.is_loaded() && config.revision() <= self.revision() {
            metrics::OLD_REVISIONS.add_one();
            self.tell_older(config.revision());
            return false;
        }
        // Between the two there are changes that are not here; watches must start again.
        self.records.borrow_mut().clear();
        keep_unchanged(&self.active.borrow(), &mut next);
        *self.active.borrow_mut() = Rc::new(next);
        *self.fleet.borrow_mut() = config;
        self.touched.replace(TouchedServices::All);
        self.put_in_force(now);
        true
    }

    /// Takes over a layout that was not made from resources.
    pub fn replace_layout(&self, mut next: ActiveConfig, touched: TouchedServices, now: Duration) {
        let before = self.revision();
        keep_unchanged(&self.active.borrow(), &mut next);
        *self.active.borrow_mut() = Rc::new(next);
        self.touched.borrow_mut().add(touched);
        if self.is_loaded() && self.revision() == before {
            self.changed.raise();
        } else {
            self.put_in_force(now);
        }
    }

    fn tell_older(&self, revision: FleetRevision) {
        let in_force = self.revision().0;
        fleet::ConfigOlder { revision: revision.0, in_force, from: "store or peer" }.log();
    }

    fn put_in_force(&self, now: Duration) {
        let revision = self.revision();
        let before = metrics::REVISION.get().max(0) as u64;
        self.since.set(now);
        self.loaded.set(true);
        metrics::REVISION.set(revision.0 as i64);
        fleet::ConfigInForce { revision: revision.0, before }.log();
        self.changed.raise();
    }

    /// Returns the kept changes after a revision, or nothing if some are no longer kept.
    pub fn records_after(&self, revision: FleetRevision) -> Option<Vec<Rc<ChangeRecord>>> {
        if revision >= self.revision() {
            return Some(Vec::new());
        }
        let records = self.records.borrow();
        let first = records.front()?.revision;
        if revision.next() < first {
            return None;
        }
        let later = records.iter().filter(|record| record.revision > revision);
        Some(later.cloned().collect())
    }
}

/// Keeps the entries of services that did not change, so that what was learnt of them stays.
fn keep_unchanged(old: &ActiveConfig, next: &mut ActiveConfig) {
    for (name, known) in &old.services {
        if next.services.get(name).is_some_and(|entry| entry == known) {
            next.services.insert(name.clone(), known.clone());
        }
    }
}
