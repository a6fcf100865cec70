//! Command line of `snipeway`.

use args::CliSpec;
use args::Cmd;
use args::Opt;

const WHO_OPT: Opt = Opt {
    long: "who",
    value: Some("NAME"),
    help: "Who makes the change, for the audit trail (default: $USER)",
};

const DRY_RUN_OPT: Opt = Opt {
    long: "dry-run",
    value: None,
    help: "Show what would change, and change nothing",
};

const WAIT_OPT: Opt = Opt {
    long: "wait",
    value: Some("SECONDS"),
    help: "Wait until it is in force on every instance; name those where it is not",
};

/// Builds the specification of a command; the pair holds the limits on the number of its operands.
const fn cmd(
    name: &'static str,
    operands: &'static str,
    (min_operands, max_operands): (usize, usize),
    help: &'static str,
    opts: &'static [Opt],
) -> Cmd {
    Cmd {
        name,
        operands,
        min_operands,
        max_operands,
        help,
        opts,
    }
}

/// Upper limit of commands that take any number of operands.
const UNLIMITED: usize = usize::MAX;

/// Specification of the command line.
pub const SPEC: CliSpec = CliSpec {
    program: "snipeway",
    about: "Operates a fleet: contracts, audit trail, status, explanations",
    description: "A contract is changed at the platform, and every instance puts it in force \
                  within seconds. A change states the revision that it is based on, so of two \
                  operators who change the same contract one is told of the conflict. A change \
                  whose answer is lost is settled by reading back: the command says in force, not \
                  applied, or not known yet.",
    opts: &[Opt {
        long: "config",
        value: Some("FILE"),
        help: "Settings; see etc/operator.ini",
    }],
    cmds: &[
        cmd(
            "contract check",
            "FILE...",
            (1, UNLIMITED),
            "Check contracts without applying them",
            &[],
        ),
        cmd(
            "contract apply",
            "FILE",
            (1, 1),
            "Apply a contract",
            &[WHO_OPT, DRY_RUN_OPT, WAIT_OPT],
        ),
        cmd(
            "contract amend",
            "CUSTOMER KEY=VALUE...",
            (2, UNLIMITED),
            "Change lines of a contract",
            &[
                Opt {
                    long: "rev",
                    value: Some("N"),
                    help: "The revision that the change is based on, from `contract show`",
                },
                WHO_OPT,
                DRY_RUN_OPT,
                WAIT_OPT,
            ],
        ),
        cmd(
            "contract show",
            "CUSTOMER",
            (1, 1),
            "Show a contract and its revision",
            &[],
        ),
        cmd("contract list", "", (0, 0), "List the contracts", &[]),
        cmd(
            "contract history",
            "CUSTOMER",
            (1, 1),
            "Show who changed a contract, and how",
            &[],
        ),
        cmd(
            "contract settle",
            "CUSTOMER CHANGE",
            (2, 2),
            "Say whether a change took effect whose answer was lost",
            &[],
        ),
        cmd(
            "audit",
            "",
            (0, 0),
            "Show the changes of all contracts, newest last",
            &[Opt {
                long: "last",
                value: Some("N"),
                help: "Only the last N (default: 20)",
            }],
        ),
        cmd(
            "status",
            "",
            (0, 0),
            "Show every instance, its revision and its upstreams",
            &[],
        ),
        cmd(
            "explain",
            "REQUEST|STEP|UPSTREAM [FILE...]",
            (1, UNLIMITED),
            "Tell what happened, by the instances or by log files (- for standard input)",
            &[],
        ),
        cmd(
            "drain",
            "INSTANCE",
            (1, 1),
            "Tell an instance to leave gracefully",
            &[],
        ),
        cmd(
            "settings check",
            "FILE...",
            (1, UNLIMITED),
            "Check settings files",
            &[Opt {
                long: "kind",
                value: Some("KIND"),
                help: "entry, operator, standin, load or node (default: entry)",
            }],
        ),
        cmd(
            "token",
            "",
            (0, 0),
            "Make a bearer token and the line for its contract",
            &[],
        ),
        cmd(
            "generate",
            "FOLDER",
            (1, 1),
            "Write shell completions and man pages, for packagers",
            &[],
        ),
    ],
};
