//! Propagation of changes of the list of upstreams, by the number of instances and upstreams, in simulated time.

use std::time::Instant;

use load::Table;
use sim::FleetSize;
use sim::Simulation;
use sim::simulation::ConvergenceTimes;

/// Number of failure domains.
const DOMAINS: usize = 5;

/// Upstreams per instance.
const UPSTREAMS_PER_INSTANCE: usize = 10;

/// Maximum simulated time to wait for a change to reach all instances, in milliseconds.
const MAX_WAIT_MS: u64 = 60_000;

/// Simulated time over which the traffic in steady state is measured, in milliseconds.
const STEADY_STATE_MS: u64 = 10_000;

/// Upstreams that change per second in steady state.
const CHANGES_PER_SECOND: usize = 20;

/// Share of the instances that fail at the same time.
const FAILED_SHARE: f64 = 0.55;

fn format_times(times: Option<ConvergenceTimes>) -> String {
    let Some(times) = times else {
        return format!("not within {MAX_WAIT_MS}");
    };
    format!("{} / {} / {}", times.first, times.median, times.last)
}

fn measure(table: &mut Table, instances: usize, seed: u64) {
    let size = FleetSize {
        instances,
        domains: DOMAINS,
        upstreams: instances * UPSTREAMS_PER_INSTANCE,
    };
    let mut row = |name: &str, value: String| table.row(format!("{instances}: {name}"), value);
    let start = Instant::now();
    let mut simulation = Simulation::start(size, seed);
    let startup_times = simulation.run_until(size.upstreams as i64, MAX_WAIT_MS);
    row(
        "whole list on all instances after a start, ms",
        format_times(startup_times),
    );
    row(
        "reads of the list until then",
        simulation.counts.reads.to_string(),
    );
    let megabytes = simulation.counts.link_bytes as f64 / 1e6;
    row(
        "MB on the platform's link until then",
        format!("{megabytes:.1}"),
    );
    simulation.run(STEADY_STATE_MS);
    let before: Vec<_> = simulation
        .nodes
        .iter()
        .map(|node| (node.sent, node.messages))
        .collect();
    for _ in 0..STEADY_STATE_MS / 1_000 {
        simulation.change_upstreams(CHANGES_PER_SECOND);
        simulation.run(1_000);
    }
    let seconds = STEADY_STATE_MS as f64 / 1e3;
    let nodes = simulation.nodes.iter().zip(&before);
    let mut sent_bytes: Vec<_> = nodes
        .map(|(node, (sent_before, _))| node.sent - sent_before)
        .collect();
    sent_bytes.sort_unstable();
    let kilobytes_per_second = |rank: usize| {
        sent_bytes
            .get(rank)
            .map_or(0.0, |bytes| *bytes as f64 / 1e3 / seconds)
    };
    let (median, max) = (
        kilobytes_per_second(sent_bytes.len() / 2),
        kilobytes_per_second(sent_bytes.len().saturating_sub(1)),
    );
    row(
        "KB per second sent by an instance in steady state, median / max",
        format!("{median:.1} / {max:.1}"),
    );
    let rev = simulation.change_upstreams(1);
    row(
        "propagation of a change, ms",
        format_times(simulation.run_until(rev, MAX_WAIT_MS)),
    );
    simulation.kill(simulation.reader());
    let rev = simulation.change_upstreams(1);
    row(
        "propagation of a change as the reader fails, ms",
        format_times(simulation.run_until(rev, MAX_WAIT_MS)),
    );
    let count = (simulation.nodes.len() as f64 * FAILED_SHARE) as usize;
    // The step of 7 spreads the failures over the whole fleet. It divides none of the fleet sizes, so that no instance
    // is chosen twice.
    (0..count).for_each(|index| simulation.kill(index * 7 % simulation.nodes.len()));
    let rev = simulation.change_upstreams(1);
    row(
        "propagation of a change as over half of the instances fail, ms",
        format_times(simulation.run_until(rev, MAX_WAIT_MS)),
    );
    let max_entries = simulation.nodes.iter().map(|node| node.replica.len()).max();
    row(
        "max entries held by an instance",
        max_entries.unwrap_or_default().to_string(),
    );
    row(
        "real time of the simulation, s",
        format!("{:.1}", start.elapsed().as_secs_f64()),
    );
}

/// Runs the benchmark and prints its results.
pub(crate) fn run() {
    for instances in [100, 300, 1_000, 2_000, 5_000] {
        // Printed one by one, since the larger fleets take minutes.
        let mut table = Table::default();
        measure(&mut table, instances, 1);
        print!("{table}");
    }
}
