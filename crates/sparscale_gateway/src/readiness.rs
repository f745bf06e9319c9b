//! Readiness check: lets the load balancer in front query whether this entry accepts callers.

use std::sync::Arc;

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::Full;
use sparscale_belief::Board;
use sparscale_intake::{Listener, serve_small};
use tokio::sync::watch;

use sparscale_intake::Phase;

/// Responds to every request at `listener`; never returns.
pub(crate) async fn serve(listener: Listener, board: Arc<Board>, phase: watch::Receiver<Phase>) {
    serve_small(listener, move || {
        let is_ready = *phase.borrow() == Phase::Serving && board.catalog().is_some() && board.targets().is_some();
        response(is_ready)
    })
    .await;
}

fn response(is_ready: bool) -> Response<Full<Bytes>> {
    let (status, text) = if is_ready {
        (StatusCode::OK, "ready\n")
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    };
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}
