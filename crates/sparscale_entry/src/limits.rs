//! Limits of one entry: requests in flight per workspace, and retries.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Most retries that the budget can accumulate.
const MAX_SAVED_RETRIES: f64 = 100.0;

/// Counts requests in flight per workspace.
#[derive(Debug, Clone, Default)]
pub(crate) struct InFlight {
    counts: Arc<Mutex<HashMap<String, u32>>>,
}

/// Counts one request as in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard {
    counts: Arc<Mutex<HashMap<String, u32>>>,
    workspace: String,
}

impl InFlight {
    /// Admits one more request of `workspace` if fewer than `limit` are in flight.
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

    /// Requests in flight of all workspaces.
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

/// Budget of retries that is filled by first attempts, so that retries cannot multiply an overload.
///
/// A new process starts with an empty budget: a process that an overload terminates again and again would otherwise add
/// retries with each restart.
#[derive(Debug, Default)]
pub struct RetryBudget {
    balance: Mutex<f64>,
}

impl RetryBudget {
    /// Records a first attempt, which adds `percent` of a retry to the budget.
    pub fn record_request(&self, percent: u32) {
        let mut balance = lock(&self.balance);
        *balance = (*balance + f64::from(percent) / 100.0).min(MAX_SAVED_RETRIES);
    }

    /// Takes one retry from the budget; returns false if there is none.
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
