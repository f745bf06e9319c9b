//! The type of response bodies.

use std::io;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt as _, Full};

/// Body of a response.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// A body with all of its bytes.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}
