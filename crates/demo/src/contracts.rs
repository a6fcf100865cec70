//! The contracts of the demo.

use contract::Contract;
use contract::Digest;
use contract::form;
use eyre::bail;
use operate::Applied;
use operate::Contracts;

/// Token of the tailoring staff's trainer.
pub(crate) const TRAINER: &str = "demo-fitting-staff";

/// Token of the order portal.
pub(crate) const PORTAL: &str = "demo-order-portal";

fn texts() -> [String; 2] {
    let fitting = format!(
        "[contract]\ncustomer = fitting-staff\ntoken-sha256 = {}\nmodels = fitting\nrate = 200\n\
         concurrency = 256\ntokens = 200000\nclass = 2\nstaleness = 1\nweighs = staleness\n",
        Digest::of(TRAINER)
    );
    let portal = format!(
        "[contract]\ncustomer = order-portal\ntoken-sha256 = {}\nmodels = fitting\n\
         services = portal\nrate = 400\nconcurrency = 256\ntokens = 20000\nclass = 5\n\
         deadline = 5s\nonce = portal:POST:/orders\n",
        Digest::of(PORTAL)
    );
    [fitting, portal]
}

/// Applies the contracts, as an operator would.
pub(crate) async fn apply(contracts: &Contracts) -> eyre::Result<i64> {
    let mut newest = 0;
    for text in texts() {
        let contract: Contract = form::read("demo", &text)?;
        match contracts.apply("demo", None, contract).await? {
            Applied::InForce(rev) | Applied::Unchanged(rev) => newest = newest.max(rev),
            other => bail!("a contract was not applied: {other:?}"),
        }
    }
    Ok(newest)
}
