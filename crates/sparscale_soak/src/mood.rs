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
    /// It runs, and names a rate that it takes from all entries.
    Limited,
    /// It runs nothing, and asks each entry for rest.
    Tired,
    /// It runs, and says that it leaves.
    Leaving,
}
