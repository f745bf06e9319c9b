//! Frames: typed messages, encoded with `postcard` behind a version byte.

use std::fmt;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use sparscale_catalog::{Document, Roster};
use sparscale_journal::BindingKey;
use sparscale_place::switch;
use sparscale_quarantine::Strike;

use crate::peer::{Exchange, GroupLoad, Notices, RankNews, RankOrder};

/// Names one dispatch of one request to one agent; never used twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// Incarnation of the entry that dispatched it.
    pub entry: u64,
    /// Counter of that incarnation.
    pub counter: u64,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{:x}", self.entry, self.counter)
    }
}

/// One message on a stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Opens a stream: what the sender wants.
    Ask(Ask),
    /// Part of an answer to an attempt.
    Answer(Answer),
    /// Answer to [`Ask::Settle`].
    Settlement(Settlement),
    /// A load report, on an [`Ask::Watch`] stream or by itself.
    Load(Load),
    /// Answer to [`Ask::Follow`].
    Relayed(Relayed),
    /// Answer to [`Ask::Order`].
    Report(switch::Report),
    /// Answer to [`Ask::Experts`]: tokens that each expert served since the target started.
    Experts(Vec<u64>),
    /// Answer to [`Ask::Ping`]: the incarnation that answers.
    Pong(u64),
    /// What a peer believes, on an [`Ask::Exchange`] stream; both sides send it.
    Exchange(Exchange),
    /// The catalog that the next [`Frame::Exchange`] of this stream speaks of.
    Catalog(Box<Document>),
    /// The roster that the next [`Frame::Exchange`] of this stream speaks of.
    Roster(Roster),
    /// Targets that ended under requests, on an [`Ask::Exchange`] stream.
    Strikes(Vec<Strike>),
    /// What targets ask of those that send to them, on an [`Ask::Exchange`] stream.
    Notices(Notices),
    /// Loads of a group, on an [`Ask::Exchange`] stream.
    Group(GroupLoad),
    /// An order to a rank, on an [`Ask::Conduct`] stream.
    RankOrder(RankOrder),
    /// What a rank's agent tells its conductor, on an [`Ask::Conduct`] stream.
    RankNews(RankNews),
    /// Answer to [`Ask::Leader`].
    Leader(Sighting),
}

/// What the opener of a stream wants.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Ask {
    /// Run a request and stream its answer.
    Attempt(Box<Attempt>),
    /// Stream the answer of an earlier attempt again, from chunk `from` on.
    Resume {
        /// The earlier attempt.
        attempt: AttemptId,
        /// First chunk that is missing.
        from: u64,
    },
    /// Say what became of an attempt; if it was not handed on, see that it never will be.
    Settle {
        /// The attempt.
        attempt: AttemptId,
        /// Incarnation of the agent that it was sent to; any other cannot tell what became of it.
        incarnation: u64,
    },
    /// Stop an attempt whose caller went away.
    Cancel(AttemptId),
    /// Report load whenever it changes.
    Watch {
        /// Incarnation of the asking entry.
        entry: u64,
        /// Shortest time between two reports, in milliseconds.
        interval_ms: u64,
    },
    /// Relay log records from offset `head` on; with `image`, start with the folded state.
    Follow {
        /// Offset of the first record that is wanted.
        head: u64,
        /// Version of the bundle that the asker has in force; 0 for none.
        version: u64,
    },
    /// Change the expert map.
    Order {
        /// Group that the order is for.
        group: String,
        /// The order, under its fence.
        order: switch::Order,
    },
    /// Say how many tokens each expert served.
    Experts,
    /// Say which incarnation answers.
    Ping,
    /// Tell each other beliefs about the world outside, again and again.
    Exchange,
    /// Take orders about the expert map of a rank from a conductor, and tell it the rank's state and counts.
    Conduct {
        /// Group that the conductor leads.
        group: String,
        /// Rank that the conductor takes the agent's engine for.
        rank: usize,
        /// Offset of the claim by which it leads.
        claim: u64,
    },
    /// Say when a conductor was heard last.
    Leader {
        /// Its group.
        group: String,
    },
}

/// What an agent knows of the conductor of its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sighting {
    /// Claim of the conductor that it heard last; none if it has heard none.
    pub claim: Option<u64>,
    /// Time since then, in milliseconds.
    pub heard_ms: u64,
    /// Time since the agent started, in milliseconds.
    pub up_ms: u64,
}

/// A request on its way to one target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Attempt {
    /// Names this dispatch.
    pub id: AttemptId,
    /// Incarnation of the agent that may run it; 0 for any.
    pub incarnation: u64,
    /// Workspace that pays for it.
    pub workspace: String,
    /// Index of its tier, 0 for the highest.
    pub tier: u8,
    /// Weight of the workspace inside its tier.
    pub weight: u32,
    /// Time left until the caller gives up, in milliseconds.
    pub deadline_ms: u64,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Key under which the agent keeps the outcome for re-sends.
    pub key: Option<BindingKey>,
    /// How long the agent keeps that outcome, in seconds.
    pub keep_seconds: u64,
    /// Estimated prompt length, in tokens.
    pub prompt_tokens: u32,
    /// Estimated answer length, in tokens.
    pub answer_tokens: u32,
    /// What to call.
    pub call: Call,
}

