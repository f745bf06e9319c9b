//! Validation errors of a catalog.

use snafu::Snafu;

/// A catalog is inconsistent.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// Two items of a list have the same name.
    #[snafu(display("{section}[{name}] is listed twice; remove one"))]
    DuplicateName {
        /// Name of the list.
        section: &'static str,
        /// The duplicate name.
        name: String,
    },
    /// A route refers to a service that the catalog lacks.
    #[snafu(display("routes[{route}]: no service is called {service}; add it to the services or correct the name"))]
    UnknownService {
        /// Name of the route.
        route: String,
        /// Name of the missing service.
        service: String,
    },
    /// All shares of a route have weight 0, so that no service receives its requests.
    #[snafu(display("routes[{route}]: all shares have weight 0; give one service a weight of 1 or more"))]
    NoWeight {
        /// Name of the route.
        route: String,
    },
    /// The prefix of a route does not start and end with a slash.
    #[snafu(display("routes[{route}]: the prefix {prefix} must start and end with a slash"))]
    InvalidPrefix {
        /// Name of the route.
        route: String,
        /// The prefix.
        prefix: String,
    },
    /// Two workspaces have the same key.
    #[snafu(display(
        "workspaces[{name}]: one of its keys already belongs to {holder}; give each key to one workspace only"
    ))]
    SharedKey {
        /// Name of the later workspace.
        name: String,
        /// Name of the earlier workspace.
        holder: String,
    },
}
