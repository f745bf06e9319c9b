//! Metrics over statsd, through `cadence`.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use cadence::Timed as _;
use cadence::{BufferedUdpMetricSink, CountedExt as _, Gauged as _, NopMetricSink, QueuingMetricSink, StatsdClient};

/// Metric lines that wait for the sending thread; more are dropped, so that metrics never slow a request.
const QUEUE: usize = 4_096;

/// Counts and times of one process.
#[derive(Debug, Clone)]
pub struct Metrics {
    client: Arc<StatsdClient>,
}

impl Metrics {
    /// Sends to `address`, or nowhere; `prefix` names the program.
    pub fn new(prefix: &str, address: Option<SocketAddr>) -> std::io::Result<Self> {
        let Some(address) = address else {
            return Ok(Self::nowhere(prefix));
        };
        let socket = UdpSocket::bind(("0.0.0.0", 0))?;
        let sink = BufferedUdpMetricSink::from(address, socket).map_err(std::io::Error::other)?;
        let queue = QueuingMetricSink::with_capacity(sink, QUEUE);
        Ok(Self {
            client: Arc::new(StatsdClient::from_sink(prefix, queue)),
        })
    }

    /// Metrics that are not sent.
    pub fn nowhere(prefix: &str) -> Self {
        Self {
            client: Arc::new(StatsdClient::from_sink(prefix, NopMetricSink)),
        }
    }

    /// Counts one event.
    pub fn count(&self, name: &str) {
        // A metric that cannot be sent must not fail a request.
        let _sent = self.client.incr(name);
    }

    /// Notes how long something took.
    pub fn time(&self, name: &str, took: Duration) {
        // A metric that cannot be sent must not fail a request.
        let _sent = self.client.time(name, took);
    }

    /// Notes a level.
    pub fn gauge(&self, name: &str, value: u64) {
        // A metric that cannot be sent must not fail a request.
        let _sent = self.client.gauge(name, value);
    }
}
