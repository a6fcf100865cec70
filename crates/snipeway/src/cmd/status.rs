//! `snipeway status`.

use std::collections::BTreeMap;

use args::ParsedArgs;
use kernel::Name;
use wire::peer::Status;
use wire::peer::UpstreamState;

use crate::error::CommandError;

/// Shows the status of every instance, and every upstream as the instances see it.
pub(crate) async fn run(parsed: &ParsedArgs) -> eyre::Result<()> {
    let settings = super::load_settings(parsed)?;
    let mut unanswered = 0;
    let mut upstreams: BTreeMap<Name, Vec<(Name, UpstreamState)>> = BTreeMap::new();
    args::print_line!(
        "{:20} {:12} {:9} {:>9} {:>11} {:6} {:>5}",
        "INSTANCE",
        "DOMAIN",
        "STATE",
        "REVISION",
        "KNOWN [ms]",
        "READER",
        "LIVE"
    );
    for (name, result) in super::fleet(&settings).status().await {
        match result {
            Ok(status) => {
                print_instance(&status);
                for upstream in status.upstreams {
                    let states = upstreams.entry(upstream.name.clone()).or_default();
                    states.push((name.clone(), upstream));
                }
            }
            Err(error) => {
                unanswered += 1;
                args::print_line!("{:20} {error}", name.to_string());
            }
        }
    }
    args::print_line!(
        "\n{:20} {:12} {:>8} {:>8} {:>12}  STANDING",
        "UPSTREAM",
        "POOL",
        "RUNNING",
        "VERSION",
        "LATENCY [ms]"
    );
    for (name, states) in &upstreams {
        print_upstream(name, states);
    }
    if unanswered > 0 {
        return Err(CommandError::Unanswered(unanswered).into());
    }
    Ok(())
}

fn print_instance(status: &Status) {
    let live = status
        .members
        .iter()
        .filter(|member| member.state.is_live());
    let staleness = status
        .known
        .map_or_else(|| "never".into(), |age| age.to_string());
    args::print_line!(
        "{:20} {:12} {:9} {:>9} {:>11} {:6} {:>5}",
        status.me.name.to_string(),
        status.me.domain.to_string(),
        if status.ready { "ready" } else { "not ready" },
        status.newest,
        staleness,
        if status.reader { "yes" } else { "-" },
        live.count()
    );
}

/// Prints the sum of running requests, the highest latency and version, and each standing other than "open", over the
/// states that the instances report of an upstream.
fn print_upstream(name: &Name, states: &[(Name, UpstreamState)]) {
    let Some((_, first)) = states.first() else {
        return;
    };
    let running: u32 = states.iter().map(|(_, state)| state.outstanding).sum();
    let latency = states
        .iter()
        .map(|(_, state)| state.latency)
        .fold(0.0, f64::max);
    let version = states.iter().filter_map(|(_, state)| state.version).max();
    let version = version.map_or_else(|| "-".into(), |version| version.to_string());
    let not_open: Vec<_> = states
        .iter()
        .filter(|(_, state)| &*state.standing != "open")
        .map(|(instance, state)| format!("{} for {instance}", state.standing))
        .collect();
    let standing = if not_open.is_empty() {
        "open".into()
    } else {
        not_open.join(", ")
    };
    args::print_line!(
        "{:20} {:12} {running:>8} {version:>8} {latency:>12.1}  {standing}",
        name.to_string(),
        first.pool.to_string()
    );
}
