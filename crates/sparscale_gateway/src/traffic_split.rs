//! Splits the requests of a route among its services in proportion to their weights (smooth weighted round-robin).

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

use sparscale_catalog::Share;

/// Credit of each service, by route: the share of past requests that it has not received yet, in units of weight.
#[derive(Debug, Default)]
pub(crate) struct TrafficSplit {
    credits: Mutex<HashMap<String, HashMap<String, i64>>>,
}

impl TrafficSplit {
    /// Chooses the service for the next request; services without targets are skipped while another one has some.
    ///
    /// Each call adds to the credit of each candidate its weight and subtracts the sum of these weights from the chosen
    /// one, so that the requests of any period are split by weight.
    pub(crate) fn next_service(
        &self,
        route: &str,
        shares: &[Share],
        has_targets: impl Fn(&str) -> bool,
    ) -> Option<String> {
        if let [only] = shares {
            return Some(only.service.clone());
        }
        let weighted: Vec<&Share> = shares.iter().filter(|share| share.weight > 0).collect();
        let mut candidates: Vec<&Share> = weighted
            .iter()
            .copied()
            .filter(|share| has_targets(&share.service))
            .collect();
        if candidates.is_empty() {
            candidates = weighted;
        }
        let mut credits = self.credits.lock().unwrap_or_else(PoisonError::into_inner);
        let credits = credits.entry(route.to_owned()).or_default();
        let weight_sum: i64 = candidates.iter().map(|share| i64::from(share.weight)).sum();
        for share in &candidates {
            *credits.entry(share.service.clone()).or_default() += i64::from(share.weight);
        }
        let chosen = candidates
            .into_iter()
            .max_by_key(|share| credits.get(&share.service).copied())?;
        *credits.entry(chosen.service.clone()).or_default() -= weight_sum;
        Some(chosen.service.clone())
    }

    /// Drops the credits of routes that no longer exist.
    pub(crate) fn retain(&self, exists: impl Fn(&str) -> bool) {
        let mut credits = self.credits.lock().unwrap_or_else(PoisonError::into_inner);
        credits.retain(|route, _| exists(route));
    }
}
