//! How much of its box a process holds for callers.

/// Memory set aside for each connection, in bytes: the buffers for heads and for bytes that are not read yet, and the
/// request that is in progress.
pub const CONNECTION_BYTES: usize = 32 << 10;

/// Part of the box's memory that may be held for callers; the rest is for the process itself.
const HELD_FRACTION: f64 = 0.6;
/// Part of the held memory that is set aside for connections; the rest is room for bodies and responses.
const CONNECTIONS_FRACTION: f64 = 0.375;
/// Part of the room that the large bodies of one workspace may take.
pub(super) const OWNER_FRACTION: f64 = 0.5;
/// Descriptors left to files, as far as that is not more than a quarter of all.
const FILE_DESCRIPTORS: usize = 200;
/// Part of the other descriptors for connections of callers. Each request in progress needs another one, to a target.
const CALLER_DESCRIPTORS_FRACTION: f64 = 0.45;
/// Most connections to each address that serves only short requests, such as the readiness check.
const MAX_SERVICE_CONNECTIONS: usize = 64;
/// Memory set aside for each of these connections, in bytes.
const SERVICE_CONNECTION_BYTES: usize = 16 << 10;
/// Part of the held memory that is set aside for the connections to each of these addresses.
const SERVICE_MEMORY_FRACTION: f64 = 0.03125;
/// Number of these addresses.
const SERVICE_PORTS: usize = 2;
/// Part of the descriptors for each of these addresses.
const SERVICE_DESCRIPTORS_FRACTION: f64 = 0.0625;

/// An address that callers can reach.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Port {
    /// The address for requests.
    Callers,
    /// The readiness check.
    Readiness,
    /// The metrics.
    Metrics,
}

/// What a process may hold for its callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Capacity {
    /// Room for bodies and responses, in bytes.
    pub memory: usize,
    /// Connections at [`Port::Callers`].
    pub connections: usize,
    /// Connections at each other port.
    pub service_connections: usize,
}

impl Capacity {
    /// The capacity of a process that may use `memory` bytes and `descriptors` descriptors.
    pub fn of_process(memory: usize, descriptors: usize) -> Self {
        let held = fraction(memory, HELD_FRACTION);
        let sockets = descriptors - FILE_DESCRIPTORS.min(descriptors / 4);
        let service_connections = fraction(sockets, SERVICE_DESCRIPTORS_FRACTION)
            .min(fraction(held, SERVICE_MEMORY_FRACTION) / SERVICE_CONNECTION_BYTES)
            .clamp(1, MAX_SERVICE_CONNECTIONS);
        let for_callers = held - SERVICE_PORTS * service_connections * SERVICE_CONNECTION_BYTES;
        let for_connections = fraction(for_callers, CONNECTIONS_FRACTION);
        let by_memory = for_connections / CONNECTION_BYTES;
        Self {
            memory: for_callers - for_connections,
            connections: fraction(sockets, CALLER_DESCRIPTORS_FRACTION).min(by_memory).max(1),
            service_connections,
        }
    }

    /// Largest body that can be held while nothing else is, in bytes.
    pub fn max_body(self) -> usize {
        fraction(self.memory, OWNER_FRACTION)
    }

    /// Most connections at `port`.
    pub(super) fn of_port(self, port: Port) -> usize {
        match port {
            Port::Callers => self.connections,
            Port::Readiness | Port::Metrics => self.service_connections,
        }
    }
}

/// A part of an amount.
pub(super) fn fraction(of: usize, fraction: f64) -> usize {
    (of as f64 * fraction) as usize
}
