//! Finds the route of a request: by host, then by the longest prefix of the path.

use std::collections::HashMap;

use crate::document::Route;

/// Names a route of one catalog.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouteKey(pub(crate) usize);

/// Names a service of one catalog.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceKey(pub(crate) usize);

/// Routes by host and prefix.
#[derive(Debug, Clone, Default)]
pub(crate) struct Table {
    hosts: HashMap<String, HashMap<String, RouteKey>>,
}

impl Table {
    pub(crate) fn new(routes: &[Route]) -> Self {
        let mut hosts: HashMap<String, HashMap<String, RouteKey>> = HashMap::new();
        for (index, route) in routes.iter().enumerate() {
            let prefixes = hosts.entry(route.host.to_ascii_lowercase()).or_default();
            // Two routes of one place: the earlier one stands, as operators read them.
            prefixes.entry(route.prefix.clone()).or_insert(RouteKey(index));
        }
        Self { hosts }
    }

    /// The route of a request; the host may carry a port.
    pub(crate) fn find(&self, host: &str, path: &str) -> Option<RouteKey> {
        let prefixes = self.hosts.get(&without_port(host).to_ascii_lowercase())?;
        let ends = path.match_indices('/').map(|(index, _)| index + 1);
        ends.rev().find_map(|end| prefixes.get(&path[..end]).copied())
    }
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
