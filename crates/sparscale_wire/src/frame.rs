//! Frames: typed messages, encoded with `postcard` after a version byte. The encoding depends on the order of fields
//! and variants.

use std::fmt;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use sparscale_catalog::{Document, Roster};
use sparscale_journal::BindingKey;
use sparscale_place::switch;
use sparscale_quarantine::Strike;

use crate::notice::Notices;
use crate::observation;
use crate::{group, rank};

/// Unique id of one dispatch of one request to one agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// Incarnation of the entry that dispatched the request.
    pub entry_incarnation: u64,
    /// Number of the dispatch within that incarnation.
    pub counter: u64,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{:x}", self.entry_incarnation, self.counter)
    }
}

/// One message on a stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Request that opens a stream.
    Open(StreamRequest),
    /// Part of a response to an attempt.
    Response(ResponseFrame),
    /// Response to [`StreamRequest::Settle`].
    Settlement(Settlement),
    /// Load report, on a [`StreamRequest::WatchLoad`] stream or on its own.
    Load(TargetLoad),
    /// Response to [`StreamRequest::FollowLog`].
    RelayedLog(RelayedLog),
    /// Response to [`StreamRequest::ForwardOrder`].
    Report(switch::Report),
    /// Response to [`StreamRequest::QueryExpertTokens`]: number of tokens that each expert has served since the target
    /// started.
    ExpertTokens(Vec<u64>),
    /// Response to [`StreamRequest::Ping`]: incarnation of the responding process.
    Pong(u64),
    /// Summary of the sender's observations, on a [`StreamRequest::ExchangeObservations`] stream; both sides send it.
    ObservationSummary(observation::Summary),
    /// Catalog whose version the next [`Frame::ObservationSummary`] of this stream states.
    Catalog(Box<Document>),
    /// Roster whose version the next [`Frame::ObservationSummary`] of this stream states.
    Roster(Roster),
    /// Targets whose process ended during a request, on a [`StreamRequest::ExchangeObservations`] stream.
    Strikes(Vec<Strike>),
    /// Limits that targets state for their senders, on a [`StreamRequest::ExchangeObservations`] stream.
    Notices(Notices),
    /// Loads of a group's ranks, on a [`StreamRequest::ExchangeObservations`] stream.
    GroupLoad(group::Load),
    /// Message from a group leader to the agent of a rank, on a [`StreamRequest::LeadRank`] stream.
    RankOrder(rank::Order),
    /// Message from the agent of a rank to the group leader, on a [`StreamRequest::LeadRank`] stream.
    RankUpdate(rank::Update),
    /// Response to [`StreamRequest::QueryLeader`].
    LeaderContact(LeaderContact),
}

/// Request with which a process opens a stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum StreamRequest {
    /// Run a request and stream its response.
    Attempt(Box<Attempt>),
    /// Stream the response of an earlier attempt again, starting at chunk `from`.
    Resume {
        /// The earlier attempt.
        attempt: AttemptId,
        /// First missing chunk.
        from: u64,
    },
    /// Report the outcome of an attempt, and prevent its dispatch if it wasn't dispatched yet.
    Settle {
        /// The attempt.
        attempt: AttemptId,
        /// Incarnation of the agent that the attempt was sent to; no other incarnation knows its outcome.
        incarnation: u64,
    },
    /// Cancel an attempt whose caller has disconnected.
    Cancel(AttemptId),
    /// Report load whenever it changes.
    WatchLoad {
        /// Incarnation of the requesting entry.
        entry_incarnation: u64,
        /// Minimum interval between two reports, in milliseconds.
        interval_ms: u64,
    },
    /// Relay log records, starting at `from_offset`; the peer may send the folded state first, as
    /// [`RelayedLog::Image`].
    FollowLog {
        /// Offset of the first record to send.
        from_offset: u64,
        /// Version of the bundle that is active in the requesting process; 0 for none.
        bundle_version: u64,
    },
    /// Change the expert map.
    ForwardOrder {
        /// Group whose map is changed.
        group: String,
        /// Order and its fence.
        order: switch::Order,
    },
    /// Report the number of tokens that each expert has served.
    QueryExpertTokens,
    /// Report the incarnation of the responding process.
    Ping,
    /// Exchange observations in both directions, periodically.
    ExchangeObservations,
    /// Accept orders about the expert map of a rank from the group leader, and report the rank's state and counts to
    /// it.
    LeadRank {
        /// Group of the leader.
        group: String,
        /// Rank of the agent's engine according to the leader.
        rank: usize,
        /// Offset of the leader's claim in the log.
        claim: u64,
    },
    /// Report when the agent last received a message from a leader.
    QueryLeader {
        /// Group of the leader.
        group: String,
    },
}

/// Observation that an agent has of the leader of its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderContact {
    /// Claim of the leader from which the agent last received a message; `None` if it hasn't received any.
    pub claim: Option<u64>,
    /// Time since that message, in milliseconds.
    pub heard_ms: u64,
    /// Time for which the agent has been running, in milliseconds.
    pub up_ms: u64,
}

/// Dispatch of a request to one target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Attempt {
    /// Id of this dispatch.
    pub id: AttemptId,
    /// Incarnation of the agent that may run the request; 0 for any.
    pub agent_incarnation: u64,
    /// Workspace that the request is charged to.
    pub workspace: String,
    /// Index of the tier; 0 is the highest.
    pub tier: u8,
    /// Weight of the workspace within its tier.
    pub weight: u32,
    /// Remaining time until the caller's timeout, in milliseconds.
    pub remaining_ms: u64,
    /// Whether the request may run more than once.
    pub retryable: bool,
    /// Idempotency key under which the agent keeps the outcome for retries.
    pub key: Option<BindingKey>,
    /// Time for which the agent keeps that outcome, in seconds.
    pub retention_secs: u64,
    /// Estimated prompt length, in tokens.
    pub prompt_tokens: u32,
    /// Estimated response length, in tokens.
    pub response_tokens: u32,
    /// Call to make.
    pub call: Call,
}

