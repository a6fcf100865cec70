//! Cost of the decisions on the attempts of a call.

use std::hint::black_box;
use std::time::Instant;

use attempt::Failure;
use attempt::Objective;
use attempt::Policy;
use attempt::Room;
use attempt::ServiceAttempts;
use load::Table;

/// Number of calls that are decided on.
const CALLS: u64 = 1_000_000;

/// Calls in a millisecond: more than an instance serves.
const CALLS_PER_MS: u64 = 10;

const OBJECTIVE: Objective = Objective {
    target: Some(400),
    timeout: 10_000,
};

const ROOM: Room = Room {
    free: 50,
    slots: 144,
};

/// Runs the benchmark and prints its results.
pub(crate) fn run() {
    let mut service = ServiceAttempts::new(Policy::default());
    let started = Instant::now();
    for call in 0..CALLS {
        decide(&mut service, call);
    }
    let each = started.elapsed().as_secs_f64() * 1e6 / CALLS as f64;
    let mut table = Table::default();
    table.row("decisions on a call [us]", format!("{each:.3}"));
    args::output::write(format_args!("{table}"));
}

/// Decides on all that a call can ask for.
fn decide(service: &mut ServiceAttempts, call: u64) {
    let now = call / CALLS_PER_MS;
    service.began();
    black_box(service.hedge_delay(OBJECTIVE, now));
    black_box(service.time_limit(OBJECTIVE.timeout, now));
    black_box(service.hedge(OBJECTIVE.timeout, ROOM, now));
    black_box(service.retry(Failure::Unknown, OBJECTIVE.timeout, now));
    service.answered(100 + call % 400, now);
}
