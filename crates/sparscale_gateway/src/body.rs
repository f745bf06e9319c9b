//! The type of response bodies.

use std::io;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;

/// Body of a response.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;
