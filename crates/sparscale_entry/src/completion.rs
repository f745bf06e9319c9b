//! Chat completions: JSON requests of callers and responses to them, in the customary format.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use sparscale_quarantine::{Fingerprint, MAX_SHARED_PARTS};

/// Average number of prompt bytes per token.
const BYTES_PER_TOKEN: usize = 4;
/// Response length expected when the caller sets no maximum, in tokens.
const DEFAULT_ANSWER_TOKENS: u32 = 256;

/// The members of a request that the entry needs; the body is forwarded unchanged.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct Request {
    pub(crate) model: String,
    pub(crate) messages: Vec<Message>,
    #[serde(default)]
    pub(crate) stream: bool,
    pub(crate) max_tokens: Option<u32>,
}

/// One message of the conversation.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct Message {
    pub(crate) content: String,
}

/// One chunk of a streamed response of the engine.
#[derive(Debug, Deserialize)]
struct StreamChunk {
    choices: Vec<ChunkChoice>,
}

#[derive(Debug, Deserialize)]
struct ChunkChoice {
    delta: Delta,
}

#[derive(Debug, Deserialize)]
struct Delta {
    #[serde(default)]
    content: String,
}

#[derive(Serialize)]
struct Completion<'a> {
    id: &'a str,
    object: &'static str,
    model: &'a str,
    choices: [CompletionChoice<'a>; 1],
}

#[derive(Serialize)]
struct CompletionChoice<'a> {
    index: u32,
    message: CompletionMessage<'a>,
    finish_reason: &'static str,
}

#[derive(Serialize)]
struct CompletionMessage<'a> {
    role: &'static str,
    content: &'a str,
}

impl Request {
    pub(crate) fn parse(body: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(body)
    }

    pub(crate) fn prompt(&self) -> Vec<u8> {
        self.messages
            .iter()
            .flat_map(|message| message.content.bytes())
            .collect()
    }

    /// Fingerprints of all messages but the last, which belongs to the request itself.
    pub(crate) fn shared_parts(&self) -> Vec<Fingerprint> {
        let shared = self.messages.split_last().map_or(&[][..], |(_own, shared)| shared);
        let fingerprints = shared
            .iter()
            .map(|message| Fingerprint::of_part(message.content.as_bytes()));
        fingerprints.take(MAX_SHARED_PARTS).collect()
    }

    pub(crate) fn answer_tokens(&self) -> u32 {
        self.max_tokens.unwrap_or(DEFAULT_ANSWER_TOKENS)
    }
}

/// Estimated length of `prompt`, in tokens.
pub(crate) fn prompt_tokens(prompt: &[u8]) -> u32 {
    (prompt.len() / BYTES_PER_TOKEN) as u32
}

/// Text that a chunk adds to the response.
pub(crate) fn chunk_text(chunk: &[u8]) -> Result<String, serde_json::Error> {
    let chunk: StreamChunk = serde_json::from_slice(chunk)?;
    Ok(chunk.choices.into_iter().map(|choice| choice.delta.content).collect())
}

/// The complete response, for a caller that did not request a stream.
pub(crate) fn full_completion(id: &str, model: &str, content: &str) -> String {
    let completion = Completion {
        id,
        object: "chat.completion",
        model,
        choices: [CompletionChoice {
            index: 0,
            message: CompletionMessage {
                role: "assistant",
                content,
            },
            finish_reason: "stop",
        }],
    };
    // Serializing plain data into memory cannot fail.
    serde_json::to_string(&completion).unwrap_or_default()
}

/// A server-sent event that carries `data`.
pub(crate) fn event(data: &[u8]) -> Bytes {
    [b"data: ", data, b"\n\n"].concat().into()
}

/// The event that ends a complete stream.
pub(crate) fn done_event() -> Bytes {
    Bytes::from_static(b"data: [DONE]\n\n")
}

/// The event that ends an incomplete stream.
pub(crate) fn error_event(problem: &str) -> Bytes {
    Bytes::from(format!("event: error\ndata: {problem}\n\n"))
}
