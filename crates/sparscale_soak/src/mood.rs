//! How targets fail.

/// How a target behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Mood {
    /// It runs what it gets.
    Well,
    /// It runs, and answers 500.
    Errors,
    /// It runs nothing and says so.
    Full,
    /// It runs, and breaks its answers off.
    BreaksOff,
}
