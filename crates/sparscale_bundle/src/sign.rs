//! Operators' signatures over what they publish, approve and roll.

use ed25519_dalek::{Signer as _, SigningKey, VerifyingKey};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::document::Operator;
use crate::hash::Hash;

/// What an operator says by signing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Act {
    /// This is the content of that version.
    Publish,
    /// A second operator agrees to that content.
    Approve,
    /// That version shall be in force.
    Roll,
}

/// The statement that is signed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Statement {
    /// What is said.
    pub act: Act,
    /// Who says it.
    pub author: String,
    /// Version that it is about.
    pub version: u64,
    /// Version that it replaces.
    pub base: u64,
    /// Hash of the version's whole content.
    pub hash: Hash,
}

/// An ed25519 signature.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Signature(ed25519_dalek::Signature);

/// A signature that does not hold.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The author is not among the operators.
    #[snafu(display("{author} is not an operator; add the key to the bundle in force first"))]
    Stranger {
        /// Name on the statement.
        author: String,
    },
    /// The signature does not fit the statement.
    #[snafu(display("the signature of {author} does not fit; sign with the key that the bundle lists"))]
    Mismatch {
        /// Name on the statement.
        author: String,
    },
}

/// A new key pair; the secret half stays with the operator.
pub fn new_key() -> SigningKey {
    SigningKey::from_bytes(&rand::random())
}

/// The secret key written as 64 hexadecimal digits in `text`.
pub fn secret_key(text: &str) -> Option<SigningKey> {
    let mut bytes = [0; 32];
    hex::decode_to_slice(text.trim(), &mut bytes).ok()?;
    Some(SigningKey::from_bytes(&bytes))
}

/// The public key written as 64 hexadecimal digits in `text`.
pub fn public_key(text: &str) -> Option<VerifyingKey> {
    let mut bytes = [0; 32];
    hex::decode_to_slice(text.trim(), &mut bytes).ok()?;
    VerifyingKey::from_bytes(&bytes).ok()
}

/// The public half of `key` as operators list it.
pub fn public_text(key: &SigningKey) -> String {
    hex::encode(key.verifying_key().as_bytes())
}

/// Signs `statement`.
pub fn sign(statement: &Statement, key: &SigningKey) -> Signature {
    Signature(key.sign(&message(statement)))
}

/// Checks `signature` over `statement` with the key that `operators` list for its author.
pub fn verify(statement: &Statement, signature: &Signature, operators: &[Operator]) -> Result<(), Error> {
    let author = &statement.author;
    let listed = operators.iter().find(|operator| operator.name == *author);
    let key = listed.and_then(|operator| public_key(&operator.key));
    let Some(key) = key else {
        return StrangerSnafu { author }.fail();
    };
    key.verify_strict(&message(statement), &signature.0)
        .map_err(|_mismatch| Error::Mismatch { author: author.clone() })
}

fn message(statement: &Statement) -> Vec<u8> {
    // Serialising plain data into memory has no way to fail; an empty message verifies for nobody's statement.
    let encoded = postcard::to_stdvec(statement).unwrap_or_default();
    [b"sparscale statement 1".as_slice(), &encoded].concat()
}
