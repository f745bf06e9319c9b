//! Determines which targets are cold whenever the directory changes, and at intervals while it does not.

use std::sync::{Arc, Weak};
use std::time::Duration;

use sparscale_catalog::{Catalog, Directory};
use sparscale_clock::{Timestamp, unix_ms};
use sparscale_policy::cold::{Limit, Register};

/// Interval at which the cold targets of an unchanged directory are determined again.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// The targets that are cold, and the directory that they were determined from.
#[derive(Debug, Default)]
pub(crate) struct Targets {
    register: Register,
    directory: Weak<Directory>,
    /// Version of the catalog that stated how targets start.
    catalog_version: u64,
    checked_at: Option<Timestamp>,
}

impl Targets {
    /// The state of a process that has not determined any yet.
    pub(crate) fn new(is_first_start: bool) -> Self {
        Self {
            register: Register::new(is_first_start),
            ..Self::default()
        }
    }

    /// Returns the limits of the cold targets of `directory`; none if they were determined from it and `catalog`
    /// shortly before, or if no service of `catalog` has cold targets.
    pub(crate) fn check(
        &mut self,
        directory: &Arc<Directory>,
        catalog: &Catalog,
        now: Timestamp,
    ) -> Option<Vec<Limit>> {
        let mut services = catalog.document().services.iter();
        if services.all(|service| service.cold_start.is_none()) {
            return None;
        }
        let is_recent = self
            .checked_at
            .is_some_and(|checked_at| now.since(checked_at) < CHECK_INTERVAL);
        let is_same_directory = std::ptr::eq(self.directory.as_ptr(), Arc::as_ptr(directory));
        if is_recent && is_same_directory && self.catalog_version == catalog.version() {
            return None;
        }
        self.checked_at = Some(now);
        self.directory = Arc::downgrade(directory);
        self.catalog_version = catalog.version();
        let cold_start = |service: &str| {
            let key = catalog.find_service(service)?;
            catalog.service(key).cold_start.as_ref()
        };
        let limits = self.register.update(directory, cold_start, now, unix_ms());
        if !limits.is_empty() {
            log::debug!(targets = limits.len(); "targets are cold and get requests at a limited rate");
        }
        Some(limits)
    }
}
