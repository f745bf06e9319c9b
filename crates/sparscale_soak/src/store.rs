//! A stand-in of the platform's store: holds records, and may refuse all calls or forget targets' entries.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;

use crate::platform::Platform;
use crate::records::{Record, Records};
use crate::server::{self, Content};

/// The store.
pub(crate) struct Store {
    platform: Arc<dyn Platform>,
    records: Mutex<Records>,
    busy: AtomicBool,
}

impl Store {
    /// Starts it at `address`.
    pub(crate) async fn start(platform: Arc<dyn Platform>, address: SocketAddr) -> std::io::Result<Arc<Self>> {
        let store = Arc::new(Self {
            platform,
            records: Mutex::default(),
            busy: AtomicBool::new(false),
        });
        let serving = Arc::clone(&store);
        server::serve(address, move |request| {
            let store = Arc::clone(&serving);
            async move { store.answer(request).await }
        })
        .await?;
        Ok(store)
    }

    /// Adds a record; it is acknowledged when this returns.
    pub(crate) fn add(&self, record: Record) {
        self.records().add(record);
    }

    /// Whether calls are refused.
    pub(crate) fn set_busy(&self, busy: bool) {
        self.busy.store(busy, Ordering::SeqCst);
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Content> {
        let (head, body) = request.into_parts();
        let body = body.collect().await.map(http_body_util::Collected::to_bytes);
        let mut answer = match body {
            Ok(body) if !self.busy.load(Ordering::SeqCst) => self
                .platform
                .answer(&Request::from_parts(head, body), &mut self.records()),
            _ => refusal(),
        };
        let content = std::mem::take(answer.body_mut());
        answer.map(|_taken| content.map_err(|never: Infallible| match never {}).boxed_unsync())
    }

    fn records(&self) -> MutexGuard<'_, Records> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn refusal() -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::default());
    *answer.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    answer
}
