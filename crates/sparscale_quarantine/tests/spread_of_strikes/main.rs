//! Tests that requests which crash their targets are sent a bounded number of times by all processes together.

mod parts;
mod requests;
mod simulation;
