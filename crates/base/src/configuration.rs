// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The configuration in force in this daemon; its revision increases monotonically.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use basaltarch_core::config::{ActiveConfig, ChangeRecord, FleetConfig};
use basaltarch_core::units::FleetRevision;
use basaltarch_events::fleet;

use crate::metrics;
use crate::signal::RisingSignal;

/// Number of the latest changes that are kept for watches and for peers with an older revision: the
/// changes of several hours at 7,200 changes a day.
pub const RECORDS_KEPT: usize = 1024;

/// `TouchedServices` are the services that changes of the configuration affected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TouchedServices {
    /// Every service may have changed.
    All,
    /// Only these services or their upstreams may have changed.
    Some(Vec<Rc<str>>),
}

impl Default for TouchedServices {
    fn default() -> Self {
        Self::Some(Vec::new())
    }
}

impl TouchedServices {
    fn add(&mut self, added: TouchedServices) {
        match (&mut *self, added) {
            (Self::Some(touched), Self::Some(added)) => touched.extend(added),
            _ => *self = Self::All,
        }
    }
}

/// `ConfigCell` holds the configuration in force, its layout and its latest changes.
#[derive(Debug, Default)]
pub struct ConfigCell {
    fleet: RefCell<FleetConfig>,
    active: RefCell<Rc<ActiveConfig>>,
    /// The latest changes, at most [`RECORDS_KEPT`], oldest first.
    records: RefCell<VecDeque<Rc<ChangeRecord>>>,
    /// Time at which the revision in force was applied.
    in_force_since: Cell<Duration>,
    loaded: Cell<bool>,
    /// Services that changes affected since the last call of [`Self::take_touched`].
    touched: RefCell<TouchedServices>,
    changed: RisingSignal,
}

impl ConfigCell {
    /// Returns the layout of the configuration in force, which is the form that the request path
    /// reads.
    pub fn active(&self) -> Rc<ActiveConfig> {
        self.active.borrow().clone()
    }

    /// Returns the revision in force.
    pub fn revision(&self) -> FleetRevision {
        self.active.borrow().revision
    }

    /// Returns the time at which the revision in force was applied.
    pub fn since(&self) -> Duration {
        self.in_force_since.get()
    }

    /// Calls `read` with the whole configuration.
    pub fn with_fleet<T>(&self, read: impl FnOnce(&FleetConfig) -> T) -> T {
        read(&self.fleet.borrow())
    }

    /// Returns whether a configuration was received from the store or a peer.
    pub fn is_loaded(&self) -> bool {
        self.loaded.get()
    }

    /// Marks the configuration of this daemon as loaded, because the store or a peer has no later
    /// configuration.
    pub fn mark_loaded(&self) {
        if !self.loaded.replace(true) {
            self.changed.raise();
        }
    }

    /// Returns the signal that is raised with each change of the configuration.
    pub fn changed(&self) -> &RisingSignal {
        &self.changed
    }

    /// Applies the changes that directly follow the current revision, and skips older changes.
    ///
    /// Returns the number of changes that were applied.
    pub fn apply(&self, records: &[ChangeRecord], now: Duration) -> usize {
        let mut applied_count = 0;
        for record in records {
            if record.revision <= self.revision() {
                metrics::OLD_REVISIONS.add_one();
                self.log_older(record.revision);
                continue;
            }
            let before = self.fleet.borrow().clone();
            let result = self.fleet.borrow_mut().apply(record);
            match result {
                Ok(true) => {
                    self.update_layout(&before, record);
                    self.keep_record(record.clone());
                    applied_count += 1;
                }
                Ok(false) => break,
                Err(error) => {
                    let (revision, error) = (record.revision.0, &error.to_string());
                    fleet::ChangeUnreadable { error, from: "store or peer", revision }.log();
                    break;
                }
            }
        }
        if applied_count > 0 {
            self.put_in_force(now);
        }
        applied_count
    }

    /// Replaces the layout by an updated copy, which shares all unchanged data with the former
    /// layout. Requests in flight keep the layout that they started with.
    fn update_layout(&self, before: &FleetConfig, record: &ChangeRecord) {
        let mut next = ActiveConfig::clone(&self.active.borrow());
        let services = next.update(before, &self.fleet.borrow(), record);
        *self.active.borrow_mut() = Rc::new(next);
        if let TouchedServices::Some(touched) = &mut *self.touched.borrow_mut() {
            touched.extend(services);
        }
    }

    /// Returns the services that changes affected since the last call of this function.
    pub fn take_touched(&self) -> TouchedServices {
        self.touched.replace(TouchedServices::Some(Vec::new()))
    }

    fn keep_record(&self, record: ChangeRecord) {
        let mut records = self.records.borrow_mut();
        records.push_back(Rc::new(record));
        if records.len() > RECORDS_KEPT {
            records.pop_front();
        }
    }

    /// Adopts a whole configuration `config`, whose layout is `next`, if `config` is later than the
    /// configuration in force or if none was loaded yet. Returns whether `config` was adopted.
    pub fn adopt(&self, config: FleetConfig, mut next: ActiveConfig, now: Duration) -> bool {
        if self.is_loaded() && config.revision() <= self.revision() {
            metrics::OLD_REVISIONS.add_one();
            self.log_older(config.revision());
            return false;
        }
        // The changes between the old and the new revision are not known, so watches must restart.
        self.records.borrow_mut().clear();
        keep_unchanged(&self.active.borrow(), &mut next);
        *self.active.borrow_mut() = Rc::new(next);
        *self.fleet.borrow_mut() = config;
        self.touched.replace(TouchedServices::All);
        self.put_in_force(now);
        true
    }

    /// Adopts a layout that was not built from the resources of a [`FleetConfig`].
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

    fn log_older(&self, revision: FleetRevision) {
        let in_force = self.revision().0;
        fleet::ConfigOlder { revision: revision.0, in_force, from: "store or peer" }.log();
    }

    fn put_in_force(&self, now: Duration) {
        let revision = self.revision();
        let before = metrics::REVISION.get().max(0) as u64;
        self.in_force_since.set(now);
        self.loaded.set(true);
        metrics::REVISION.set(revision.0 as i64);
        fleet::ConfigInForce { revision: revision.0, before }.log();
        self.changed.raise();
    }

    /// Returns the changes after a revision, or `None` if some of these changes are no longer kept.
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

/// Reuses the entries of services that did not change, so that the ingress keeps the state that it
/// learnt about these services.
fn keep_unchanged(old: &ActiveConfig, next: &mut ActiveConfig) {
    for (name, old_entry) in &old.services {
        if next.services.get(name).is_some_and(|entry| entry == old_entry) {
            next.services.insert(name.clone(), old_entry.clone());
        }
    }
}
