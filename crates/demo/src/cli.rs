//! Command line of `snipeway-demo`.

use args::CliSpec;
use args::Opt;

/// Options; the man page and the completions are generated from them.
pub const SPEC: CliSpec = CliSpec {
    program: "snipeway-demo",
    about: "Runs a whole fleet with stand-ins in one process",
    description: "Two failure domains with two entries, their control, engines, a plain service, a \
                  weight store and the platform's stand-in; a trainer and callers work against \
                  them. It ends with a table, and with exit code 1 if any promise was broken.",
    opts: &[
        Opt {
            long: "steps",
            value: Some("N"),
            help: "Steps that the trainer makes (default: 4)",
        },
        Opt {
            long: "stay",
            value: None,
            help: "Keep the fleet up afterwards, and print its addresses and tokens",
        },
        Opt {
            long: "verbose",
            value: None,
            help: "Write log lines to standard error",
        },
    ],
    cmds: &[],
};
