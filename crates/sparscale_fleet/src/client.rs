//! A small HTTP client for tests.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client as HyperClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;

/// Time after which a call counts as hung.
const TIMEOUT: Duration = Duration::from_mins(1);

/// An answer.
#[derive(Debug, Clone)]
pub struct Reply {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// An answer whose body still comes.
#[derive(Debug)]
pub struct StreamReply {
    /// Status.
    pub status: StatusCode,
    body: Incoming,
}

/// Calls HTTP servers on loopback.
#[derive(Debug, Clone)]
pub struct Client {
    client: HyperClient<HttpConnector, Full<Bytes>>,
}

impl Default for Client {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self {
            client: HyperClient::builder(TokioExecutor::new()).build(connector),
        }
    }
}

impl Client {
    /// Sends a request and reads the whole answer; an error is told as text.
    pub async fn send(&self, method: Method, url: &str, headers: &[(&str, &str)], body: &str) -> Result<Reply, String> {
        let read = tokio::time::timeout(TIMEOUT, self.exchange(method, url, headers, body)).await;
        read.map_err(|_elapsed| format!("{url}: no answer within {TIMEOUT:?}"))?
    }

    async fn exchange(&self, method: Method, url: &str, headers: &[(&str, &str)], body: &str) -> Result<Reply, String> {
        let response = self.begin(method, url, headers, body).await?;
        let status = response.status();
        let headers = response.headers().clone();
        let body = response
            .into_body()
            .collect()
            .await
            .map_err(|error| format!("{url}: {error}"))?;
        Ok(Reply {
            status,
            headers,
            body: body.to_bytes(),
        })
    }

    /// Sends a request and leaves the body to be read piece by piece.
    pub async fn stream(&self, url: &str, headers: &[(&str, &str)], body: &str) -> Result<StreamReply, String> {
        let response = self.begin(Method::POST, url, headers, body).await?;
        Ok(StreamReply {
            status: response.status(),
            body: response.into_body(),
        })
    }

    async fn begin(
        &self,
        method: Method,
        url: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<http::Response<Incoming>, String> {
        let mut request = Request::builder()
            .method(method)
            .uri(url)
            .header(http::header::CONTENT_TYPE, "application/json");
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(Bytes::copy_from_slice(body.as_bytes())));
        let request = request.map_err(|error| format!("{url}: {error}"))?;
        self.client
            .request(request)
            .await
            .map_err(|error| format!("{url}: {error}"))
    }
}

impl Reply {
    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// The body as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, String> {
        serde_json::from_slice(&self.body).map_err(|error| format!("{error}: {}", self.text()))
    }

    /// The member `name` of a JSON body, as text.
    pub fn member(&self, name: &str) -> Option<String> {
        let value: serde_json::Value = serde_json::from_slice(&self.body).ok()?;
        let member = value.get(name)?;
        Some(member.as_str().map_or_else(|| member.to_string(), str::to_owned))
    }
}

impl StreamReply {
    /// The next piece of the body; none at its end, an error if it breaks off.
    pub async fn next(&mut self) -> Option<Result<Bytes, String>> {
        loop {
            match self.body.frame().await? {
                Ok(frame) => {
                    if let Ok(data) = frame.into_data() {
                        return Some(Ok(data));
                    }
                }
                Err(error) => return Some(Err(error.to_string())),
            }
        }
    }

    /// Everything that is left.
    pub async fn rest(&mut self) -> Result<String, String> {
        let mut text = String::new();
        while let Some(piece) = self.next().await {
            text.push_str(&String::from_utf8_lossy(&piece?));
        }
        Ok(text)
    }
}
