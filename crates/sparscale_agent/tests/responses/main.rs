//! Tests of the client of a target, over loopback, with targets whose responses are not proper ones.

mod endless_responses;
mod half_heads;
mod improper_statuses;
mod own_calls;
mod service;
