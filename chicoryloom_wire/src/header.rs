//! Names of the headers that chicoryloom reads and sets.

/// Remaining time budget in milliseconds, from callers and to targets.
pub const DEADLINE_MS: &str = "chicory-deadline-ms";
/// Set on answers of the fleet: whether the request ran, `not-run` or `unknown`.
pub const RUN: &str = "chicory-run";
/// Set by a target on a 503 that it sends before any work: `1`.
pub const NOT_RUN: &str = "chicory-not-run";
/// Set by a target that drains: `1`.
pub const DRAINING: &str = "chicory-draining";
/// Identifier of one attempt, to targets; a target may echo it.
pub const REQUEST_ID: &str = "chicory-request-id";
/// Workspace of the caller, to targets.
pub const WORKSPACE: &str = "chicory-workspace";
/// Set on a request that a host forwards to a home host: `1`.
pub const HOP: &str = "chicory-hop";
/// Set on the outcome of an earlier request with the same run key: `1`.
pub const REPEATED: &str = "chicory-repeated";
/// Prefix of all header names that are reserved to the fleet.
pub const PREFIX: &str = "chicory-";
/// Run key, from callers.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
