//! Serves the metrics of a process over HTTP in the Prometheus text format.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::Response;
use http::header::{CONTENT_TYPE, HeaderValue};
use http_body_util::Full;
use sparscale_policy::intake::Port;
use sparscale_telemetry::Registry;

use crate::connection::Intake;
use crate::listener::Listener;
use crate::small_server::serve_small;

/// Responds to every request at `address` with the metrics of `registry`; runs until the process ends. If the address
/// can't be bound, the process runs without exposing its metrics.
pub async fn serve_metrics(registry: Arc<Registry>, address: SocketAddr, intake: Arc<Intake>) {
    match Listener::bind(address, intake, Port::Metrics).await {
        Ok(listener) => serve_small(listener, move || response(registry.render())).await,
        Err(error) => {
            log::warn!(address = address.to_string().as_str(), error = error.to_string().as_str(); "metrics are not exposed because the address cannot be bound; choose a free address of this box");
        }
    }
}

fn response(text: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(text)));
    let content_type = HeaderValue::from_static("text/plain; version=0.0.4");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}
