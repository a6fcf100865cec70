//! Command-line options.

use args::CliSpec;
use args::Cmd;
use args::Opt;

const fn cmd(name: &'static str, help: &'static str, opts: &'static [Opt]) -> Cmd {
    Cmd {
        name,
        operands: "",
        min_operands: 0,
        max_operands: 0,
        help,
        opts,
    }
}

/// The command line of `snipeway-bench`.
pub const SPEC: CliSpec = CliSpec {
    program: "snipeway-bench",
    about: "Runs benchmarks against stand-ins",
    description: "Build with --release. Each command takes up to a minute and prints a table; \
                  baselines are measured in the same run.",
    opts: &[],
    cmds: &[
        cmd(
            "surge",
            "Latency of one customer's lookups while another sends 10 times its contracted rate",
            &[],
        ),
        cmd("goodput", "Goodput at 0.5, 1, 2 and 5 times capacity", &[]),
        cmd(
            "slow",
            "Latency of lookups if one of four upstreams is slow or down",
            &[],
        ),
        cmd(
            "overhead",
            "Latency and processor time that an entry adds to a call",
            &[],
        ),
        cmd("attempts", "Time to decide on the attempts of a call", &[]),
        cmd(
            "connections",
            "Cost of carrying a limited number of requests with IDs on a connection",
            &[],
        ),
        cmd(
            "journal",
            "Platform writes at 10, 100 and 1,000 orders per second",
            &[],
        ),
        cmd(
            "limits",
            "Compliance with a contract's rate over 8 unevenly loaded entries",
            &[],
        ),
        cmd(
            "trainer",
            "Idle time of a trainer and staleness of its samples",
            &[Opt {
                long: "fault",
                value: Some("FAULT"),
                help: "none, slow, engine, entry or platform (default: none)",
            }],
        ),
        cmd(
            "weights",
            "Time until 10, 100 and 600 engines have an announced weight version",
            &[],
        ),
        cmd(
            "place",
            "Time to choose an engine for a sample, by the number of engines",
            &[],
        ),
        cmd(
            "swap",
            "Time to schedule weight loads, by the number of engines",
            &[],
        ),
        cmd(
            "board",
            "Time to replicate the list of upstreams, by its length",
            &[],
        ),
        cmd(
            "fleet",
            "Propagation of changes among 100 to 5,000 instances, in simulated time",
            &[],
        ),
        cmd(
            "spread",
            "Time until a changed contract is in force on 9 entries",
            &[],
        ),
    ],
};
