//! The configuration in force on this host, and its age.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use crate::work::model::config::WorkConfig;

/// The module's former path, kept as the log target because operators filter by it.
const LOG_TARGET: &str = "hemlockramp::work::config_board";

/// The newest configuration that this host has seen; never replaced by an older version.
#[derive(Debug, Default)]
pub struct ActiveConfig {
    config: RefCell<Option<Rc<WorkConfig>>>,
    confirmed_ms: Cell<u64>,
    /// Newest version that another host has been seen to act on.
    known_version: Cell<u64>,
    /// When such a version became known that this host lacks, steady ms; none if it lacks none.
    outdated_since_ms: Cell<Option<u64>>,
    /// When a call was last decided, steady ms.
    decided_ms: Cell<u64>,
    /// When a call was last decided by an older version than the current one, steady ms.
    decided_by_older_ms: Cell<u64>,
}

impl ActiveConfig {
    /// Returns the configuration, or none before the first one has been read.
    pub fn current(&self) -> Option<Rc<WorkConfig>> {
        self.config.borrow().clone()
    }

    /// Installs a configuration if its version is newer. Returns whether it was installed.
    pub fn install_if_newer(&self, config: WorkConfig) -> bool {
        let mut current = self.config.borrow_mut();
        let newer = current
            .as_ref()
            .is_none_or(|old| old.version < config.version);
        if newer {
            log::info!(
                target: LOG_TARGET, version = config.version, routes = config.routes.len(),
                teams = config.teams.len();
                "config: a version is in force."
            );
            metrics::gauge!("hemlockramp_config_version").set(config.version as f64);
            if config.version >= self.known_version.get() {
                self.outdated_since_ms.set(None);
            }
            *current = Some(Rc::new(config));
            self.decided_by_older_ms.set(self.decided_ms.get());
        }
        newer
    }

    /// Learns that another host acts on a version. Returns whether this host has just become
    /// outdated by it.
    pub fn learn_version(&self, version: u64, now_ms: u64) -> bool {
        let current = self.config.borrow().as_ref().map_or(0, |own| own.version);
        if version <= current || version <= self.known_version.get() {
            return false;
        }
        log::info!(
            target: LOG_TARGET, current, known = version, age_ms = self.age_ms(now_ms);
            "config: another host acts on a newer version."
        );
        self.known_version.set(version);
        self.outdated_since_ms.set(Some(now_ms));
        true
    }

    /// Returns whether another host acts on a newer version that this host has not read yet.
    pub fn is_outdated(&self) -> bool {
        self.outdated_since_ms.get().is_some()
    }

    /// Records that the store had nothing newer when it was asked at `asked_ms`, steady ms.
    pub fn mark_confirmed(&self, asked_ms: u64) {
        self.confirmed_ms.set(self.confirmed_ms.get().max(asked_ms));
        if self
            .outdated_since_ms
            .get()
            .is_some_and(|since| since < asked_ms)
        {
            self.outdated_since_ms.set(None);
        }
    }

    /// Returns the time since the configuration was last confirmed as the newest, in ms.
    pub fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.confirmed_ms.get())
    }

    /// Returns whether a call may be decided without a check: the configuration was confirmed
    /// within `age_max_ms` and no other host acts on a newer one.
    pub fn is_current(&self, now_ms: u64, age_max_ms: u64) -> bool {
        !self.is_outdated() && self.age_ms(now_ms) <= age_max_ms
    }

    /// Records that a call was decided by the current version at `now_ms`, steady ms.
    pub fn record_decision(&self, now_ms: u64) {
        self.decided_ms.set(now_ms);
    }

    /// Returns whether a call was decided by an older version later than `since_ms`, steady ms.
    pub fn was_older_in_use_after(&self, since_ms: u64) -> bool {
        self.decided_by_older_ms.get() > since_ms
    }
}
