//! The keys under which the system stores its data at the platform.

use kernel::Name;

/// Prefix of every key that the system writes.
pub const ROOT: &str = "/snipeway/";

/// Prefix of the contracts, one per customer.
pub const CONTRACTS: &str = "/snipeway/contracts/";

/// Prefix of the audit trail of contract changes.
pub const AUDIT: &str = "/snipeway/audit/";

/// Prefix of the weight versions that trainers announced, one per model.
pub const WEIGHTS: &str = "/snipeway/weights/";

/// Prefix of the open steps.
pub const STEPS: &str = "/snipeway/steps/";

/// Prefix of the leases on control work.
pub const LEASES: &str = "/snipeway/leases/";

/// Prefix of the shards of the journal of non-idempotent requests.
pub const JOURNAL: &str = "/snipeway/once/";

/// Prefix of the crash records, one per start of an instance: the crashes of upstreams that it observed while they
/// served requests.
pub const CRASHES: &str = "/snipeway/crashes/";

/// Prefix under which the platform lists the upstreams that are leaving.
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

/// The key of one record in a customer's audit trail. Keys sort by time.
pub fn audit(customer: &str, at: u64, change: &str) -> String {
    format!("{AUDIT}{customer}/{at:016x}-{change}")
}

/// The key of a model's announced weight version.
pub fn weight(model: &str) -> String {
    format!("{WEIGHTS}{model}")
}

/// The key of the crash record of one start of an instance.
pub fn crashes(instance: &str, start: u64) -> String {
    format!("{CRASHES}{instance}/{start}")
}

/// The key of a step's head record.
pub fn step_head(step: &str) -> String {
    format!("{STEPS}{step}/head")
}

/// The key of one part of a step's prompts.
pub fn step_part(step: &str, part: usize) -> String {
    format!("{STEPS}{step}/part/{part:04}")
}

/// The prefix of all keys of a step.
pub fn step_prefix(step: &str) -> String {
    format!("{STEPS}{step}/")
}

/// The key of the lease on a piece of control work.
pub fn lease(work: &str) -> String {
    format!("{LEASES}{work}")
}

/// The prefix of all keys of a journal shard.
pub fn shard_prefix(shard: u32) -> String {
    format!("{JOURNAL}{shard:04}/")
}

/// The key of a journal shard's head record.
pub fn shard_head(shard: u32) -> String {
    format!("{JOURNAL}{shard:04}/head")
}

/// The key of one segment of a journal shard. Keys sort by sequence number.
pub fn segment(shard: u32, seq: u64) -> String {
    format!("{JOURNAL}{shard:04}/seg/{seq:016x}")
}