/// What a target is asked to do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Call {
    /// A model answer, as the body of a chat completion request.
    Model {
        /// JSON body.
        body: Bytes,
    },
    /// A call of a plain service.
    Service {
        /// Name of the call.
        name: String,
        /// Media type of the body.
        content_type: String,
        /// Body as the caller sent it.
        body: Bytes,
    },
}

impl Call {
    /// Digest of what is asked for, so that one idempotency key is not used for two requests.
    pub fn digest(&self) -> [u8; 32] {
        let mut digest = Sha256::new();
        match self {
            Self::Model { body } => digest.update(body),
            Self::Service { name, body, .. } => {
                digest.update(name.as_bytes());
                digest.update([0]);
                digest.update(body);
            }
        }
        digest.finalize().into()
    }
}

/// Part of an answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// Attempt that it belongs to; a receiver drops any other.
    pub attempt: AttemptId,
    /// What it says.
    pub part: Part,
}

/// Parts of an answer, in the order in which they come.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Part {
    /// The target answers; chunks follow.
    Head(Head),
    /// A piece of the answer.
    Chunk(Chunk),
    /// The answer is whole.
    End {
        /// Number of chunks that the whole answer has.
        chunks: u64,
        /// Load of the agent now.
        load: Load,
    },
    /// The request was not handed on and never will be.
    Refused(Refusal),
    /// The request was handed on and did not end well.
    Failed(Failure),
}

/// Start of an answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// HTTP status of the target's answer.
    pub status: u16,
    /// Media type of the target's answer.
    pub content_type: String,
    /// Incarnation of the agent, needed to resume.
    pub incarnation: u64,
    /// Load of the agent now.
    pub load: Load,
}

/// A piece of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Number of the chunk, from 0.
    pub sequence: u64,
    /// Its bytes.
    pub data: Bytes,
}

/// A request that was not handed on; the agent keeps a tombstone so that a late copy is refused too.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// When to come back, in milliseconds.
    pub retry_after_ms: u64,
    /// Load of the agent now.
    pub load: Load,
}

/// Why a request was not handed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RefusalReason {
    /// The agent is stopping or its box is leaving.
    Draining,
    /// The queue is full.
    QueueFull,
    /// The wait would outlast the deadline.
    TooLate,
    /// The ledger cannot take another entry without forgetting one.
    LedgerFull,
    /// Another incarnation of the agent was meant.
    OtherIncarnation,
    /// The attempt was refused before; a tombstone stands.
    Tombstone,
    /// The target cannot be reached.
    TargetDown,
    /// The agent has no bundle yet.
    NotReady,
    /// The idempotency key was used for a request with another body.
    KeyReused,
    /// The target takes no request before the deadline: it limits its rate, wants rest, or leaves.
    Closed,
}

/// A request that was handed on and did not end well.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Failure {
    /// The target answered with an error of its own after running the request.
    Target {
        /// What it said.
        message: String,
    },
    /// Nobody can tell whether it ran.
    Unknown {
        /// What is known.
        message: String,
    },
    /// The same, and the target's process had ended a moment later.
    Ended {
        /// What is known.
        message: String,
    },
}

/// What became of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Settlement {
    /// It was not handed on, and never will be.
    NotRun,
    /// It was handed on; the answer can be resumed.
    Running,
    /// It was handed on and ended; the answer can be resumed for a while.
    Ended,
    /// This agent cannot tell: it is another incarnation, or has forgotten.
    Unknown,
}

/// Load of one target as its agent knows it.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct Load {
    /// Incarnation of the agent.
    pub incarnation: u64,
    /// Highest counter seen of the entry that gets this report.
    pub seen: u64,
    /// Requests handed on to the target.
    pub running: u32,
    /// Requests that wait at the agent.
    pub queued: u32,
    /// Those of both that came from the entry that gets this report.
    pub own: u32,
    /// Prompt tokens that the target still has to prefill.
    pub prefill_tokens: u32,
    /// Time of the group's latest step, in microseconds.
    pub step_micros: u32,
    /// Number of the expert map in use.
    pub map: u64,
    /// Whether the agent refuses new work: it drains, or its target does not listen.
    pub closed: bool,
}

/// Log records on their way through a peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Relayed {
    /// Records in offset order; snapshots come without their image.
    Records {
        /// Offset of the first record.
        first: u64,
        /// Encoded records.
        records: Vec<Bytes>,
    },
    /// A part of the encoded folded state.
    Image {
        /// The bytes of this part.
        part: Bytes,
        /// Whether this is the last part.
        last: bool,
    },
    /// Nothing new; the peer has folded up to `head` and heard from the log `age_ms` ago.
    Idle {
        /// The peer's head.
        head: u64,
        /// Milliseconds since the peer, or the peer that it follows, last heard from the log.
        age_ms: u64,
    },
}
