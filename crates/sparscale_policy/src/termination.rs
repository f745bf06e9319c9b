//! Decides whether a target's process terminated when it closed the connection of a response without a length.
//!
//! Load pattern: a target sends a response that states no length and ends with its connection. The target terminates
//! midway, its kernel closes the connection in the same way, and the rest of the body is missing. By the time this
//! process looks, for instance because it was suspended, the target may have restarted and listen again.
//!
//! What listens at the address afterwards proves a termination, but not its absence. A witness does: an idle connection
//! to the process that sent the response, which remains open at most as long as that process runs. Without such proof a
//! response is not complete. [`custody`](crate::custody) decides what belongs to the same process.

/// What a new connection to the target's address shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Listener {
    /// A process accepts connections. It may be another one than before.
    Accepts,
    /// No process listens.
    Refuses,
    /// Nothing responded on time.
    Unreachable,
    /// A process that was running after the end of the response has closed the connection.
    Answers,
    /// It was not asked, because the witnesses suffice.
    Unchecked,
}

impl Listener {
    /// Name in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Accepts => "accepts",
            Self::Refuses => "refuses",
            Self::Unreachable => "unreachable",
            Self::Answers => "answers",
            Self::Unchecked => "unchecked",
        }
    }
}

/// How the connection of a response ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The target's side closed it.
    Orderly,
    /// It failed, for instance because the target's side reset it.
    Broken,
}

impl End {
    /// Name in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Orderly => "orderly",
            Self::Broken => "broken",
        }
    }
}

/// State of the witness once the response has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Witness {
    /// It is open.
    Open,
    /// All of them were closed together with the response.
    Closed,
    /// All of them were closed, after the response and in an order that shows that the process ended it.
    ClosedLater,
    /// It was closed: the target closed an idle connection, or its process terminated, perhaps while the kernel still
    /// delivered the response.
    Lost,
    /// There was none that is known to belong to the same process.
    Missing,
}

impl Witness {
    /// Name in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Open => "open",
            Self::Closed => "closed",
            Self::ClosedLater => "closed_later",
            Self::Lost => "lost",
            Self::Missing => "missing",
        }
    }
}

/// What is known of a target after the connection of its response has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Evidence {
    /// How the connection ended for its reader.
    pub end: End,
    /// What listens at the target's address now.
    pub listener: Listener,
    /// State of the witness.
    pub witness: Witness,
    /// Whether the target has announced that it leaves, for so long that it may have terminated as planned.
    pub is_due_to_end: bool,
    /// Whether the roster lists another start of the target, or another target at its address.
    pub is_replaced: bool,
    /// Whether this process was suspended since it sent the request, so that the end may be old.
    pub was_suspended: bool,
}

/// What became of the process that sent a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It was running when the response had ended in an orderly way, so the response is complete.
    Running,
    /// It terminated, so the rest of the response may be missing.
    Terminated,
    /// It may have terminated, or have broken the response off.
    Unknown,
}

impl Verdict {
    /// Name in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Running => "running",
            Self::Terminated => "terminated",
            Self::Unknown => "unknown",
        }
    }
}

impl Evidence {
    /// What became of the process of the target.
    pub fn verdict(self) -> Verdict {
        if self.end == End::Broken {
            return Verdict::Unknown;
        }
        match self.witness {
            // The process may have stopped listening, or have replaced the listed one before the request was sent.
            Witness::Open => Verdict::Running,
            // Descriptors that are used again can make a termination in the middle of a response look like this, so the
            // order is no proof by itself.
            Witness::ClosedLater if self.is_due_to_end => Verdict::Running,
            _ if self.listener == Listener::Refuses => Verdict::Terminated,
            Witness::Closed if self.is_replaced || !self.was_suspended => Verdict::Terminated,
            // The target may have closed idle connections.
            Witness::Closed | Witness::ClosedLater | Witness::Lost | Witness::Missing => Verdict::Unknown,
        }
    }
}
