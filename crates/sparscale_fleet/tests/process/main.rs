//! Failure tests against complete systems of separate processes on loopback: kills, freezes, lost connections and
//! outages.

mod box_drain;
mod crashing_calls;
mod failed_engines;
mod interrupted_responses;
mod key_resend;
mod log_outage;
mod map_change;
mod operator_race;
mod peer_certificates;
mod response_check;
mod target_backoff;
