//! Chooses the owner that may fill an engine, by weighted rendezvous hashing.

use kernel::rendezvous_rank;
use table::Upstream;

use crate::SlotReport;

/// Returns the owner with waiting samples that may fill an engine.
pub(crate) fn home_owner<'a>(
    contenders: &'a [SlotReport],
    engine: &Upstream,
    key: u32,
    version: impl Fn(&str) -> Option<u64>,
) -> Option<&'a str> {
    let mut home: Option<(f64, &'a str)> = None;
    for contender in contenders {
        let weight = contender.weight(&engine.service, &version);
        if weight == 0 {
            continue;
        }
        let score = score(&contender.owner, key, weight);
        if home.is_none_or(|best| best < (score, &contender.owner)) {
            home = Some((score, &contender.owner));
        }
    }
    home.map(|(_, owner)| owner)
}

/// Returns the score of an owner for an engine in weighted rendezvous hashing: each owner has the highest score for a
/// share of the engines that is proportional to its weight.
fn score(owner: &str, key: u32, weight: u32) -> f64 {
    let rank = rendezvous_rank(owner, key) as f64;
    let uniform = (rank + 0.5) / (u64::MAX as f64);
    f64::from(weight) / -uniform.ln()
}
