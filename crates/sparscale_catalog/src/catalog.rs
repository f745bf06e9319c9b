//! The validated catalog, indexed for the lookups that each request makes.

use std::collections::HashMap;
use std::time::Duration;

use snafu::{OptionExt as _, ensure};
use sparscale_bundle::KeyHash;

use crate::document::{Document, Limits, RequestKind, Route, Service, Workspace};
use crate::error::{DuplicateNameSnafu, Error, InvalidPrefixSnafu, NoWeightSnafu, SharedKeySnafu, UnknownServiceSnafu};
use crate::routes::{RouteKey, RouteTable, ServiceKey};

/// Whether a request may use a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Access<'a> {
    /// It may, on behalf of this workspace.
    Workspace(&'a Workspace),
    /// It may, without a workspace: the route is public, or the catalog has no workspaces.
    Open,
    /// It may not: the route needs a key, and the request has none or an unknown one.
    Denied,
}

/// A validated catalog, indexed for lookups.
#[derive(Debug, Clone)]
pub struct Catalog {
    document: Document,
    route_table: RouteTable,
    services_by_name: HashMap<String, ServiceKey>,
    /// Services of each route, in the order of its shares.
    services_by_route: Vec<Vec<ServiceKey>>,
    /// Index of the workspace that each key belongs to.
    workspaces_by_key: HashMap<KeyHash, usize>,
}

impl Catalog {
    /// The version of the catalog.
    pub fn version(&self) -> u64 {
        self.document.version
    }

    /// Limits on requests of callers.
    pub fn limits(&self) -> &Limits {
        &self.document.limits
    }

    /// The document that the catalog was built from.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Finds the route of a request; `host` may include a port.
    pub fn route_of(&self, host: &str, path: &str) -> Option<RouteKey> {
        self.route_table.find(host, path)
    }

    /// The route with this key.
    pub fn route(&self, key: RouteKey) -> &Route {
        &self.document.routes[key.0]
    }

    /// The service with this key.
    pub fn service(&self, key: ServiceKey) -> &Service {
        &self.document.services[key.0]
    }

    /// Finds a service by name.
    pub fn find_service(&self, name: &str) -> Option<ServiceKey> {
        self.services_by_name.get(name).copied()
    }

    /// The services that receive the requests of a route, in the order of its shares.
    pub fn services_of(&self, key: RouteKey) -> &[ServiceKey] {
        &self.services_by_route[key.0]
    }

    /// Decides whether a request with the API key `bearer` may use a route.
    pub fn access(&self, key: RouteKey, bearer: Option<&str>) -> Access<'_> {
        if self.document.workspaces.is_empty() || self.route(key).is_public {
            return Access::Open;
        }
        let workspace = bearer.and_then(|bearer| self.workspaces_by_key.get(&KeyHash::of(bearer)));
        workspace.map_or(Access::Denied, |index| {
            Access::Workspace(&self.document.workspaces[*index])
        })
    }

    /// The smallest limit on the pause between two events among the routes to a service.
    pub fn max_pause_of(&self, service: &str) -> Option<Duration> {
        let leads_to_service = |route: &&Route| route.shares.iter().any(|share| share.service == service);
        let routes = self.document.routes.iter().filter(leads_to_service);
        let pauses = routes.filter_map(|route| match route.kind {
            RequestKind::Stream {
                max_pause: longest_pause,
                ..
            } => longest_pause,
            _ => None,
        });
        pauses.min()
    }

    /// Whether the catalog has workspaces; without any, requests need no key.
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
        let services_by_name = index_services(&document.services)?;
        let mut services_by_route = Vec::with_capacity(document.routes.len());
        for route in &document.routes {
            services_by_route.push(resolve_route(route, &services_by_name)?);
        }
        Ok(Self {
            route_table: RouteTable::new(&document.routes),
            workspaces_by_key: index_keys(&document.workspaces)?,
            services_by_name,
            services_by_route,
            document,
        })
    }
}

fn index_services(services: &[Service]) -> Result<HashMap<String, ServiceKey>, Error> {
    let mut index = HashMap::with_capacity(services.len());
    for (position, service) in services.iter().enumerate() {
        let earlier = index.insert(service.name.clone(), ServiceKey(position));
        let (section, name) = ("services", &service.name);
        ensure!(earlier.is_none(), DuplicateNameSnafu { section, name });
    }
    Ok(index)
}

/// Validates a route and returns the services of its shares.
fn resolve_route(route: &Route, services: &HashMap<String, ServiceKey>) -> Result<Vec<ServiceKey>, Error> {
    let (name, prefix) = (&route.name, &route.prefix);
    let has_slashes = prefix.starts_with('/') && prefix.ends_with('/');
    ensure!(has_slashes, InvalidPrefixSnafu { route: name, prefix });
    let has_weight = route.shares.iter().any(|share| share.weight > 0);
    ensure!(has_weight, NoWeightSnafu { route: name });
    let find = |service: &String| {
        let found = services.get(service).copied();
        found.context(UnknownServiceSnafu { route: name, service })
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
