//! What can be wrong with a catalog.

use snafu::Snafu;

/// A catalog whose parts do not fit together.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A name stands twice.
    #[snafu(display("{section}[{name}] stands twice; remove one"))]
    Twice {
        /// Which list.
        section: &'static str,
        /// The name.
        name: String,
    },
    /// A route names a service that is not there.
    #[snafu(display("routes[{route}]: no service is called {service}; add it to the services or mend the name"))]
    NoService {
        /// The route.
        route: String,
        /// The missing service.
        service: String,
    },
    /// A route sends its requests nowhere.
    #[snafu(display("routes[{route}]: no share has a weight; give one service a weight of 1 or more"))]
    NoShare {
        /// The route.
        route: String,
    },
    /// A prefix does not begin and end with a slash.
    #[snafu(display("routes[{route}]: the prefix {prefix} needs a slash at both ends"))]
    Prefix {
        /// The route.
        route: String,
        /// Its prefix.
        prefix: String,
    },
    /// A key belongs to two workspaces.
    #[snafu(display(
        "workspaces[{name}]: one of its keys belongs to {holder} already; give each key to one workspace"
    ))]
    SharedKey {
        /// The later workspace.
        name: String,
        /// The earlier one.
        holder: String,
    },
}
