//! Finds the route of a request: by host, then by the longest prefix of the path.

use std::collections::HashMap;

use crate::document::Route;

/// Index of a route in its catalog.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouteKey(pub(crate) usize);

/// Index of a service in its catalog.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceKey(pub(crate) usize);

/// An index of routes by host and path prefix.
#[derive(Debug, Clone, Default)]
pub(crate) struct RouteTable {
    hosts: HashMap<String, HashMap<String, RouteKey>>,
}

impl RouteTable {
    pub(crate) fn new(routes: &[Route]) -> Self {
        let mut hosts: HashMap<String, HashMap<String, RouteKey>> = HashMap::new();
        for (index, route) in routes.iter().enumerate() {
            let prefixes = hosts.entry(route.host.to_ascii_lowercase()).or_default();
            // Of two routes with the same host and prefix the first one applies, in the order in which operators read
            // them.
            prefixes.entry(route.prefix.clone()).or_insert(RouteKey(index));
        }
        Self { hosts }
    }

    /// Finds the route of a request; `host` may include a port.
    pub(crate) fn find(&self, host: &str, path: &str) -> Option<RouteKey> {
        let prefixes = self.hosts.get(&without_port(host).to_ascii_lowercase())?;
        let prefix_ends = path.match_indices('/').map(|(index, _)| index + 1);
        prefix_ends.rev().find_map(|end| prefixes.get(&path[..end]).copied())
    }
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
