//! Rejections and failures in the form that callers receive: problem details (RFC 9457) with an outcome.

use std::time::Duration;

use http::{Response, StatusCode, header};
use serde::Serialize;
use sparscale_intake::{Body, full_body};

/// Outcome of a request that has no complete response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Outcome {
    /// It did not run and never will.
    NotRun,
    /// It may have run; it will not be run again.
    Unknown,
    /// It ran, at least in part, but its response is incomplete.
    Failed,
}

/// A rejection or failure.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Problem {
    pub(crate) status: StatusCode,
    pub(crate) outcome: Outcome,
    pub(crate) title: &'static str,
    pub(crate) detail: String,
    /// Delay before a retry; none if a retry cannot succeed.
    pub(crate) retry_after: Option<Duration>,
    /// Id for querying the outcome of the request.
    pub(crate) request_id: Option<String>,
}

/// The members of RFC 9457, with extension members.
#[derive(Serialize)]
struct Details<'a> {
    r#type: &'static str,
    title: &'a str,
    status: u16,
    detail: &'a str,
    outcome: Outcome,
    #[serde(skip_serializing_if = "Option::is_none")]
    request_id: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_seconds: Option<f64>,
}

impl Problem {
    pub(crate) fn not_run(status: StatusCode, title: &'static str, detail: impl Into<String>) -> Self {
        Self::new(status, Outcome::NotRun, title, detail.into())
    }

    pub(crate) fn unknown(detail: impl Into<String>) -> Self {
        let title = "It is unknown whether the request ran";
        Self::new(StatusCode::BAD_GATEWAY, Outcome::Unknown, title, detail.into())
    }

    pub(crate) fn failed(detail: impl Into<String>) -> Self {
        let title = "The request ran, but its response is incomplete";
        Self::new(StatusCode::BAD_GATEWAY, Outcome::Failed, title, detail.into())
    }

    fn new(status: StatusCode, outcome: Outcome, title: &'static str, detail: String) -> Self {
        Self {
            status,
            outcome,
            title,
            detail,
            retry_after: None,
            request_id: None,
        }
    }

    #[must_use]
    pub(crate) fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    #[must_use]
    pub(crate) fn request_id(mut self, id: String) -> Self {
        self.request_id = Some(id);
        self
    }

    /// The JSON form, which is also sent as an event inside a stream that has begun.
    pub(crate) fn to_json(&self) -> String {
        let details = Details {
            r#type: "about:blank",
            title: self.title,
            status: self.status.as_u16(),
            detail: &self.detail,
            outcome: self.outcome,
            request_id: self.request_id.as_deref(),
            retry_after_seconds: self.retry_after.map(|after| after.as_secs_f64()),
        };
        // Serializing plain data into memory cannot fail.
        serde_json::to_string(&details).unwrap_or_default()
    }

    pub(crate) fn to_response(&self) -> Response<Body> {
        let mut response = Response::new(full_body(self.to_json()));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            header::HeaderValue::from_static("application/problem+json"),
        );
        if let Some(after) = self.retry_after {
            // The header holds whole seconds; rounding up makes the retry slightly later than necessary.
            let seconds = after.as_secs_f64().ceil().max(1.0) as u64;
            headers.insert(header::RETRY_AFTER, header::HeaderValue::from(seconds));
        }
        if let Some(id) = self
            .request_id
            .as_ref()
            .and_then(|id| header::HeaderValue::from_str(id).ok())
        {
            headers.insert("x-request-id", id);
        }
        response
    }
}
