//! Sends metrics over statsd with `cadence`.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use cadence::Timed as _;
use cadence::{BufferedUdpMetricSink, CountedExt as _, Gauged as _, NopMetricSink, QueuingMetricSink, StatsdClient};

/// Maximum number of metric lines queued for the sending thread; more are dropped, so that metrics never delay a
/// request.
const MAX_QUEUED_LINES: usize = 4_096;

/// Statsd client of one process.
#[derive(Debug, Clone)]
pub struct Metrics {
    client: Arc<StatsdClient>,
}

impl Metrics {
    /// Creates a client that sends to `address`, or discards all metrics if there is none; `prefix` is the program's
    /// name.
    pub fn new(prefix: &str, address: Option<SocketAddr>) -> std::io::Result<Self> {
        let Some(address) = address else {
            return Ok(Self::disabled(prefix));
        };
        let socket = UdpSocket::bind(("0.0.0.0", 0))?;
        let sink = BufferedUdpMetricSink::from(address, socket).map_err(std::io::Error::other)?;
        let queue = QueuingMetricSink::with_capacity(sink, MAX_QUEUED_LINES);
        Ok(Self {
            client: Arc::new(StatsdClient::from_sink(prefix, queue)),
        })
    }

    /// Creates a client that discards all metrics.
    pub fn disabled(prefix: &str) -> Self {
        Self {
            client: Arc::new(StatsdClient::from_sink(prefix, NopMetricSink)),
        }
    }

    /// Counts one event.
    pub fn count(&self, name: &str) {
        // A metric that can't be sent must not fail a request.
        let _sent = self.client.incr(name);
    }

    /// Records a duration.
    pub fn time(&self, name: &str, duration: Duration) {
        // A metric that can't be sent must not fail a request.
        let _sent = self.client.time(name, duration);
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &str, value: u64) {
        // A metric that can't be sent must not fail a request.
        let _sent = self.client.gauge(name, value);
    }
}
