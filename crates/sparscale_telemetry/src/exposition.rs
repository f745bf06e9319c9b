//! Serves the metrics of a process over HTTP in the Prometheus text format.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderValue};
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use crate::registry::Registry;

/// Responds to every request at `address` with the metrics of `registry`; runs until the process ends. If the address
/// can't be bound, the process runs without exposing its metrics.
pub async fn expose_metrics(registry: Arc<Registry>, address: SocketAddr) {
    let listener = match TcpListener::bind(address).await {
        Ok(listener) => listener,
        Err(error) => {
            log::warn!(address = address.to_string().as_str(), error = error.to_string().as_str(); "metrics are not exposed because the address cannot be bound; choose a free address of this box");
            return;
        }
    };
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::task::yield_now().await;
            continue;
        };
        let registry = Arc::clone(&registry);
        let service = service_fn(move |_request: Request<Incoming>| {
            let text = registry.render();
            async move { Ok::<_, Infallible>(response(text)) }
        });
        tokio::spawn(async move {
            // A client whose connection fails sends another request.
            let _ended = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

fn response(text: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(text)));
    let content_type = HeaderValue::from_static("text/plain; version=0.0.4");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}
