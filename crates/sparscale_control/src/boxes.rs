//! The platform's list of live and leaving boxes. It lags, so it is only ever a hint.

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
use snafu::Snafu;
use tokio::sync::watch;

use crate::topology::Node;

/// Longest list that is read, in bytes.
const MAX_LIST: usize = 16 << 20;
/// Time that one read may take.
const TIMEOUT: Duration = Duration::from_secs(2);

/// What a box runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Takes requests from callers.
    Entry,
    /// Runs a target, with an agent beside it.
    Target,
}

/// Whether a box stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    /// It stays.
    Live,
    /// It will be taken away soon.
    Leaving,
}

/// One box of the list.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Listed {
    /// Name of the target, or of the entry.
    pub name: String,
    /// What it runs.
    pub role: Role,
    /// Hall that it stands in.
    pub hall: String,
    /// Address of the system's process there.
    pub address: SocketAddr,
    /// Whether it stays.
    pub standing: Standing,
}

/// The list as last read.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
pub struct Listing {
    /// All boxes.
    pub boxes: Vec<Listed>,
}

/// A list that cannot be read; what was read before stays in use.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("the box list cannot be read: {message}"))]
pub struct Error {
    message: String,
}

/// The platform's list.
#[async_trait]
pub trait Boxes: Send + Sync + 'static {
    /// Reads the list; none if it has not changed since the last read.
    async fn read(&mut self) -> Result<Option<Listing>, Error>;
}

/// A list that speaks HTTP, with conditional requests so that an unchanged list costs a few bytes.
#[derive(Debug)]
pub struct HttpBoxes {
    client: Client<HttpConnector, Empty<Bytes>>,
    address: String,
    tag: Option<http::HeaderValue>,
}

impl HttpBoxes {
    /// A client of the list at `base`, for example `http://127.0.0.1:7001`.
    pub fn new(base: &str) -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
            address: format!("{}/v1/boxes", base.trim_end_matches('/')),
            tag: None,
        }
    }

    async fn exchange(&mut self) -> Result<Option<Listing>, Error> {
        let mut request = http::Request::get(&self.address);
        if let Some(tag) = &self.tag {
            request = request.header(header::IF_NONE_MATCH, tag);
        }
        let request = request.body(Empty::new()).map_err(error)?;
        let response = self.client.request(request).await.map_err(error)?;
        if response.status() == StatusCode::NOT_MODIFIED {
            return Ok(None);
        }
        if !response.status().is_success() {
            return Err(error(response.status()));
        }
        let tag = response.headers().get(header::ETAG).cloned();
        let body = Limited::new(response.into_body(), MAX_LIST)
            .collect()
            .await
            .map_err(error)?;
        let listing = serde_json::from_slice(&body.to_bytes()).map_err(error)?;
        self.tag = tag;
        Ok(Some(listing))
    }
}

#[async_trait]
impl Boxes for HttpBoxes {
    async fn read(&mut self) -> Result<Option<Listing>, Error> {
        let read = tokio::time::timeout(TIMEOUT, self.exchange()).await;
        read.map_err(|_elapsed| error("it took too long"))?
    }
}

fn error(message: impl std::fmt::Display) -> Error {
    Error {
        message: message.to_string(),
    }
}

impl Listing {
    /// The processes of the system on boxes that stay.
    pub fn live(&self) -> Vec<Node> {
        let live = self.boxes.iter().filter(|listed| listed.standing == Standing::Live);
        live.map(Listed::node).collect()
    }
}

impl Listed {
    fn node(&self) -> Node {
        Node {
            name: self.name.clone(),
            role: match self.role {
                Role::Entry => sparscale_wire::Role::Entry,
                Role::Target => sparscale_wire::Role::Agent,
            },
            hall: self.hall.clone(),
            address: self.address,
        }
    }
}

/// Reads `boxes` every `interval` and shows each change in the returned channel, for as long as somebody looks.
pub fn watch_boxes(mut boxes: Box<dyn Boxes>, interval: Duration) -> watch::Receiver<Arc<Listing>> {
    let (sender, receiver) = watch::channel(Arc::default());
    tokio::spawn(async move {
        while !sender.is_closed() {
            match boxes.read().await {
                Ok(Some(listing)) => {
                    sender.send_replace(Arc::new(listing));
                }
                Ok(None) => {}
                Err(error) => log::warn!(error = error.to_string().as_str(); "the last known box list stays in use"),
            }
            tokio::time::sleep(interval).await;
        }
    });
    receiver
}
