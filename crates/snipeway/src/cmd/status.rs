//! `snipeway status`.

use std::collections::BTreeMap;

use args::ParsedArgs;
use kernel::Name;
use wire::peer::Status;
use wire::peer::UpstreamState;

use crate::error::CommandError;

/// Shows every instance, and every upstream in the eyes of all.
pub(crate) async fn run(parsed: &ParsedArgs) -> eyre::Result<()> {
    let settings = super::load(parsed)?;
    let mut silent = 0;
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
    for (name, answer) in super::fleet(&settings).status().await {
        match answer {
            Ok(status) => {
                instance(&status);
                for upstream in status.upstreams {
                    let seen = upstreams.entry(upstream.name.clone()).or_default();
                    seen.push((name.clone(), upstream));
                }
            }
            Err(error) => {
                silent += 1;
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
    for (name, seen) in &upstreams {
        upstream(name, seen);
    }
    if silent > 0 {
        return Err(CommandError::Silent(silent).into());
    }
    Ok(())
}

fn instance(status: &Status) {
    let live = status
        .members
        .iter()
        .filter(|member| member.state.is_live());
    let known = status
        .known
        .map_or_else(|| "never".into(), |age| age.to_string());
    args::print_line!(
        "{:20} {:12} {:9} {:>9} {:>11} {:6} {:>5}",
        status.me.name.to_string(),
        status.me.domain.to_string(),
        if status.ready { "ready" } else { "not ready" },
        status.newest,
        known,
        if status.reader { "yes" } else { "-" },
        live.count()
    );
}

fn upstream(name: &Name, seen: &[(Name, UpstreamState)]) {
    let Some((_, first)) = seen.first() else {
        return;
    };
    let running: u32 = seen.iter().map(|(_, state)| state.outstanding).sum();
    let latency = seen
        .iter()
        .map(|(_, state)| state.latency)
        .fold(0.0, f64::max);
    let version = seen.iter().filter_map(|(_, state)| state.version).max();
    let version = version.map_or_else(|| "-".into(), |version| version.to_string());
    let odd: Vec<_> = seen
        .iter()
        .filter(|(_, state)| &*state.standing != "open")
        .map(|(by, state)| format!("{} for {by}", state.standing))
        .collect();
    let standing = if odd.is_empty() {
        "open".into()
    } else {
        odd.join(", ")
    };
    args::print_line!(
        "{:20} {:12} {running:>8} {version:>8} {latency:>12.1}  {standing}",
        name.to_string(),
        first.pool.to_string()
    );
}
