//! Agents and their leader over loopback, with simulated engines in the test process.

mod engines;
mod first_order;
mod leading;
mod old_state;
mod returned;
mod sleeping;
mod wide_group;
