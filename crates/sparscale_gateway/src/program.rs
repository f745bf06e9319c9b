//! Puts a gateway together and runs it until it is told to stop.

use sparscale_telemetry::Signals;

use crate::entry::Entry;
use crate::settings::{Error, Parts, Settings};

/// Runs a gateway until SIGTERM, then finishes what is in progress.
pub async fn run(settings: Settings, parts: Parts, mut signals: Signals, reload: impl FnMut()) -> Result<(), Error> {
    let entry = Entry::start(settings, parts).await?;
    signals.wait_for_stop(reload).await;
    entry.stop().await;
    Ok(())
}
