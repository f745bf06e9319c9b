//! The one structured log and the metrics of a process.
//!
//! Log lines are JSON on standard output. Every routing or placement decision is one line with target
//! [`DECISION`]. Lines of dropshot, which logs through slog, come out in the same log.

mod exposition;
mod main_run;
mod metrics;
mod registry;
mod stop;
mod writer;

pub use exposition::expose;
pub use main_run::{run_logged, run_service};
pub use metrics::Metrics;
pub use registry::{Counter, Gauge, Histogram, Registry};
pub use stop::Signals;
pub use writer::Flush;

use logforth::record::{Level, LevelFilter};
use slog::Drain as _;
use snafu::Snafu;

use crate::writer::Bounded;

/// Log target of decision lines.
pub const DECISION: &str = "sparscale::decision";
/// Log target of alarms: lines that operators must act on.
pub const ALARM: &str = "sparscale::alarm";

/// A log that cannot be set up.
#[derive(Debug, Snafu)]
#[snafu(display("the log cannot be set up: {message}"))]
pub struct Error {
    message: String,
}

/// Sets up the log of this process; to be called once, before anything else. What it gives waits for the last lines.
pub fn init_log() -> Result<Flush, Error> {
    let failed = |message: String| Error { message };
    let (bounded, flush) = Bounded::start().map_err(|error| failed(error.to_string()))?;
    logforth::starter_log::builder()
        .dispatch(|dispatch| {
            dispatch
                .filter(LevelFilter::MoreSevereEqual(Level::Info))
                .append(bounded)
        })
        .try_apply()
        .map_err(|error| failed(error.to_string()))?;
    Ok(flush)
}

/// A logger for dropshot that writes warnings and errors into the one log.
pub fn dropshot_log() -> slog::Logger {
    let drain = slog::LevelFilter::new(slog_stdlog::StdLog, slog::Level::Warning);
    slog::Logger::root(drain.fuse(), slog::o!())
}
