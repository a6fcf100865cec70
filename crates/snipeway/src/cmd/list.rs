//! `snipeway contract list`.

use args::ParsedArgs;

/// Lists the contracts with their revisions.
pub(crate) async fn run(parsed: &ParsedArgs) -> eyre::Result<()> {
    let settings = super::load(parsed)?;
    args::print_line!(
        "{:24} {:>9} {:>9} {:>11} {:>6}",
        "CUSTOMER",
        "REVISION",
        "RATE",
        "CONCURRENCY",
        "CLASS"
    );
    for held in super::contracts(&settings).list().await? {
        let c = &held.stored.contract;
        args::print_line!(
            "{:24} {:>9} {:>9} {:>11} {:>6}",
            c.customer.to_string(),
            held.rev,
            c.request_rate,
            c.concurrency,
            c.class
        );
    }
    Ok(())
}
