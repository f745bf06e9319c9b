//! HTTP client for tests and the demo; errors are returned as text for assertion messages.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client as HyperClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;

/// A request without a complete response after this time has failed.
const TIMEOUT: Duration = Duration::from_mins(1);

/// A complete HTTP response.
#[derive(Debug, Clone)]
pub struct HttpResponse {
    /// HTTP status code.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// Complete response body.
    pub body: Bytes,
}

/// An HTTP response whose body is read incrementally.
#[derive(Debug)]
pub struct StreamingResponse {
    /// HTTP status code.
    pub status: StatusCode,
    body: Incoming,
}

/// HTTP client for servers on loopback.
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
    /// Sends a request and reads the complete response.
    pub async fn send(
        &self,
        method: Method,
        url: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<HttpResponse, String> {
        let result = tokio::time::timeout(TIMEOUT, self.send_and_read(method, url, headers, body)).await;
        result.map_err(|_elapsed| format!("{url}: no complete response within {TIMEOUT:?}"))?
    }

    async fn send_and_read(
        &self,
        method: Method,
        url: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<HttpResponse, String> {
        let response = self.send_request(method, url, headers, body).await?;
        let status = response.status();
        let headers = response.headers().clone();
        let body = response
            .into_body()
            .collect()
            .await
            .map_err(|error| format!("{url}: {error}"))?;
        Ok(HttpResponse {
            status,
            headers,
            body: body.to_bytes(),
        })
    }

    /// Sends a POST request and returns as soon as the response headers have arrived.
    pub async fn stream(&self, url: &str, headers: &[(&str, &str)], body: &str) -> Result<StreamingResponse, String> {
        let response = self.send_request(Method::POST, url, headers, body).await?;
        Ok(StreamingResponse {
            status: response.status(),
            body: response.into_body(),
        })
    }

    async fn send_request(
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

impl HttpResponse {
    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Parses the body as JSON; the error contains the body.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, String> {
        serde_json::from_slice(&self.body).map_err(|error| format!("{error}: {}", self.text()))
    }

    /// Returns the member `name` of a JSON object body as text, `None` if the body has no such member.
    pub fn member(&self, name: &str) -> Option<String> {
        let value: serde_json::Value = serde_json::from_slice(&self.body).ok()?;
        let member = value.get(name)?;
        Some(member.as_str().map_or_else(|| member.to_string(), str::to_owned))
    }
}

impl StreamingResponse {
    /// Returns the next chunk of the body, `None` at its end and an error if the connection is lost.
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

    /// Reads the remainder of the body.
    pub async fn read_remainder(&mut self) -> Result<String, String> {
        let mut text = String::new();
        while let Some(chunk) = self.next().await {
            text.push_str(&String::from_utf8_lossy(&chunk?));
        }
        Ok(text)
    }
}
