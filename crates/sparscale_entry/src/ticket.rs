//! Authenticated tokens issued to callers: tickets for requests that may not be repeated, and request ids.
//!
//! All entries share one secret, so that every entry accepts the tokens of the others without coordination per request.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, Mac as _};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use snafu::Snafu;
use sparscale_wire::AttemptId;

/// Prefix of every ticket; tells tickets from plain keys.
pub(crate) const TICKET_PREFIX: &str = "ticket1.";
/// Prefix of every request id.
const REQUEST_PREFIX: &str = "request1.";

/// Binds one request to one agent incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Ticket {
    pub(crate) workspace: String,
    pub(crate) service: String,
    pub(crate) target: String,
    pub(crate) incarnation: u64,
    /// Unix time in seconds from which the ticket is rejected.
    pub(crate) expires: u64,
    /// Makes tickets for the same target distinct.
    pub(crate) nonce: u64,
}

/// Identifies a request, so that a caller can query its outcome.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RequestName {
    pub(crate) workspace: String,
    pub(crate) target: String,
    pub(crate) attempt: AttemptId,
    /// Incarnation of the agent that it was sent to; 0 if unknown.
    pub(crate) incarnation: u64,
}

/// Why a token cannot be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub(crate) enum Error {
    /// It was not issued by this system or was modified.
    #[snafu(display("the text was not issued here or was changed; send it exactly as it was issued"))]
    Forged,
    /// It has expired.
    #[snafu(display("the ticket has expired"))]
    Expired,
}

/// Issues and verifies tokens, authenticated by HMAC.
#[derive(Clone)]
pub(crate) struct Seal {
    mac: Hmac<Sha256>,
}

impl Seal {
    pub(crate) fn new(secret: &str) -> Self {
        // HMAC accepts keys of any length, so the fallback to the zero key is never used.
        let mac = Hmac::new_from_slice(secret.as_bytes())
            .unwrap_or_else(|_length| Hmac::new(&hmac::digest::Key::<Hmac<Sha256>>::default()));
        Self { mac }
    }

    pub(crate) fn issue_ticket(&self, ticket: &Ticket) -> String {
        self.seal(TICKET_PREFIX, ticket)
    }

    /// Verifies a ticket and its expiry by this process's clock. Clock differences do no harm, because the agent keeps
    /// outcomes well beyond the expiry.
    pub(crate) fn open_ticket(&self, text: &str, now: SystemTime) -> Result<Ticket, Error> {
        let ticket: Ticket = self.open(TICKET_PREFIX, text)?;
        if unix_seconds(now) >= ticket.expires {
            return Err(Error::Expired);
        }
        Ok(ticket)
    }

    pub(crate) fn issue_request_id(&self, name: &RequestName) -> String {
        self.seal(REQUEST_PREFIX, name)
    }

    pub(crate) fn open_request_id(&self, text: &str) -> Result<RequestName, Error> {
        self.open(REQUEST_PREFIX, text)
    }

    fn seal<T: Serialize>(&self, prefix: &str, value: &T) -> String {
        // Serializing plain data into memory cannot fail.
        let content = postcard::to_stdvec(value).unwrap_or_default();
        let tag = self.tag(prefix, &content);
        let sealed = [content.as_slice(), &tag].concat();
        format!("{prefix}{}", URL_SAFE_NO_PAD.encode(sealed))
    }

    fn open<T: DeserializeOwned>(&self, prefix: &str, text: &str) -> Result<T, Error> {
        let encoded = text.strip_prefix(prefix).ok_or(Error::Forged)?;
        let sealed = URL_SAFE_NO_PAD.decode(encoded).map_err(|_format| Error::Forged)?;
        let (content, tag) = sealed.split_last_chunk::<TAG_BYTES>().ok_or(Error::Forged)?;
        let mut mac = self.mac.clone();
        mac.update(prefix.as_bytes());
        mac.update(content);
        mac.verify_truncated_left(tag).map_err(|_mismatch| Error::Forged)?;
        postcard::from_bytes(content).map_err(|_format| Error::Forged)
    }

    fn tag(&self, prefix: &str, content: &[u8]) -> [u8; TAG_BYTES] {
        let mut mac = self.mac.clone();
        mac.update(prefix.as_bytes());
        mac.update(content);
        let full: [u8; 32] = mac.finalize().into_bytes().into();
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&full[..TAG_BYTES]);
        tag
    }
}

/// Size of the authentication tag, in bytes.
const TAG_BYTES: usize = 16;

/// Unix time, in seconds since 1970.
pub(crate) fn unix_seconds(time: SystemTime) -> u64 {
    time.duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO).as_secs()
}
