//! A small HTTP server for the stubs.

use std::convert::Infallible;
use std::error::Error as _;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpListener;

/// Error of a response body that the soak aborts.
#[derive(Debug)]
pub(crate) enum Aborted {
    /// The connection is closed.
    Closed,
    /// The connection is reset.
    Reset,
}

impl std::fmt::Display for Aborted {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("response body aborted by the soak")
    }
}

impl std::error::Error for Aborted {}

/// Body of a response.
pub(crate) type Content = UnsyncBoxBody<Bytes, Aborted>;

/// Converts a complete response to the body type of the server.
pub(crate) fn boxed(mut response: Response<Full<Bytes>>) -> Response<Content> {
    let content = std::mem::take(response.body_mut());
    response.map(|_body| content.map_err(|never: Infallible| match never {}).boxed_unsync())
}

/// Response of a stub that is unavailable.
pub(crate) fn unavailable() -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    response
}

/// Serves requests at `address` with `handle`, on a task that continues after this returns.
pub(crate) async fn serve<H, F>(address: SocketAddr, handle: H) -> std::io::Result<()>
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<Content>> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let handle = Arc::new(handle);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let handle = Arc::clone(&handle);
            let service = service_fn(move |request| {
                let response = handle(request);
                async move { Ok::<_, Infallible>(response.await) }
            });
            tokio::spawn(async move {
                let Ok(socket) = SockRef::from(&stream).try_clone() else {
                    return;
                };
                let ended = http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
                // A client that disconnects ends the connection; the checks judge the callers' side.
                let Err(error) = ended else { return };
                let aborted = error.source().and_then(|source| source.downcast_ref());
                if let Some(Aborted::Reset) = aborted {
                    // With zero linger, the kernel sends a reset once the last handle is closed.
                    let _unsupported = socket.set_linger(Some(Duration::ZERO));
                }
            });
        }
    });
    Ok(())
}
