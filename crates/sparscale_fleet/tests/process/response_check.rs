//! Checks for responses of a stand-in engine, whose tokens follow from the prompt.

use std::fmt::Write as _;

use sha2::{Digest as _, Sha256};

/// Returns the first `tokens` tokens for `prompt`; a digest in each makes a mix-up of prompts visible.
pub(crate) fn expected_text(prompt: &str, tokens: u32) -> String {
    let prompt_digest = hex::encode(&Sha256::digest(prompt.as_bytes())[..4]);
    (0..tokens).fold(String::new(), |mut text, index| {
        let _infallible = write!(text, "{prompt_digest}:{index} ");
        text
    })
}

/// Concatenates the text of all chunks in a stream of events.
pub(crate) fn streamed_text(events: &str) -> String {
    let data = events.lines().filter_map(|line| line.strip_prefix("data: "));
    let chunks = data.filter_map(|data| serde_json::from_str::<serde_json::Value>(data).ok());
    chunks
        .filter_map(|chunk| Some(chunk["choices"][0]["delta"]["content"].as_str()?.to_owned()))
        .collect()
}

/// Whether a stream of events ends with the end marker.
pub(crate) fn is_complete(events: &str) -> bool {
    events.ends_with("data: [DONE]\n\n")
}
