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
    busy: AtomicBool,
}

impl Store {
    /// Starts the store at `address`.
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

    /// Adds a record, which is acknowledged when this returns.
    pub(crate) fn add(&self, record: Record) {
        self.records().add(record);
    }

    /// The rank whose agent was the last to claim the group.
    pub(crate) fn leader(&self) -> Option<usize> {
        self.platform.leader(&self.records())
    }

    /// Sets whether calls are rejected.
    pub(crate) fn set_busy(&self, busy: bool) {
        self.busy.store(busy, Ordering::SeqCst);
    }

    /// Writes the latest record of each key of `topic` again, as its writers do.
    pub(crate) fn beat(&self, topic: &'static str) {
        let mut records = self.records();
        let newest = records.newest(topic).into_iter();
        let again = newest.map(|(key, value)| Record {
            topic,
            key: key.to_owned(),
            value: Some(value.clone()),
        });
        let again: Vec<Record> = again.collect();
        for record in again {
            records.add(record);
        }
    }

    /// Restores the state of `snapshot_at` and returns the lost records of other writers; those of the system itself
    /// stay lost.
    pub(crate) fn restore(&self, copied: Instant) -> Vec<Record> {
        let mut lost = self.records().restore(copied);
        lost.retain(|record| !self.platform.is_own(record.topic));
        lost
    }

    /// Adds a lost record, unless its key was written after `since`.
    pub(crate) fn add_again(&self, record: Record, since: Instant) {
        let mut records = self.records();
        if !records.is_written_since(&record, since) {
            records.add(record);
        }
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Content> {
        let (head, body) = request.into_parts();
        let body = body.collect().await.map(http_body_util::Collected::to_bytes);
        let mut answer = match body {
            Ok(body) if !self.busy.load(Ordering::SeqCst) => self
                .platform
                .answer(&Request::from_parts(head, body), &mut self.records()),
            _ => server::unavailable(),
        };
        self.platform.stamp(&mut answer, self.records().era());
        server::boxed(answer)
    }

    fn records(&self) -> MutexGuard<'_, Records> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
