//! Agents and their conductor over loopback, beside engines that live in this process.

mod engines;
mod first_order;
mod leading;
mod old_state;
mod returned;
mod sleeping;
mod wide_group;
