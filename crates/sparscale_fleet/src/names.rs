//! Names of what a fleet serves.

/// Name of the model.
pub const MODEL: &str = "lark";
/// Name of the group that serves it.
pub const GROUP: &str = "lark-a";
/// Name of the plain service.
pub const SERVICE: &str = "calculator";
