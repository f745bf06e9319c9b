//! Reads the platform's list of live and leaving boxes.
//!
//! The list lags behind, so callers must treat it as a hint.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http::{StatusCode, header};
use http_body_util::{BodyExt as _, Empty, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;
use serde_json::value::RawValue;
use snafu::Snafu;
use tokio::sync::watch;

use crate::topology::Node;

/// Maximum size of the list.
const MAX_LIST_BYTES: usize = 16 << 20;
/// Characters of an invalid entry that the log shows.
const MAX_LOGGED_CHARS: usize = 200;
/// Timeout of one read.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Process that a box runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BoxRole {
    /// An entry, which takes requests from callers.
    Entry,
    /// A target with its agent.
    Target,
}

/// Whether a box is about to be removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BoxStanding {
    /// In service, without a planned removal.
    Live,
    /// About to be removed.
    Leaving,
}

/// One box in the list.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct ListedBox {
    /// Name of the target, or of the entry.
    pub name: String,
    /// Process that the box runs.
    pub role: BoxRole,
    /// Hall of the box.
    pub hall: String,
    /// Address of the sparscale process on the box.
    pub address: SocketAddr,
    /// Whether the box is about to be removed.
    pub standing: BoxStanding,
}

/// The box list as last read.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct BoxList {
    /// All boxes of the platform.
    pub boxes: Vec<ListedBox>,
}

/// The box list cannot be read; the previous list remains in use.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("box list cannot be read: {message}"))]
pub struct Error {
    message: String,
}

/// Source of the box list.
#[async_trait]
pub trait BoxListSource: Send + Sync + 'static {
    /// Reads the list; returns `None` if it has not changed since the last read.
    async fn read(&mut self) -> Result<Option<BoxList>, Error>;
}

/// Reads the box list over HTTP, with conditional requests so that an unchanged list is not transferred again.
#[derive(Debug)]
pub struct HttpBoxList {
    client: Client<HttpConnector, Empty<Bytes>>,
    address: String,
    etag: Option<http::HeaderValue>,
}

impl HttpBoxList {
    /// Creates a client of the list at `base`, for example `http://127.0.0.1:7001`.
    pub fn new(base: &str) -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
            address: format!("{}/v1/boxes", base.trim_end_matches('/')),
            etag: None,
        }
    }

    async fn exchange(&mut self) -> Result<Option<BoxList>, Error> {
        let mut request = http::Request::get(&self.address);
        if let Some(etag) = &self.etag {
            request = request.header(header::IF_NONE_MATCH, etag);
        }
        let request = request.body(Empty::new()).map_err(error)?;
        let response = self.client.request(request).await.map_err(error)?;
        if response.status() == StatusCode::NOT_MODIFIED {
            return Ok(None);
        }
        if !response.status().is_success() {
            return Err(error(response.status()));
        }
        let etag = response.headers().get(header::ETAG).cloned();
        let body = Limited::new(response.into_body(), MAX_LIST_BYTES)
            .collect()
            .await
            .map_err(error)?;
        let listing = decode(&body.to_bytes())?;
        self.etag = etag;
        Ok(Some(listing))
    }
}

/// The list on the wire, with entries that are decoded one by one.
#[derive(Deserialize)]
struct Listing<'a> {
    #[serde(borrow)]
    boxes: Vec<&'a RawValue>,
}

/// Decodes the list. An entry that cannot be decoded, for example one of another writer, does not affect the others.
fn decode(body: &[u8]) -> Result<BoxList, Error> {
    let text = String::from_utf8_lossy(body);
    let listing: Listing<'_> = serde_json::from_str(&text).map_err(error)?;
    let mut list = BoxList::default();
    let mut invalid = Vec::new();
    for entry in listing.boxes {
        match serde_json::from_str::<ListedBox>(entry.get()) {
            Ok(listed) if listed.address.port() != 0 => list.boxes.push(listed),
            _ => invalid.push(entry.get()),
        }
    }
    if let Some(first) = invalid.first() {
        let shown: String = first.chars().take(MAX_LOGGED_CHARS).collect();
        log::warn!(entries = invalid.len(), first = shown.as_str(); "entries of the box list are invalid and are ignored");
    }
    Ok(list)
}

#[async_trait]
impl BoxListSource for HttpBoxList {
    async fn read(&mut self) -> Result<Option<BoxList>, Error> {
        let read = tokio::time::timeout(READ_TIMEOUT, self.exchange()).await;
        read.map_err(|_elapsed| error("timed out"))?
    }
}

fn error(message: impl std::fmt::Display) -> Error {
    Error {
        message: message.to_string(),
    }
}

impl BoxList {
    /// Returns the sparscale processes on live boxes.
    pub fn live_nodes(&self) -> Vec<Node> {
        let live = self.boxes.iter().filter(|listed| listed.standing == BoxStanding::Live);
        live.map(ListedBox::node).collect()
    }
}

impl ListedBox {
    fn node(&self) -> Node {
        Node {
            name: self.name.clone(),
            role: match self.role {
                BoxRole::Entry => sparscale_wire::Role::Entry,
                BoxRole::Target => sparscale_wire::Role::Agent,
            },
            hall: self.hall.clone(),
            address: self.address,
        }
    }
}

/// Reads `boxes` every `interval` and publishes each change in the returned channel until all receivers are dropped.
pub fn watch_boxes(mut boxes: Box<dyn BoxListSource>, interval: Duration) -> watch::Receiver<Arc<BoxList>> {
    let (sender, receiver) = watch::channel(Arc::default());
    tokio::spawn(async move {
        while !sender.is_closed() {
            match boxes.read().await {
                Ok(Some(listing)) => {
                    sender.send_replace(Arc::new(listing));
                }
                Ok(None) => {}
                Err(error) => log::warn!(error = error.to_string().as_str(); "cannot read box list; keeping old list"),
            }
            tokio::time::sleep(interval).await;
        }
    });
    receiver
}
