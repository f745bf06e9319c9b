//! `sparscale key …`: generates operator keys and hashes caller keys.

use std::fs::OpenOptions;
use std::io::Write as _;
use std::os::unix::fs::OpenOptionsExt as _;
use std::path::Path;

use serde::Serialize;
use snafu::ResultExt as _;
use sparscale_bundle::{KeyHash, sign};

use crate::error::{Error, WriteSnafu};
use crate::report::{Exit, Report};

#[derive(Serialize)]
struct NewKeyReport {
    public_key: String,
}

#[derive(Serialize)]
struct KeyHashReport {
    key_hash: KeyHash,
}

/// Writes a new secret key to `path`, readable only by its owner, and reports the public key.
pub(crate) fn new(path: &Path) -> Result<Report, Error> {
    let key = sign::generate_key();
    let mut options = OpenOptions::new();
    // `create_new` fails if the file exists, so that no key is overwritten.
    options.write(true).create_new(true).mode(0o600);
    let mut file = options.open(path).context(WriteSnafu { path })?;
    writeln!(file, "{}", hex::encode(key.to_bytes())).context(WriteSnafu { path })?;
    let public_key = sign::encode_public_key(&key);
    Ok(Report::new(
        Exit::Success,
        public_key.clone(),
        &NewKeyReport { public_key },
    ))
}

/// Reports the hash of a caller's key in the form that a bundle lists.
pub(crate) fn hash(key: &str) -> Report {
    let key_hash = KeyHash::of(key);
    let text = hex::encode(key_hash.as_bytes());
    Report::new(Exit::Success, text, &KeyHashReport { key_hash })
}
