//! Sealed texts that entries hand to callers: tickets for requests that may not be repeated, and request ids.
//!
//! All entries share one secret, so any entry accepts what another has issued and nothing is agreed per request.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, Mac as _};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use snafu::Snafu;
use sparscale_wire::AttemptId;

/// Start of every ticket; a plain key does not begin with it.
pub(crate) const TICKET_PREFIX: &str = "ticket1.";
/// Start of every request id.
const REQUEST_PREFIX: &str = "request1.";

/// Binds one request to one agent incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Ticket {
    pub(crate) workspace: String,
    pub(crate) service: String,
    pub(crate) target: String,
    pub(crate) incarnation: u64,
    /// Seconds since 1970 from which the ticket is refused.
    pub(crate) expires: u64,
    /// Tells tickets of the same target apart.
    pub(crate) nonce: u64,
}

/// Names a request whose outcome is unknown, so that a caller can ask about it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RequestName {
    pub(crate) workspace: String,
    pub(crate) target: String,
    pub(crate) attempt: AttemptId,
    /// Incarnation of the agent that it went to, 0 if not known.
    pub(crate) incarnation: u64,
}

/// A text that cannot be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub(crate) enum Error {
    /// It was not issued by this system, or was changed.
    #[snafu(display("the text was not issued here or was changed; send it exactly as it was issued"))]
    Forged,
    /// It is too old.
    #[snafu(display("the ticket has expired"))]
    Expired,
}

/// Seals and opens texts.
#[derive(Clone)]
pub(crate) struct Seal {
    mac: Hmac<Sha256>,
}

impl Seal {
    pub(crate) fn new(secret: &str) -> Self {
        // HMAC takes keys of any length; the empty key stands for an error that cannot happen.
        let mac = Hmac::new_from_slice(secret.as_bytes())
            .unwrap_or_else(|_length| Hmac::new(&hmac::digest::Key::<Hmac<Sha256>>::default()));
        Self { mac }
    }

    pub(crate) fn issue_ticket(&self, ticket: &Ticket) -> String {
        self.seal(TICKET_PREFIX, ticket)
    }

    /// Opens a ticket. `now` is this process's clock; what the agent keeps outlasts the ticket by a wide margin.
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
        // Serialising plain data into memory has no way to fail.
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

/// Bytes of the authentication tag.
const TAG_BYTES: usize = 16;

/// Seconds since 1970.
pub(crate) fn unix_seconds(time: SystemTime) -> u64 {
    time.duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO).as_secs()
}
