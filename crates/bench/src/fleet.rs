//! How news spreads, by the number of instances and upstreams, in simulated time.

use std::time::Instant;

use load::Table;
use sim::FleetSize;
use sim::Simulation;
use sim::simulation::ConvergenceTimes;

/// Failure domains.
const DOMAINS: usize = 5;

/// Upstreams for each instance.
const EACH: usize = 10;

/// Longest time that a part of a play takes, in milliseconds.
const MOST: u64 = 60_000;

/// Time over which what is sent at rest is counted, in milliseconds.
const REST: u64 = 10_000;

/// Upstreams that change in a second at rest.
const CHANGES: usize = 20;

/// Part of all instances that is killed at once.
const KILLED: f64 = 0.55;

fn write(times: Option<ConvergenceTimes>) -> String {
    let Some(times) = times else {
        return format!("not within {MOST}");
    };
    format!("{} / {} / {}", times.first, times.median, times.last)
}

fn measure(table: &mut Table, instances: usize, seed: u64) {
    let size = FleetSize {
        instances,
        domains: DOMAINS,
        upstreams: instances * EACH,
    };
    let mut row = |what: &str, value: String| table.row(format!("{instances}: {what}"), value);
    let began = Instant::now();
    let mut play = Simulation::start(size, seed);
    let started = play.run_until(size.upstreams as i64, MOST);
    row("all know all after a start, ms", write(started));
    row(
        "reads of the list until then",
        play.counts.reads.to_string(),
    );
    let carried = play.counts.link_bytes as f64 / 1e6;
    row(
        "MB on the platform's link until then",
        format!("{carried:.1}"),
    );
    play.run(REST);
    let before: Vec<_> = play
        .nodes
        .iter()
        .map(|node| (node.sent, node.messages))
        .collect();
    for _ in 0..REST / 1_000 {
        play.change_upstreams(CHANGES);
        play.run(1_000);
    }
    let seconds = REST as f64 / 1e3;
    let sent = play.nodes.iter().zip(&before);
    let mut sent: Vec<_> = sent.map(|(node, (sent, _))| node.sent - sent).collect();
    sent.sort_unstable();
    let at = |part: usize| {
        sent.get(part)
            .map_or(0.0, |sent| *sent as f64 / 1e3 / seconds)
    };
    let (middle, most) = (at(sent.len() / 2), at(sent.len().saturating_sub(1)));
    row(
        "KB a second at rest, middle / most",
        format!("{middle:.1} / {most:.1}"),
    );
    let rev = play.change_upstreams(1);
    row("a change, ms", write(play.run_until(rev, MOST)));
    play.kill(play.reader());
    let rev = play.change_upstreams(1);
    row(
        "a change as the reader is lost, ms",
        write(play.run_until(rev, MOST)),
    );
    let count = (play.nodes.len() as f64 * KILLED) as usize;
    (0..count).for_each(|at| play.kill(at * 7 % play.nodes.len()));
    let rev = play.change_upstreams(1);
    row(
        "a change as over half are lost, ms",
        write(play.run_until(rev, MOST)),
    );
    let held = play.nodes.iter().map(|node| node.replica.len()).max();
    row("most entries held", held.unwrap_or_default().to_string());
    row(
        "s of this machine",
        format!("{:.1}", began.elapsed().as_secs_f64()),
    );
}

/// Runs the measurement.
pub(crate) fn run() {
    for instances in [100, 300, 1_000, 2_000, 5_000] {
        // Larger ones take minutes.
        let mut table = Table::default();
        measure(&mut table, instances, 1);
        print!("{table}");
    }
}
