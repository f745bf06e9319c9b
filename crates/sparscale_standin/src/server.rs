//! What all stand-ins share: the HTTP server, JSON answers and answers that break off.

use std::net::SocketAddr;

use dropshot::{
    ApiDescription, Body, ConfigDropshot, HandlerTaskMode, HttpError, HttpServer, ServerBuilder, ServerContext,
};
use futures::stream;
use http::{Response, StatusCode};
use http_body_util::StreamBody;
use hyper::body::{Bytes, Frame};
use serde::Serialize;

/// Longest request body of a stand-in, in bytes.
const MAX_BODY: usize = 64 << 20;

/// Starts an HTTP server.
pub(crate) fn start<C: ServerContext>(
    api: ApiDescription<C>,
    context: C,
    address: SocketAddr,
) -> Result<HttpServer<C>, String> {
    let config = ConfigDropshot {
        bind_address: address,
        default_request_body_max_bytes: MAX_BODY,
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

/// A JSON answer.
pub(crate) fn json<T: Serialize>(value: &T) -> Result<Response<Body>, HttpError> {
    let text = serde_json::to_vec(value).map_err(|error| HttpError::for_internal_error(error.to_string()))?;
    respond(StatusCode::OK, "application/json", Body::from(text))
}

/// An answer with the given parts.
pub(crate) fn respond(status: StatusCode, media_type: &str, body: Body) -> Result<Response<Body>, HttpError> {
    Response::builder()
        .status(status)
        .header(http::header::CONTENT_TYPE, media_type)
        .body(body)
        .map_err(|error| HttpError::for_internal_error(error.to_string()))
}

/// An answer that breaks off before its first byte of content: the caller cannot tell what happened.
pub(crate) fn lost() -> Result<Response<Body>, HttpError> {
    let broken = stream::iter([Err::<Frame<Bytes>, _>(std::io::Error::other("lost by a test"))]);
    respond(StatusCode::OK, "application/json", Body::wrap(StreamBody::new(broken)))
}
