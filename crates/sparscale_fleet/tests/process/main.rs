//! Failures of whole systems: kills, freezes, cuts and outages, each against separate processes on loopback.

mod answer_check;
mod box_drain;
mod broken_answers;
mod crashing_calls;
mod key_resend;
mod log_outage;
mod map_change;
mod operator_race;
mod peer_certificates;
mod target_pauses;
