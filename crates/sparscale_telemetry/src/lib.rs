//! Structured log and metrics of a process.
//!
//! Log lines are JSON on standard output. Every routing or placement decision is one line with the log target
//! [`DECISION`]. The lines of dropshot, which logs through slog, are written to the same log.

mod metrics;
mod registry;
mod run_program;
mod signals;
mod writer;

pub use metrics::Metrics;
pub use registry::{Counter, Gauge, Histogram, Registry};
pub use run_program::{run_logged, run_service};
pub use signals::Signals;
pub use writer::LogFlusher;

use logforth::record::{Level, LevelFilter};
use slog::Drain as _;
use snafu::Snafu;

use crate::writer::BoundedAppender;

/// Log target of decision lines.
pub const DECISION: &str = "sparscale::decision";
/// Log target of alarms, which require action by an operator.
pub const ALARM: &str = "sparscale::alarm";

/// The log couldn't be set up.
#[derive(Debug, Snafu)]
#[snafu(display("the log cannot be set up: {message}"))]
pub struct Error {
    message: String,
}

/// Sets up the log of this process; must be called once, before anything is logged. The returned [`LogFlusher`] waits
/// until the last lines are written.
pub fn init_log() -> Result<LogFlusher, Error> {
    let setup_error = |message: String| Error { message };
    let (appender, flusher) = BoundedAppender::start().map_err(|error| setup_error(error.to_string()))?;
    logforth::starter_log::builder()
        .dispatch(|dispatch| {
            dispatch
                .filter(LevelFilter::MoreSevereEqual(Level::Info))
                .append(appender)
        })
        .try_apply()
        .map_err(|error| setup_error(error.to_string()))?;
    Ok(flusher)
}

/// Creates a logger for dropshot that writes warnings and errors to the log of this process.
pub fn dropshot_log() -> slog::Logger {
    let drain = slog::LevelFilter::new(slog_stdlog::StdLog, slog::Level::Warning);
    slog::Logger::root(drain.fuse(), slog::o!())
}
