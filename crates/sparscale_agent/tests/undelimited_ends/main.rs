//! Whether the end of a response without a length is taken for the end of a whole response, for each way in which a
//! target ends one and each state of its idle connections.

mod case;
mod crash;
mod reset;
mod stalled;
mod target;
mod whole;
