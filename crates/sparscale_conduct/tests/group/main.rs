//! Agents and their leader over loopback, with simulated engines in the test process.

mod engines;
mod first_order;
mod frozen_box;
mod leading;
mod restarted_engine;
mod stale_state;
mod wide_group;
