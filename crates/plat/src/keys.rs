//! The keys under which the system keeps things at the platform.

use kernel::Name;

/// Every key of the system begins with this.
pub const ROOT: &str = "/snipeway/";

/// Contracts, one a customer.
pub const CONTRACTS: &str = "/snipeway/contracts/";

/// The audit trail of contracts.
pub const AUDIT: &str = "/snipeway/audit/";

/// Weight versions that trainers announced, one a model.
pub const WEIGHTS: &str = "/snipeway/weights/";

/// Steps that are open.
pub const STEPS: &str = "/snipeway/steps/";

/// Leases for control work.
pub const LEASES: &str = "/snipeway/leases/";

/// Shards of the journal of non-idempotent requests.
pub const JOURNAL: &str = "/snipeway/once/";

/// What instances have seen of crashes under requests, one a start of an instance.
pub const CRASHES: &str = "/snipeway/crashes/";

/// The platform's list of upstreams that are leaving.
pub const LEAVING: &str = "/instances/leaving/";

/// The key of a customer's contract.
///
/// # Examples
///
/// ```
/// let customer = "aarhus".parse()?;
/// assert_eq!(plat::keys::contract(&customer), "/snipeway/contracts/aarhus");
/// # Ok::<(), kernel::NameError>(())
/// ```
pub fn contract(customer: &Name) -> String {
    format!("{CONTRACTS}{customer}")
}

/// The key of one record of a customer's audit trail; sorts by time.
pub fn audit(customer: &str, at: u64, change: &str) -> String {
    format!("{AUDIT}{customer}/{at:016x}-{change}")
}

/// The key of a model's announced weight version.
pub fn weight(model: &str) -> String {
    format!("{WEIGHTS}{model}")
}

/// The key of what one start of an instance has seen of crashes.
pub fn crashes(instance: &str, start: u64) -> String {
    format!("{CRASHES}{instance}/{start}")
}

/// The key of a step's head.
pub fn step_head(step: &str) -> String {
    format!("{STEPS}{step}/head")
}

/// The key of one part of a step's prompts.
pub fn step_part(step: &str, part: usize) -> String {
    format!("{STEPS}{step}/part/{part:04}")
}

/// The prefix of everything of a step.
pub fn step_prefix(step: &str) -> String {
    format!("{STEPS}{step}/")
}

/// The key of the lease on a piece of control work.
pub fn lease(work: &str) -> String {
    format!("{LEASES}{work}")
}

/// The prefix of everything of a journal shard.
pub fn shard_prefix(shard: u32) -> String {
    format!("{JOURNAL}{shard:04}/")
}

/// The key of a journal shard's head.
pub fn shard_head(shard: u32) -> String {
    format!("{JOURNAL}{shard:04}/head")
}

/// The key of one segment of a journal shard; sorts by ordinal.
pub fn segment(shard: u32, seq: u64) -> String {
    format!("{JOURNAL}{shard:04}/seg/{seq:016x}")
}
