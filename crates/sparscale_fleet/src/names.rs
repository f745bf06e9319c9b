//! Names of the model, group and plain service that every fleet serves.

/// Name of the model that the ranks serve.
pub const MODEL: &str = "lark";
/// Name of the group of ranks.
pub const GROUP: &str = "lark-a";
/// Name of the plain service.
pub const SERVICE: &str = "calculator";
