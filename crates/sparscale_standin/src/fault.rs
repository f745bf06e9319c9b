//! Faults that tests switch on and off.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use dropshot::HttpError;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Pause between two looks at whether an outage is over.
const STALL_PAUSE: Duration = Duration::from_millis(10);

/// How a stand-in is out of order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// It works.
    #[default]
    None,
    /// It answers 503 and does nothing.
    Refuse,
    /// It does not answer until the outage is over.
    Stall,
}

/// Everything that can be wrong with a stand-in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Whether it is out of order.
    pub outage: Outage,
    /// Time that each call takes before it has its effect, in milliseconds.
    pub delay_ms: u64,
    /// The answers of this many calls are lost after the effect.
    pub lose_answers: u32,
    /// A target turns calls away and asks for rest for so many seconds; 0 for none.
    pub rest_s: u32,
    /// A target names a rate of so many requests a second in its answers; 0 for none.
    pub rate_limit: u32,
}

/// The faults in force.
#[derive(Debug, Default)]
pub(crate) struct Faults {
    now: Mutex<Fault>,
}

impl Faults {
    pub(crate) fn set(&self, fault: Fault) {
        *self.now.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    pub(crate) fn get(&self) -> Fault {
        *self.now.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// To be awaited before a call has its effect.
    pub(crate) async fn before_effect(&self) -> Result<(), HttpError> {
        tokio::time::sleep(Duration::from_millis(self.get().delay_ms)).await;
        loop {
            match self.get().outage {
                Outage::None => return Ok(()),
                Outage::Refuse => {
                    let message = "switched off by a test".to_owned();
                    return Err(HttpError::for_unavail(None, message));
                }
                Outage::Stall => tokio::time::sleep(STALL_PAUSE).await,
            }
        }
    }

    /// To be asked after a call had its effect: whether its answer is to be lost.
    pub(crate) fn loses_answer(&self) -> bool {
        let mut fault = self.now.lock().unwrap_or_else(PoisonError::into_inner);
        let loses = fault.lose_answers > 0;
        fault.lose_answers = fault.lose_answers.saturating_sub(1);
        loses
    }
}