/// Call to a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Call {
    /// Chat completion by a model.
    Model {
        /// JSON body of the chat completion request.
        body: Bytes,
    },
    /// Call to a plain service.
    Service {
        /// Name of the called operation.
        name: String,
        /// Media type of the body.
        content_type: String,
        /// Body as sent by the caller.
        body: Bytes,
    },
}

impl Call {
    /// Digest of the call, by which the use of one idempotency key for two different requests is detected.
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

/// Part of a response, with the attempt that it belongs to.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ResponseFrame {
    /// Attempt that the part belongs to; a receiver drops parts of any other attempt.
    pub attempt: AttemptId,
    /// The part itself.
    pub part: ResponseEvent,
}

/// Parts of a response, in the order in which they are sent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ResponseEvent {
    /// Start of the target's response; chunks follow.
    Head(Head),
    /// Chunk of the body.
    Chunk(Chunk),
    /// End of a complete response.
    End {
        /// Number of chunks of the complete response.
        chunk_count: u64,
        /// Current load of the agent.
        load: TargetLoad,
    },
    /// The request wasn't dispatched to the target and never will be.
    Rejected(Refusal),
    /// The request was dispatched to the target and failed.
    Failed(Failure),
}

/// Status and headers of a response.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// HTTP status of the target's response.
    pub status: u16,
    /// Media type of the target's response.
    pub content_type: String,
    /// Incarnation of the agent, needed to resume the stream.
    pub incarnation: u64,
    /// Current load of the agent.
    pub load: TargetLoad,
}

/// Chunk of a response body.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Number of the chunk, starting at 0.
    pub sequence: u64,
    /// Content of the chunk.
    pub data: Bytes,
}

/// Rejection of a request that wasn't dispatched; the agent keeps a tombstone, so that a later copy is rejected too.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Refusal {
    /// Reason of the rejection.
    pub reason: RefusalReason,
    /// Delay before a retry, in milliseconds.
    pub retry_after_ms: u64,
    /// Current load of the agent.
    pub load: TargetLoad,
}

/// Reason why a request wasn't dispatched.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RefusalReason {
    /// The agent is stopping, or its box is draining.
    Draining,
    /// The queue is full.
    QueueFull,
    /// The expected wait exceeds the deadline.
    TooLate,
    /// The ledger has no space for another attempt.
    LedgerFull,
    /// The attempt was sent to another incarnation of the agent.
    OtherIncarnation,
    /// The attempt was rejected earlier and has a tombstone.
    Tombstone,
    /// The target can't be reached.
    TargetDown,
    /// The agent has no bundle yet.
    NotReady,
    /// The idempotency key was used for a request with another body.
    KeyReused,
    /// The target accepts no request before the deadline, because of its rate limit, a backoff or a drain.
    Closed,
}

/// Failure of a request that was dispatched to the target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Failure {
    /// The target ran the request and responded with an error.
    Target {
        /// Error message of the target.
        message: String,
    },
    /// The agent can't determine whether the request ran.
    Unknown {
        /// Description of the failure.
        message: String,
    },
    /// Like [`Failure::Unknown`], and the target's process has ended.
    TargetEnded {
        /// Description of the failure.
        message: String,
        /// Identifies the end; the same for all requests that it interrupted.
        end: u64,
    },
}

/// Outcome of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Settlement {
    /// The attempt wasn't dispatched and never will be.
    NotRun,
    /// The attempt was dispatched and is running; its response can be resumed.
    Running,
    /// The attempt was dispatched and has ended; its response can be resumed until its retention ends.
    Ended,
    /// The agent doesn't know: it is another incarnation, or no longer has the attempt in its ledger.
    Unknown,
}

/// Load of one target as known to its agent.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct TargetLoad {
    /// Incarnation of the agent.
    pub incarnation: u64,
    /// Highest attempt counter received from the entry that gets this report.
    pub highest_counter: u64,
    /// Requests running at the target.
    pub running: u32,
    /// Requests queued at the agent.
    pub queued: u32,
    /// Running and queued requests sent by the entry that gets this report.
    pub from_entry: u32,
    /// Prompt tokens that still wait for prefill at the target.
    pub prefill_tokens: u32,
    /// Duration of the group's latest step, in microseconds.
    pub step_micros: u32,
    /// Number of the active expert map.
    pub map_number: u64,
    /// Whether the agent rejects new requests: it is draining, or its target isn't listening or accepts no requests.
    pub is_closed: bool,
}

/// Log records relayed by a peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayedLog {
    /// Records in offset order; snapshot records are sent without their image.
    Records {
        /// Offset of the first record.
        first_offset: u64,
        /// Encoded records.
        records: Vec<Bytes>,
    },
    /// Part of the encoded folded state.
    Image {
        /// The bytes of this part.
        fragment: Bytes,
        /// Whether this is the last part.
        is_last: bool,
    },
    /// No new records; the peer has applied all records up to `head` and last received from the log `age_ms` ago.
    Idle {
        /// Offset up to which the peer has applied records.
        head: u64,
        /// Milliseconds since the peer, or the peer that it follows, last received from the log.
        age_ms: u64,
    },
}
