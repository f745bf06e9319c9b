//! Parses the head of a request: the values that the entry uses, and the headers that are forwarded to a target.

use std::time::Duration;

use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use http::request::Parts;
use http::uri::PathAndQuery;
use http::{Method, Uri};
use sparscale_catalog::Route;
use sparscale_quarantine::MAX_SHARED_PARTS;

use crate::header_names::HeaderNames;

/// Headers that apply to a single connection and are never forwarded.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::EXPECT,
];

/// Token counts of a request as stated by its caller; 0 where none is stated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct TokenCounts {
    /// Tokens of the prompt.
    pub(crate) prompt: u32,
    /// Maximum number of output tokens.
    pub(crate) output_limit: u32,
    /// Number of output tokens that the caller expects.
    pub(crate) output_guess: Option<u32>,
}

/// Bytes of a head as it was received. The HTTP library drops separators and line ends; they count as four bytes a
/// line.
pub(crate) fn head_bytes(parts: &Parts) -> usize {
    const SEPARATOR_BYTES: usize = 4;
    let header_lines = parts
        .headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + SEPARATOR_BYTES);
    let request_line = parts.method.as_str().len() + parts.uri.to_string().len() + SEPARATOR_BYTES + "HTTP/1.1".len();
    request_line + header_lines.sum::<usize>() + SEPARATOR_BYTES
}

/// The parsed head of a request.
#[derive(Debug, Clone)]
pub(crate) struct Head {
    pub(crate) method: Method,
    pub(crate) path: PathAndQuery,
    pub(crate) host: String,
    /// Headers to forward to a target.
    pub(crate) headers: HeaderMap,
    pub(crate) id: Option<HeaderValue>,
    /// Time that the caller still waits for the response, if it sent a deadline.
    pub(crate) remaining: Option<Duration>,
    /// Key of the caller.
    pub(crate) bearer_key: Option<String>,
    /// Id of the last event that the caller has received, to resume a stream.
    pub(crate) last_event_id: Option<u64>,
    pub(crate) token_counts: TokenCounts,
    /// Ids of the parts of the prompt that other requests share with this one.
    pub(crate) shared_parts: Vec<String>,
}

impl Head {
    /// Parses the head of a request.
    pub(crate) fn new(parts: Parts, dialect: &HeaderNames) -> Self {
        let headers = parts.headers;
        let text = |name: &HeaderName| headers.get(name).and_then(|value| value.to_str().ok());
        let number = |name: &HeaderName| text(name).and_then(|value| value.trim().parse::<u64>().ok());
        let host = parts.uri.host().or_else(|| text(&header::HOST)).unwrap_or_default();
        Self {
            host: host.to_owned(),
            id: headers.get(&dialect.request_id).cloned(),
            remaining: number(&dialect.deadline).map(Duration::from_millis),
            bearer_key: text(&header::AUTHORIZATION).and_then(parse_bearer_key),
            last_event_id: number(&HeaderName::from_static("last-event-id")),
            token_counts: parse_token_counts(text(&dialect.token_counts), number(&dialect.output_guess)),
            shared_parts: parse_shared_parts(text(&dialect.prompt_parts)),
            path: path_of(&parts.uri),
            method: parts.method,
            headers: target_headers(&headers, dialect),
        }
    }

    /// Id of the request for the log; empty if there is none.
    pub(crate) fn id_text(&self) -> &str {
        self.id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or_default()
    }

    /// How long the request may take on `route`, from its arrival.
    pub(crate) fn timeout(&self, route: &Route) -> Duration {
        self.remaining
            .map_or(route.timeout, |remaining| remaining.min(route.timeout))
    }
}

fn path_of(uri: &Uri) -> PathAndQuery {
    let path = uri.path_and_query().cloned();
    path.unwrap_or_else(|| PathAndQuery::from_static("/"))
}

fn parse_bearer_key(value: &str) -> Option<String> {
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim().to_owned())
}

fn parse_token_counts(sizes: Option<&str>, output_guess: Option<u64>) -> TokenCounts {
    let mut numbers = sizes.unwrap_or_default().split(',');
    let mut next = || numbers.next().and_then(|part| part.trim().parse().ok()).unwrap_or(0);
    TokenCounts {
        prompt: next(),
        output_limit: next(),
        output_guess: output_guess.map(|tokens| u32::try_from(tokens).unwrap_or(u32::MAX)),
    }
}

/// Parses the parts of a prompt, without the last one, which belongs to the request or to its session.
fn parse_shared_parts(parts: Option<&str>) -> Vec<String> {
    let Some((shared, _own)) = parts.and_then(|parts| parts.rsplit_once(',')) else {
        return Vec::new();
    };
    let id_of = |part: &str| part.split(':').next().unwrap_or_default().trim().to_ascii_lowercase();
    let ids = shared.split(',').map(id_of).filter(|id| !id.is_empty());
    ids.take(MAX_SHARED_PARTS).collect()
}

/// Headers to forward to a target: without hop-by-hop headers, the caller's key, and headers that only the entry sets.
fn target_headers(headers: &HeaderMap, dialect: &HeaderNames) -> HeaderMap {
    let mut forwarded = without_hop_by_hop(headers);
    for name in [
        &header::AUTHORIZATION,
        &header::CONTENT_LENGTH,
        &dialect.workspace,
        &dialect.expected_target,
        &dialect.deadline,
        &dialect.urgency,
        &dialect.expected_weights,
    ] {
        forwarded.remove(name);
    }
    forwarded
}

/// Removes the hop-by-hop headers, including those named in `Connection`.
pub(crate) fn without_hop_by_hop(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = headers.clone();
    for value in headers.get_all(header::CONNECTION) {
        for name in value.to_str().unwrap_or_default().split(',') {
            if let Ok(name) = HeaderName::from_bytes(name.trim().as_bytes()) {
                forwarded.remove(name);
            }
        }
    }
    for name in HOP_BY_HOP {
        forwarded.remove(name);
    }
    forwarded.remove(HeaderName::from_static("keep-alive"));
    forwarded.remove(HeaderName::from_static("proxy-connection"));
    forwarded
}
