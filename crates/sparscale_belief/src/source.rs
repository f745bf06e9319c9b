//! Where beliefs come from.

use std::sync::Arc;

use async_trait::async_trait;
use snafu::Snafu;
use sparscale_history::Place;

/// Why a source gave no reading.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// It refused, or did not answer.
    #[snafu(display("no answer: {message}"))]
    Unavailable {
        /// What went wrong.
        message: String,
    },
    /// It answered, and nothing usable is there.
    #[snafu(display("nothing usable: {message}"))]
    Unusable {
        /// What is wrong, and where.
        message: String,
    },
}

/// One reading.
#[derive(Debug)]
pub struct Reading<T> {
    /// What is there.
    pub value: Arc<T>,
    /// Where in its history it stands.
    pub position: Place,
}

/// Gives something that changes outside: the operators' catalog, the roster of targets.
#[async_trait]
pub trait Source<T>: Send + 'static {
    /// What is there now. Dropping the future must leave the source usable.
    async fn read(&mut self) -> Result<Reading<T>, Error>;
}
