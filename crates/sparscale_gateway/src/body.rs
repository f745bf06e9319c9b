//! Bodies of requests and answers.

use std::io;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;

/// Body of an answer.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;
