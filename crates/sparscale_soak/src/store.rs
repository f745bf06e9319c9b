//! A stub of the platform's store. It can reject all calls and be restored from an older snapshot.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use http::{Request, Response};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;

use crate::platform::Platform;
use crate::records::{Record, Records};
use crate::server::{self, Content};

pub(crate) struct Store {
    platform: Arc<dyn Platform>,
    records: Mutex<Records>,
    is_unavailable: AtomicBool,
}

impl Store {
    /// Starts the store at `address`.
    pub(crate) async fn start(platform: Arc<dyn Platform>, address: SocketAddr) -> std::io::Result<Arc<Self>> {
        let store = Arc::new(Self {
            platform,
            records: Mutex::default(),
            is_unavailable: AtomicBool::new(false),
        });
        let server_store = Arc::clone(&store);
        server::serve(address, move |request| {
            let store = Arc::clone(&server_store);
            async move { store.handle(request).await }
        })
        .await?;
        Ok(store)
    }

    /// Adds a record, which is acknowledged when this returns.
    pub(crate) fn add(&self, record: Record) {
        self.records().add(record);
    }

    /// The rank whose agent was the last to claim the group.
    pub(crate) fn leader(&self) -> Option<usize> {
        self.platform.leader(&self.records())
    }

    /// Sets whether calls are rejected.
    pub(crate) fn set_unavailable(&self, is_unavailable: bool) {
        self.is_unavailable.store(is_unavailable, Ordering::SeqCst);
    }

    /// Writes the latest record of each key of `topic` again, as its writers do.
    pub(crate) fn renew(&self, topic: &'static str) {
        let mut records = self.records();
        let newest = records.latest_values(topic).into_iter();
        let rewritten = newest.map(|(key, value)| Record {
            topic,
            key: key.to_owned(),
            value: Some(value.clone()),
        });
        let rewritten: Vec<Record> = rewritten.collect();
        for record in rewritten {
            records.add(record);
        }
    }

    /// Restores the state of `snapshot_at` and returns the lost records of other writers; those of the system itself
    /// stay lost.
    pub(crate) fn restore(&self, snapshot_at: Instant) -> Vec<Record> {
        let mut lost = self.records().restore(snapshot_at);
        lost.retain(|record| !self.platform.is_system_topic(record.topic));
        lost
    }

    /// Adds a lost record, unless its key was written after `since`.
    pub(crate) fn add_unless_rewritten(&self, record: Record, since: Instant) {
        let mut records = self.records();
        if !records.is_written_since(&record, since) {
            records.add(record);
        }
    }

    async fn handle(&self, request: Request<Incoming>) -> Response<Content> {
        let (head, body) = request.into_parts();
        let body = body.collect().await.map(http_body_util::Collected::to_bytes);
        let mut response = match body {
            Ok(body) if !self.is_unavailable.load(Ordering::SeqCst) => self
                .platform
                .handle_store_call(&Request::from_parts(head, body), &mut self.records()),
            _ => server::unavailable(),
        };
        self.platform.add_era(&mut response, self.records().era());
        server::boxed(response)
    }

    fn records(&self) -> MutexGuard<'_, Records> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
