//! What one entry allows: requests in progress per workspace, and retries.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Retries that can be saved up.
const MAX_SAVED_RETRIES: f64 = 100.0;

/// Counts requests in progress per workspace.
#[derive(Debug, Clone, Default)]
pub(crate) struct InFlight {
    counts: Arc<Mutex<HashMap<String, u32>>>,
}

/// One request in progress; it stops counting when this is dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard {
    counts: Arc<Mutex<HashMap<String, u32>>>,
    workspace: String,
}

impl InFlight {
    /// A place for one more request of `workspace`, if fewer than `limit` are in progress.
    pub(crate) fn try_enter(&self, workspace: &str, limit: u32) -> Option<InFlightGuard> {
        let mut counts = lock(&self.counts);
        let count = counts.entry(workspace.to_owned()).or_default();
        if *count >= limit {
            return None;
        }
        *count += 1;
        Some(InFlightGuard {
            counts: Arc::clone(&self.counts),
            workspace: workspace.to_owned(),
        })
    }

    /// Requests in progress of all workspaces.
    pub(crate) fn total(&self) -> u32 {
        lock(&self.counts).values().sum()
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut counts = lock(&self.counts);
        if let Some(count) = counts.get_mut(&self.workspace) {
            *count -= 1;
            if *count == 0 {
                counts.remove(&self.workspace);
            }
        }
    }
}

/// Retries come out of a budget that first attempts fill, so that retries never multiply an overload. A new process has none:
/// one that ends over and over under an overload would bring some with each start.
#[derive(Debug, Default)]
pub struct RetryBudget {
    balance: Mutex<f64>,
}

impl RetryBudget {
    /// Notes a first attempt, which earns `percent` of a retry.
    pub fn record_request(&self, percent: u32) {
        let mut balance = lock(&self.balance);
        *balance = (*balance + f64::from(percent) / 100.0).min(MAX_SAVED_RETRIES);
    }

    /// Spends one retry, if there is one.
    pub fn try_spend(&self) -> bool {
        let mut balance = lock(&self.balance);
        if *balance < 1.0 {
            return false;
        }
        *balance -= 1.0;
        true
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
