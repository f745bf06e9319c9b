//! Tests the backpressure headers of responses: absent, present and malformed.

use std::time::Duration;

use http::StatusCode;
use http::header::{HeaderMap, HeaderName, HeaderValue};
use sparscale_backpressure::{BackpressureSignal, ParsedHeader, SignalHeaders};
use sparscale_policy::rate_limit::Rate;

fn signal(status: StatusCode, headers: &[(&'static str, &'static str)]) -> BackpressureSignal {
    let headers = headers
        .iter()
        .map(|(name, value)| (HeaderName::from_static(name), HeaderValue::from_static(value)));
    BackpressureSignal::read(status, &headers.collect::<HeaderMap>(), &SignalHeaders::defaults())
}

#[test]
fn no_headers() {
    let signal = signal(StatusCode::OK, &[("content-type", "text/plain")]);
    assert_eq!(
        (signal.rate, signal.backoff, signal.is_draining),
        (ParsedHeader::Absent, None, false)
    );
}

/// Rate limits and draining are parsed in responses of any status, including failures.
#[test]
fn any_status() {
    for status in [
        StatusCode::OK,
        StatusCode::INTERNAL_SERVER_ERROR,
        StatusCode::SERVICE_UNAVAILABLE,
    ] {
        let signal = signal(status, &[("sparscale-rate-limit", "2.5"), ("sparscale-draining", "1")]);
        assert_eq!(signal.rate.value().map(Rate::per_second), Some(2.5), "{status}");
        assert!(signal.is_draining, "{status}");
    }
}

/// `Retry-After` requests a backoff only in a rejection.
#[test]
fn backoff_of_rejections() {
    let backoff = |status| signal(status, &[("retry-after", "0.5")]).backoff;
    assert_eq!(
        backoff(StatusCode::SERVICE_UNAVAILABLE),
        Some(Duration::from_millis(500))
    );
    assert_eq!(backoff(StatusCode::TOO_MANY_REQUESTS), Some(Duration::from_millis(500)));
    assert_eq!(backoff(StatusCode::OK), None);
}

#[test]
fn malformed_headers() {
    for text in ["-1", "NaN", "inf", "1e300", "soon", ""] {
        let signal = signal(
            StatusCode::SERVICE_UNAVAILABLE,
            &[
                ("sparscale-rate-limit", "many"),
                ("retry-after", text),
                ("sparscale-draining", "maybe"),
            ],
        );
        assert_eq!(
            (signal.rate, signal.backoff, signal.is_draining),
            (ParsedHeader::Malformed, None, false),
            "{text}"
        );
    }
}
