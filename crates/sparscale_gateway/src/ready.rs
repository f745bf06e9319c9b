//! Tells the balancer in front whether this entry takes callers.

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

/// Answers every question at `listener`; never ends.
pub(crate) async fn serve(listener: TcpListener, board: Arc<Board>, phase: watch::Receiver<Phase>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::task::yield_now().await;
            continue;
        };
        let (board, phase) = (Arc::clone(&board), phase.clone());
        let service = service_fn(move |_request: Request<Incoming>| {
            let ready = *phase.borrow() == Phase::Serving && board.catalog().is_some() && board.targets().is_some();
            async move { Ok::<_, Infallible>(response(ready)) }
        });
        tokio::spawn(async move {
            // A question that breaks off is asked again.
            let _ended = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

fn response(ready: bool) -> Response<Full<Bytes>> {
    let (status, text) = if ready {
        (StatusCode::OK, "ready\n")
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    };
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}
