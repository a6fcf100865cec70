//! The command line.

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

/// The command line of the program.
pub const SPEC: CliSpec = CliSpec {
    program: "snipeway-bench",
    about: "Measures what is promised, against stand-ins",
    description: "Build with --release. Each command takes up to a minute and prints a table; the \
                  baseline is measured in the same run.",
    opts: &[],
    cmds: &[
        cmd(
            "surge",
            "Lookups of one customer while another surges to 10 times its contract",
            &[],
        ),
        cmd("goodput", "Goodput at 0.5, 1, 2 and 5 times capacity", &[]),
        cmd(
            "slow",
            "Lookups with one upstream of four slow or dead",
            &[],
        ),
        cmd(
            "overhead",
            "What an entry adds to a call in time and processor time",
            &[],
        ),
        cmd(
            "journal",
            "Writes to the platform at 10, 100 and 1,000 orders a second",
            &[],
        ),
        cmd(
            "limits",
            "A contract's rate over 8 entries with an uneven balancer",
            &[],
        ),
        cmd(
            "trainer",
            "Idle time and staleness of a trainer",
            &[Opt {
                long: "fault",
                value: Some("FAULT"),
                help: "none, slow, engine, entry or platform (default: none)",
            }],
        ),
        cmd(
            "weights",
            "Time from an announcement until 10, 100 and 600 engines have it",
            &[],
        ),
        cmd(
            "place",
            "Time of choosing an engine for one sample, by the number of engines",
            &[],
        ),
        cmd(
            "swap",
            "Time of the leader's choice of loads, by the number of engines",
            &[],
        ),
        cmd(
            "board",
            "Time of telling another instance of the list of upstreams, by its length",
            &[],
        ),
        cmd(
            "fleet",
            "How news spreads at 100 to 5,000 instances, in simulated time",
            &[],
        ),
        cmd(
            "spread",
            "Time until a contract is in force on 9 entries",
            &[],
        ),
    ],
};
