//! Faults that tests set in a stand-in at run time.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use dropshot::HttpError;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Interval at which a stalled call checks whether the outage is over.
const STALL_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Kind of outage of a stand-in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// No outage.
    #[default]
    None,
    /// Rejects calls with status 503 before they have an effect.
    Refuse,
    /// Calls get no response until the outage is over.
    Stall,
}

/// Faults of a stand-in; the default is none.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Outage of the stand-in.
    pub outage: Outage,
    /// Delay before each call has its effect, in milliseconds.
    pub delay_ms: u64,
    /// Number of further calls whose response is lost after they had their effect.
    pub lose_answers: u32,
    /// Backoff in seconds that a target requests when it rejects calls; 0 rejects none.
    pub rest_s: u32,
    /// Status of an engine's streams of tokens; 0 for that of a success.
    pub stream_status: u16,
    /// Rate limit in requests per second that a target states in its responses; 0 states none.
    pub rate_limit: u32,
}

/// The active faults.
#[derive(Debug, Default)]
pub(crate) struct Faults {
    current: Mutex<Fault>,
}

impl Faults {
    pub(crate) fn set(&self, fault: Fault) {
        *self.current.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    pub(crate) fn get(&self) -> Fault {
        *self.current.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies the delay and the outage: stalls or rejects the call. Await it before a call has its effect.
    pub(crate) async fn delay_or_reject(&self) -> Result<(), HttpError> {
        tokio::time::sleep(Duration::from_millis(self.get().delay_ms)).await;
        loop {
            match self.get().outage {
                Outage::None => return Ok(()),
                Outage::Refuse => {
                    let message = "switched off by a test".to_owned();
                    return Err(HttpError::for_unavail(None, message));
                }
                Outage::Stall => tokio::time::sleep(STALL_POLL_INTERVAL).await,
            }
        }
    }

    /// Returns whether the response to this call must be lost, and counts it. Call it once the call had its effect.
    pub(crate) fn consume_response_loss(&self) -> bool {
        let mut fault = self.current.lock().unwrap_or_else(PoisonError::into_inner);
        let is_lost = fault.lose_answers > 0;
        fault.lose_answers = fault.lose_answers.saturating_sub(1);
        is_lost
    }
}
