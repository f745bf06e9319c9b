//! Ed25519 signatures of operators on the versions that they publish, approve and roll.

use ed25519_dalek::{Signer as _, SigningKey, VerifyingKey};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::document::Operator;
use crate::hash::Hash;

/// Action that an operator authorizes with a signature.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Publishes the content of a version.
    Publish,
    /// Approves the content as a second operator.
    Approve,
    /// Activates the version.
    Roll,
}

/// The statement that is signed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Statement {
    /// Action that is authorized.
    pub action: Action,
    /// Name of the operator who signs.
    pub author: String,
    /// Version that the action applies to.
    pub version: u64,
    /// Version that it replaces.
    pub base: u64,
    /// Hash of the version's complete content.
    pub hash: Hash,
}

/// An ed25519 signature.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Signature(ed25519_dalek::Signature);

/// An invalid signature.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The author is not among the operators.
    #[snafu(display("{author} is not an operator of the active bundle; add the operator's key to a bundle first"))]
    UnknownOperator {
        /// Author of the statement.
        author: String,
    },
    /// The signature does not match the statement and the author's key.
    #[snafu(display("signature of {author} is invalid; sign with the key that the bundle lists for {author}"))]
    InvalidSignature {
        /// Author of the statement.
        author: String,
    },
}

/// Generates a random key pair; the secret key must stay with the operator.
pub fn generate_key() -> SigningKey {
    SigningKey::from_bytes(&rand::random())
}

/// Parses a secret key from 64 hexadecimal digits.
pub fn parse_secret_key(text: &str) -> Option<SigningKey> {
    let mut bytes = [0; 32];
    hex::decode_to_slice(text.trim(), &mut bytes).ok()?;
    Some(SigningKey::from_bytes(&bytes))
}

/// Parses a public key from 64 hexadecimal digits.
pub fn parse_public_key(text: &str) -> Option<VerifyingKey> {
    let mut bytes = [0; 32];
    hex::decode_to_slice(text.trim(), &mut bytes).ok()?;
    VerifyingKey::from_bytes(&bytes).ok()
}

/// Encodes the public key of `key` as 64 hexadecimal digits, the form used in settings and bundles.
pub fn encode_public_key(key: &SigningKey) -> String {
    hex::encode(key.verifying_key().as_bytes())
}

/// Signs `statement` with `key`.
pub fn sign(statement: &Statement, key: &SigningKey) -> Signature {
    Signature(key.sign(&signed_message(statement)))
}

/// Verifies `signature` over `statement` with the key of its author in `operators`.
pub fn verify(statement: &Statement, signature: &Signature, operators: &[Operator]) -> Result<(), Error> {
    let author = &statement.author;
    let operator = operators.iter().find(|operator| operator.name == *author);
    let key = operator.and_then(|operator| parse_public_key(&operator.key));
    let Some(key) = key else {
        return UnknownOperatorSnafu { author }.fail();
    };
    key.verify_strict(&signed_message(statement), &signature.0)
        .map_err(|_invalid| Error::InvalidSignature { author: author.clone() })
}

fn signed_message(statement: &Statement) -> Vec<u8> {
    // Serializing plain data into memory cannot fail; no valid statement has an empty encoding.
    let encoded = postcard::to_stdvec(statement).unwrap_or_default();
    [b"sparscale statement 1".as_slice(), &encoded].concat()
}
