//! Requests that crash the targets which run them, recognised when they come again.

mod fingerprint;

pub use fingerprint::Fingerprint;
