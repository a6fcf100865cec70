//! `snipeway contract list`.

use args::ParsedArgs;

/// Lists the contracts with their revisions.
pub(crate) async fn run(parsed: &ParsedArgs) -> eyre::Result<()> {
    let settings = super::load_settings(parsed)?;
    args::print_line!(
        "{:24} {:>9} {:>9} {:>11} {:>6}",
        "CUSTOMER",
        "REVISION",
        "RATE",
        "CONCURRENCY",
        "CLASS"
    );
    for current in super::contracts(&settings).list().await? {
        let contract = &current.stored.contract;
        args::print_line!(
            "{:24} {:>9} {:>9} {:>11} {:>6}",
            contract.customer.to_string(),
            current.rev,
            contract.request_rate,
            contract.concurrency,
            contract.class
        );
    }
    Ok(())
}
