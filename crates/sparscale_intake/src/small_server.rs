//! Serves short requests without bodies, such as readiness checks.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use sparscale_policy::intake::Activity;

use crate::listener::Listener;

/// Time within which a head has to arrive.
const HEADER_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest head, in bytes; the smallest limit that the HTTP library accepts.
const MAX_HEADER_BYTES: usize = 8 << 10;

/// Responds to every request at `listener` with `respond`; never returns.
pub async fn serve_small<R>(listener: Listener, respond: R)
where
    R: Fn() -> Response<Full<Bytes>> + Clone + Send + Sync + 'static,
{
    loop {
        let (stream, connection) = listener.accept().await;
        let respond = respond.clone();
        tokio::spawn(async move {
            let service = service_fn(|_request: Request<Incoming>| {
                connection.set_activity(Activity::Idle);
                let response = respond();
                async move { Ok::<_, Infallible>(response) }
            });
            let serving = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEADER_TIMEOUT)
                .max_buf_size(MAX_HEADER_BYTES)
                .serve_connection(TokioIo::new(stream), service);
            tokio::select! {
                // Clients repeat a request whose connection is lost.
                _ended = serving => {}
                () = connection.evicted() => {}
            }
        });
    }
}
