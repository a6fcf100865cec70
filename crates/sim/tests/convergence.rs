//! Simulates a thousand instances that get the list of upstreams from each other.

use sim::FleetSize;
use sim::Simulation;
use sim::simulation::ConvergenceTimes;

/// The simulated fleet; its list of upstreams spans several messages. `snipeway-bench fleet` simulates larger ones.
const FLEET_SIZE: FleetSize = FleetSize {
    instances: 1_000,
    domains: 5,
    upstreams: 2_000,
};

/// Time that a fleet has from its start until callers arrive, in milliseconds.
const STARTUP_LIMIT_MS: u64 = 24_000;

/// Time within which every instance has to know a change, in milliseconds.
const CHANGE_LIMIT_MS: u64 = 5_000;

/// Time after which a call of the platform times out, in milliseconds.
const PLATFORM_TIMEOUT_MS: u64 = 1_000;

/// Size of an upstream's entry on the platform's link, in bytes.
const ENTRY_BYTES: u64 = 400;

/// Rate of the platform's link, in bytes per millisecond.
const LINK_RATE: u64 = 125_000;

/// Returns a fleet that has started, and the times until its instances knew all upstreams.
fn started() -> (Simulation, ConvergenceTimes) {
    let mut simulation = Simulation::start(FLEET_SIZE, 1);
    let times = simulation.run_until(FLEET_SIZE.upstreams as i64, STARTUP_LIMIT_MS);
    (simulation, times.expect("not all know the upstreams"))
}

// Guards against a joint start after which no instance ever gets the list: each reads it from the platform itself,
// and the platform's link is busy for longer than a call waits.
#[test]
fn all_know_the_upstreams_soon_after_they_have_started_together() {
    let (simulation, times) = started();

    assert!(times.last < STARTUP_LIMIT_MS / 2, "{times:?}");
    let busy = simulation.counts.reads * FLEET_SIZE.upstreams as u64 * ENTRY_BYTES / LINK_RATE;
    assert!(
        busy < PLATFORM_TIMEOUT_MS,
        "{busy} ms of the platform's link"
    );
}

// Guards against an instance that has to send a list of thousands of entries to hundreds of others.
#[test]
fn no_instance_sends_the_list_to_more_than_a_few() {
    let (simulation, _) = started();

    let most = simulation.nodes.iter().map(|node| node.sent).max();

    // Every instance gets the list from another one, whole or in parts from several.
    let list = FLEET_SIZE.upstreams as u64 * 260;
    let most = most.unwrap_or_default() / list;
    assert!(most < 2 * spread::tree::DEGREE as u64, "{most} lists");
}

// Guards against a change that reaches the lower levels of a deep tree too late.
#[test]
fn a_change_is_known_everywhere_within_its_bound() {
    let (mut simulation, _) = started();
    simulation.run(5_000);

    let rev = simulation.change_upstreams(1);

    let times = simulation
        .run_until(rev, CHANGE_LIMIT_MS)
        .expect("not all know the change");
    assert!(times.last < CHANGE_LIMIT_MS / 2, "{times:?}");
}

// Guards against a change that never spreads because the instance that reads the platform for the others is lost.
#[test]
fn a_change_is_known_everywhere_though_the_reader_is_lost() {
    let (mut simulation, _) = started();
    simulation.run(5_000);

    simulation.kill(simulation.reader());
    let rev = simulation.change_upstreams(1);

    assert!(simulation.run_until(rev, CHANGE_LIMIT_MS).is_some());
}

// Guards against lists that are sent whole, or read from the platform by every instance, when the instances that
// were polled are lost.
#[test]
fn after_half_are_lost_the_others_send_and_read_only_changes() {
    let (mut simulation, _) = started();
    simulation.run(5_000);
    let before = simulation.counts;
    let sent: u64 = simulation.nodes.iter().map(|node| node.sent).sum();

    for index in (0..simulation.nodes.len()).step_by(2) {
        simulation.kill(index);
    }
    let rev = simulation.change_upstreams(1);
    let times = simulation
        .run_until(rev, CHANGE_LIMIT_MS)
        .expect("not all know the change");

    let link_ms = (simulation.counts.link_bytes - before.link_bytes) / LINK_RATE;
    assert!(
        link_ms < times.last / 2,
        "{link_ms} ms of the platform's link, {times:?}"
    );
    let now: u64 = simulation.nodes.iter().map(|node| node.sent).sum();
    let each = (now - sent) / simulation.nodes.len() as u64;
    // A tenth of the list.
    assert!(
        each < FLEET_SIZE.upstreams as u64 * 26,
        "{each} bytes an instance"
    );
}
