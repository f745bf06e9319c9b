//! Readiness check: lets the load balancer in front query whether this entry accepts callers.

use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use sparscale_belief::Board;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::phase::Phase;

/// Responds to every request at `listener`; never returns.
pub(crate) async fn serve(listener: TcpListener, board: Arc<Board>, phase: watch::Receiver<Phase>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::task::yield_now().await;
            continue;
        };
        let (board, phase) = (Arc::clone(&board), phase.clone());
        let service = service_fn(move |_request: Request<Incoming>| {
            let is_ready = *phase.borrow() == Phase::Serving && board.catalog().is_some() && board.targets().is_some();
            async move { Ok::<_, Infallible>(response(is_ready)) }
        });
        tokio::spawn(async move {
            // The load balancer repeats a check whose connection is lost.
            let _ended = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
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
