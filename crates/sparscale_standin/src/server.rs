//! HTTP server and response helpers that all stand-ins share.

use std::net::SocketAddr;

use dropshot::{
    ApiDescription, Body, ConfigDropshot, HandlerTaskMode, HttpError, HttpServer, ServerBuilder, ServerContext,
};
use futures::stream;
use http::{Response, StatusCode};
use http_body_util::StreamBody;
use hyper::body::{Bytes, Frame};
use serde::Serialize;

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Starts an HTTP server at `address`.
pub(crate) fn start<C: ServerContext>(
    api: ApiDescription<C>,
    context: C,
    address: SocketAddr,
) -> Result<HttpServer<C>, String> {
    let config = ConfigDropshot {
        bind_address: address,
        default_request_body_max_bytes: MAX_BODY_BYTES,
        default_handler_task_mode: HandlerTaskMode::Detached,
        ..ConfigDropshot::default()
    };
    let server = ServerBuilder::new(api, context, sparscale_telemetry::dropshot_log())
        .config(config)
        .start()
        .map_err(|error| format!("{address}: {error}"))?;
    log::info!(address = server.local_addr().to_string().as_str(); "listening");
    Ok(server)
}

/// Returns a response with `value` as JSON.
pub(crate) fn json<T: Serialize>(value: &T) -> Result<Response<Body>, HttpError> {
    let text = serde_json::to_vec(value).map_err(|error| HttpError::for_internal_error(error.to_string()))?;
    respond(StatusCode::OK, "application/json", Body::from(text))
}

/// Returns a response with the given status, media type and body.
pub(crate) fn respond(status: StatusCode, media_type: &str, body: Body) -> Result<Response<Body>, HttpError> {
    Response::builder()
        .status(status)
        .header(http::header::CONTENT_TYPE, media_type)
        .body(body)
        .map_err(|error| HttpError::for_internal_error(error.to_string()))
}

/// Returns a response that ends with an error before its first body byte, so that the caller can't know the outcome.
pub(crate) fn broken_response() -> Result<Response<Body>, HttpError> {
    let frames = stream::iter([Err::<Frame<Bytes>, _>(std::io::Error::other(
        "response dropped by an injected fault",
    ))]);
    respond(StatusCode::OK, "application/json", Body::wrap(StreamBody::new(frames)))
}
