//! Starts a gateway and runs it until a stop signal arrives.

use sparscale_telemetry::Signals;

use crate::entry::Entry;
use crate::settings::{Dependencies, Error, Settings};

/// Runs a gateway until SIGTERM, then finishes the requests in flight.
pub async fn run(
    settings: Settings,
    parts: Dependencies,
    mut signals: Signals,
    reload: impl FnMut(),
) -> Result<(), Error> {
    let entry = Entry::start(settings, parts).await?;
    signals.wait_for_stop(reload).await;
    entry.stop().await;
    Ok(())
}
