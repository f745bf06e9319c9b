//! What a stand-in engine's whole answer to a prompt looks like.

use std::fmt::Write as _;

use sha2::{Digest as _, Sha256};

/// The tokens that belong to `prompt`, and to no other prompt.
pub(crate) fn whole_answer(prompt: &str, tokens: u32) -> String {
    let mark = hex::encode(&Sha256::digest(prompt.as_bytes())[..4]);
    (0..tokens).fold(String::new(), |mut text, index| {
        let _infallible = write!(text, "{mark}:{index} ");
        text
    })
}

/// The text of all pieces in a stream of events.
pub(crate) fn streamed_text(events: &str) -> String {
    let data = events.lines().filter_map(|line| line.strip_prefix("data: "));
    let pieces = data.filter_map(|data| serde_json::from_str::<serde_json::Value>(data).ok());
    pieces
        .filter_map(|piece| Some(piece["choices"][0]["delta"]["content"].as_str()?.to_owned()))
        .collect()
}

/// Whether a stream of events says that it is whole.
pub(crate) fn says_whole(events: &str) -> bool {
    events.ends_with("data: [DONE]\n\n")
}
