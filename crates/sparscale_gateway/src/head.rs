//! The head of a request: what the entry needs of it, and what goes on to a target.

use std::time::Duration;

use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use http::request::Parts;
use http::uri::PathAndQuery;
use http::{Method, Uri};

use crate::dialect::Dialect;

/// Headers that belong to one connection and never go on.
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

/// Tokens of a request, as far as its caller tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct Size {
    /// Tokens of the prompt.
    pub(crate) prompt: u32,
    /// Most tokens of the answer.
    pub(crate) answer_limit: u32,
    /// The caller's guess at the tokens of the answer.
    pub(crate) answer_guess: Option<u32>,
}

/// Bytes of a head as it came: the library drops the spaces and line ends, which count four to a line.
pub(crate) fn length_of(parts: &Parts) -> usize {
    const ENDS: usize = 4;
    let lines = parts
        .headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + ENDS);
    let line = parts.method.as_str().len() + parts.uri.to_string().len() + ENDS + "HTTP/1.1".len();
    line + lines.sum::<usize>() + ENDS
}

/// A request's head.
#[derive(Debug, Clone)]
pub(crate) struct Head {
    pub(crate) method: Method,
    pub(crate) path: PathAndQuery,
    pub(crate) host: String,
    /// Headers that go on to a target.
    pub(crate) headers: HeaderMap,
    pub(crate) id: Option<HeaderValue>,
    /// Time that the caller will wait.
    pub(crate) deadline: Option<Duration>,
    /// The caller's key.
    pub(crate) bearer: Option<String>,
    /// Last event of the stream that the caller has.
    pub(crate) last_event: Option<u64>,
    pub(crate) size: Size,
}

impl Head {
    /// Takes a request's head apart.
    pub(crate) fn new(parts: Parts, dialect: &Dialect) -> Self {
        let headers = parts.headers;
        let text = |name: &HeaderName| headers.get(name).and_then(|value| value.to_str().ok());
        let number = |name: &HeaderName| text(name).and_then(|value| value.trim().parse::<u64>().ok());
        let host = parts.uri.host().or_else(|| text(&header::HOST)).unwrap_or_default();
        Self {
            host: host.to_owned(),
            id: headers.get(&dialect.request_id).cloned(),
            deadline: number(&dialect.deadline).map(Duration::from_millis),
            bearer: text(&header::AUTHORIZATION).and_then(bearer),
            last_event: number(&HeaderName::from_static("last-event-id")),
            size: size(text(&dialect.sizes), number(&dialect.answer_guess)),
            path: path_of(&parts.uri),
            method: parts.method,
            headers: to_target(&headers, dialect),
        }
    }

    /// The request's id, for logs.
    pub(crate) fn id_text(&self) -> &str {
        self.id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or_default()
    }
}

fn path_of(uri: &Uri) -> PathAndQuery {
    let path = uri.path_and_query().cloned();
    path.unwrap_or_else(|| PathAndQuery::from_static("/"))
}

fn bearer(value: &str) -> Option<String> {
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim().to_owned())
}

fn size(sizes: Option<&str>, answer_guess: Option<u64>) -> Size {
    let mut numbers = sizes.unwrap_or_default().split(',');
    let mut next = || numbers.next().and_then(|part| part.trim().parse().ok()).unwrap_or(0);
    Size {
        prompt: next(),
        answer_limit: next(),
        answer_guess: answer_guess.map(|tokens| u32::try_from(tokens).unwrap_or(u32::MAX)),
    }
}

/// The headers without those of the connection, without the key, and without those that only the entry sets.
fn to_target(headers: &HeaderMap, dialect: &Dialect) -> HeaderMap {
    let mut kept = without_hop_by_hop(headers);
    for name in [
        &header::AUTHORIZATION,
        &header::CONTENT_LENGTH,
        &dialect.workspace,
        &dialect.expected_target,
        &dialect.deadline,
        &dialect.urgency,
        &dialect.expected_weights,
    ] {
        kept.remove(name);
    }
    kept
}

/// The headers without those that belong to one connection, named ones included.
pub(crate) fn without_hop_by_hop(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    for value in headers.get_all(header::CONNECTION) {
        for name in value.to_str().unwrap_or_default().split(',') {
            if let Ok(name) = HeaderName::from_bytes(name.trim().as_bytes()) {
                kept.remove(name);
            }
        }
    }
    for name in HOP_BY_HOP {
        kept.remove(name);
    }
    kept.remove(HeaderName::from_static("keep-alive"));
    kept.remove(HeaderName::from_static("proxy-connection"));
    kept
}
