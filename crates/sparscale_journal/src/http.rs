//! Log client over HTTP: `POST /v1/records` appends, `GET /v1/records` reads.

use std::time::Duration;

use async_trait::async_trait;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;

use crate::log::{Batch, Error, Log, LogEntry};

/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// HTTP client of the platform's log.
#[derive(Debug, Clone)]
pub struct HttpLog {
    client: Client<HttpConnector, Full<Bytes>>,
    base: String,
    timeout: Duration,
}

#[derive(Deserialize)]
struct AppendResponse {
    offset: u64,
}

#[derive(Deserialize)]
struct ReadResponse {
    earliest: u64,
    next: u64,
    records: Vec<EncodedEntry>,
}

#[derive(Deserialize)]
struct EncodedEntry {
    offset: u64,
    data: String,
}

impl HttpLog {
    /// Creates a client of the log at `base`, for example `http://127.0.0.1:7000`; each call times out after `timeout`.
    pub fn new(base: &str, timeout: Duration) -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
            base: base.trim_end_matches('/').to_owned(),
            timeout,
        }
    }

    async fn call(&self, request: http::Request<Full<Bytes>>, timeout: Duration) -> Result<Bytes, Error> {
        let response = tokio::time::timeout(timeout, self.exchange(request)).await;
        response.map_err(|_elapsed| lost("it took too long"))?
    }

    async fn exchange(&self, request: http::Request<Full<Bytes>>) -> Result<Bytes, Error> {
        let response = self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                return Error::Refused {
                    message: "it cannot be reached".to_owned(),
                };
            }
            lost(error)
        })?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
            .collect()
            .await
            .map_err(lost)?;
        let body = body.to_bytes();
        if status.is_success() {
            return Ok(body);
        }
        let message = format!("{status}: {}", String::from_utf8_lossy(&body));
        if status.is_client_error() || status == http::StatusCode::SERVICE_UNAVAILABLE {
            return Err(Error::Refused { message });
        }
        Err(Error::Lost { message })
    }
}

#[async_trait]
impl Log for HttpLog {
    async fn append(&self, data: Bytes) -> Result<u64, Error> {
        let request = http::Request::post(format!("{}/v1/records", self.base))
            .header(http::header::CONTENT_TYPE, "application/octet-stream")
            .body(Full::new(data))
            .map_err(refused)?;
        let body = self.call(request, self.timeout).await?;
        let appended: AppendResponse = serde_json::from_slice(&body).map_err(lost)?;
        Ok(appended.offset)
    }

    async fn read(&self, from: u64, limit: usize, wait: Duration) -> Result<Batch, Error> {
        let wait_ms = wait.as_millis();
        let address = format!("{}/v1/records?from={from}&limit={limit}&wait_ms={wait_ms}", self.base);
        let request = http::Request::get(address).body(Full::default()).map_err(refused)?;
        let body = self.call(request, self.timeout + wait).await?;
        let page: ReadResponse = serde_json::from_slice(&body).map_err(lost)?;
        let entries: Result<Vec<LogEntry>, Error> = page.records.into_iter().map(EncodedEntry::decode).collect();
        Ok(Batch {
            earliest: page.earliest,
            next: page.next,
            entries: entries?,
        })
    }
}

impl EncodedEntry {
    fn decode(self) -> Result<LogEntry, Error> {
        let data = STANDARD.decode(&self.data).map_err(lost)?;
        Ok(LogEntry {
            offset: self.offset,
            data: data.into(),
        })
    }
}

fn lost(error: impl std::fmt::Display) -> Error {
    Error::Lost {
        message: error.to_string(),
    }
}

fn refused(error: impl std::fmt::Display) -> Error {
    Error::Refused {
        message: error.to_string(),
    }
}
