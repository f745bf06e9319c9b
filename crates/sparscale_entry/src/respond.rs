//! HTTP responses to callers: event streams, complete responses, and responses of plain services.

use std::collections::VecDeque;

use bytes::Bytes;
use http::{Response, StatusCode, header};
use http_body_util::{BodyExt as _, StreamBody};
use hyper::body::Frame;
use sparscale_intake::{Body, full_body};

use crate::completion;
use crate::limits::InFlightGuard;
use crate::problem::Problem;
use crate::response_stream::ResponseStream;

/// Event stream that starts with the chunks in `first`.
pub(crate) fn stream_response(stream: ResponseStream, first: &[Bytes], guard: InFlightGuard) -> Response<Body> {
    let id = stream.request_id();
    let state = EventStream {
        stream,
        pending: first.iter().map(|chunk| completion::event(chunk)).collect(),
        is_over: false,
        _guard: guard,
    };
    let events = futures::stream::unfold(state, |mut state| async move {
        let event = state.next().await?;
        Some((Ok(Frame::data(event)), state))
    });
    let body = StreamBody::new(events).boxed_unsync();
    let mut response = Response::new(body);
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static("text/event-stream"),
    );
    headers.insert(header::CACHE_CONTROL, header::HeaderValue::from_static("no-cache"));
    if let Ok(id) = header::HeaderValue::from_str(&id) {
        headers.insert("x-request-id", id);
    }
    response
}

/// State of an event stream; it keeps the request counted as in flight.
struct EventStream {
    stream: ResponseStream,
    pending: VecDeque<Bytes>,
    is_over: bool,
    _guard: InFlightGuard,
}

impl EventStream {
    async fn next(&mut self) -> Option<Bytes> {
        if let Some(event) = self.pending.pop_front() {
            return Some(event);
        }
        if self.is_over {
            return None;
        }
        match self.stream.next().await {
            Some(Ok(chunk)) => Some(completion::event(&chunk)),
            Some(Err(problem)) => {
                self.is_over = true;
                Some(completion::error_event(&problem.to_json()))
            }
            None => {
                self.is_over = true;
                Some(completion::done_event())
            }
        }
    }
}

pub(crate) fn response_text(chunks: &[Bytes]) -> Result<String, Problem> {
    let texts: Result<Vec<String>, _> = chunks.iter().map(|chunk| completion::chunk_text(chunk)).collect();
    let texts = texts.map_err(|error| Problem::failed(format!("the engine's answer: {error}")))?;
    Ok(texts.concat())
}

pub(crate) fn service_response(stream: &ResponseStream, body: Bytes) -> Result<Response<Body>, Problem> {
    let mut response = Response::new(full_body(body));
    *response.status_mut() = StatusCode::from_u16(stream.head.status)
        .map_err(|_range| Problem::failed("the target's status is no HTTP status"))?;
    let headers = response.headers_mut();
    if let Ok(content_type) = header::HeaderValue::from_str(&stream.head.content_type) {
        headers.insert(header::CONTENT_TYPE, content_type);
    }
    if let Ok(id) = header::HeaderValue::from_str(&stream.request_id()) {
        headers.insert("x-request-id", id);
    }
    Ok(response)
}

pub(crate) fn json_response(json: String) -> Response<Body> {
    let mut response = Response::new(full_body(json));
    let json = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}
