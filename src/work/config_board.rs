//! The configuration in force on this host, and how fresh it is.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use crate::work::config::WorkConfig;

/// The newest configuration that this host has seen; it never goes back.
#[derive(Debug, Default)]
pub struct ConfigBoard {
    config: RefCell<Option<Rc<WorkConfig>>>,
    confirmed_ms: Cell<u64>,
}

impl ConfigBoard {
    /// Returns the configuration; none before the first.
    pub fn current(&self) -> Option<Rc<WorkConfig>> {
        self.config.borrow().clone()
    }

    /// Puts a configuration in force unless it is older; returns whether it is new.
    pub fn offer(&self, config: WorkConfig) -> bool {
        let mut current = self.config.borrow_mut();
        let newer = current
            .as_ref()
            .is_none_or(|old| old.version < config.version);
        if newer {
            log::info!(
                version = config.version, routes = config.routes.len(), teams = config.teams.len();
                "config: a version is in force."
            );
            metrics::gauge!("hemlockramp_config_version").set(config.version as f64);
            *current = Some(Rc::new(config));
        }
        newer
    }

    /// Notes that the store had nothing newer at a time, steady ms.
    pub fn confirm(&self, asked_ms: u64) {
        self.confirmed_ms.set(self.confirmed_ms.get().max(asked_ms));
    }

    /// Returns the time since the store last had nothing newer, in ms.
    pub fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.confirmed_ms.get())
    }
}
