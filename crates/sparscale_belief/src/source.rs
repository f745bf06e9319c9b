//! The interface to the external sources that observations are read from.

use std::sync::Arc;

use async_trait::async_trait;
use snafu::Snafu;
use sparscale_history::Position;

/// Why a read of a source failed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The source rejected the read or did not answer.
    #[snafu(display("source did not answer: {message}"))]
    Unavailable {
        /// What went wrong.
        message: String,
    },
    /// The source answered, but holds no usable value.
    #[snafu(display("source holds no usable value: {message}"))]
    Unusable {
        /// What is wrong, and where.
        message: String,
    },
}

/// A value that was read, with its position.
#[derive(Debug)]
pub struct Versioned<T> {
    /// The value at `position`.
    pub value: Arc<T>,
    /// Position of the value in the history of the source.
    pub position: Position,
}

/// An external value that changes, such as the operators' catalog or the roster of targets.
#[async_trait]
pub trait Source<T>: Send + 'static {
    /// Reads the current value. Must be cancel-safe: dropping the future leaves the source usable.
    async fn read(&mut self) -> Result<Versioned<T>, Error>;
}
