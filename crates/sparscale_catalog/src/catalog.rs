//! The checked catalog.

use std::collections::HashMap;
use std::time::Duration;

use snafu::{OptionExt as _, ensure};
use sparscale_bundle::KeyHash;

use crate::document::{Document, Kind, Limits, Route, Service, Workspace};
use crate::error::{Error, NoServiceSnafu, NoShareSnafu, PrefixSnafu, SharedKeySnafu, TwiceSnafu};
use crate::routes::{RouteKey, ServiceKey, Table};

/// Whether a request may use a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Access<'a> {
    /// For this workspace.
    Workspace(&'a Workspace),
    /// Without a workspace: the route is open, or there are no workspaces.
    Open,
    /// The route needs a key and the request's is not known.
    Denied,
}

/// A checked catalog, indexed for lookups.
#[derive(Debug, Clone)]
pub struct Catalog {
    document: Document,
    table: Table,
    services: HashMap<String, ServiceKey>,
    /// Services of each route, in the order of its shares.
    shares: Vec<Vec<ServiceKey>>,
    keys: HashMap<KeyHash, usize>,
}

impl Catalog {
    /// Version of the catalog.
    pub fn version(&self) -> u64 {
        self.document.version
    }

    /// Bounds of what callers may send.
    pub fn limits(&self) -> &Limits {
        &self.document.limits
    }

    /// The plain data.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// The route of a request; `host` may carry a port.
    pub fn route_of(&self, host: &str, path: &str) -> Option<RouteKey> {
        self.table.find(host, path)
    }

    /// The route under `key`.
    pub fn route(&self, key: RouteKey) -> &Route {
        &self.document.routes[key.0]
    }

    /// The service under `key`.
    pub fn service(&self, key: ServiceKey) -> &Service {
        &self.document.services[key.0]
    }

    /// The service called `name`.
    pub fn find_service(&self, name: &str) -> Option<ServiceKey> {
        self.services.get(name).copied()
    }

    /// Services that take the requests of a route, in the order of its shares.
    pub fn services_of(&self, key: RouteKey) -> &[ServiceKey] {
        &self.shares[key.0]
    }

    /// Whether `bearer`, the key that a caller sent, opens the route.
    pub fn access(&self, key: RouteKey, bearer: Option<&str>) -> Access<'_> {
        if self.document.workspaces.is_empty() || self.route(key).public {
            return Access::Open;
        }
        let holder = bearer.and_then(|bearer| self.keys.get(&KeyHash::of(bearer)));
        holder.map_or(Access::Denied, |index| {
            Access::Workspace(&self.document.workspaces[*index])
        })
    }

    /// Shortest of the longest pauses between events that the routes to a service allow.
    pub fn pause_of(&self, service: &str) -> Option<Duration> {
        let to_service = |route: &&Route| route.shares.iter().any(|share| share.service == service);
        let routes = self.document.routes.iter().filter(to_service);
        let pauses = routes.filter_map(|route| match route.kind {
            Kind::Stream { longest_pause, .. } => longest_pause,
            _ => None,
        });
        pauses.min()
    }

    /// Whether requests need keys at all.
    pub fn has_workspaces(&self) -> bool {
        !self.document.workspaces.is_empty()
    }
}

impl PartialEq for Catalog {
    fn eq(&self, other: &Self) -> bool {
        self.document == other.document
    }
}

impl TryFrom<Document> for Catalog {
    type Error = Error;

    fn try_from(document: Document) -> Result<Self, Self::Error> {
        let services = index_services(&document.services)?;
        let mut shares = Vec::with_capacity(document.routes.len());
        for route in &document.routes {
            shares.push(check_route(route, &services)?);
        }
        Ok(Self {
            table: Table::new(&document.routes),
            keys: index_keys(&document.workspaces)?,
            services,
            shares,
            document,
        })
    }
}

fn index_services(services: &[Service]) -> Result<HashMap<String, ServiceKey>, Error> {
    let mut index = HashMap::with_capacity(services.len());
    for (place, service) in services.iter().enumerate() {
        let earlier = index.insert(service.name.clone(), ServiceKey(place));
        let (section, name) = ("services", &service.name);
        ensure!(earlier.is_none(), TwiceSnafu { section, name });
    }
    Ok(index)
}

fn check_route(route: &Route, services: &HashMap<String, ServiceKey>) -> Result<Vec<ServiceKey>, Error> {
    let (name, prefix) = (&route.name, &route.prefix);
    let slashes = prefix.starts_with('/') && prefix.ends_with('/');
    ensure!(slashes, PrefixSnafu { route: name, prefix });
    let weighted = route.shares.iter().any(|share| share.weight > 0);
    ensure!(weighted, NoShareSnafu { route: name });
    let find = |service: &String| {
        let found = services.get(service).copied();
        found.context(NoServiceSnafu { route: name, service })
    };
    route.shares.iter().map(|share| find(&share.service)).collect()
}

fn index_keys(workspaces: &[Workspace]) -> Result<HashMap<KeyHash, usize>, Error> {
    let mut keys = HashMap::new();
    for (index, workspace) in workspaces.iter().enumerate() {
        for hash in &workspace.key_hashes {
            let holder = keys.insert(*hash, index).filter(|holder| *holder != index);
            if let Some(holder) = holder {
                let (name, holder) = (&workspace.name, &workspaces[holder].name);
                return SharedKeySnafu { name, holder }.fail();
            }
        }
    }
    Ok(keys)
}
