//! Command line of `snipeway-load`.

use args::CliSpec;
use args::Cmd;
use args::Opt;

/// Commands and options; the man page and the completions are generated from them.
pub const SPEC: CliSpec = CliSpec {
    program: "snipeway-load",
    about: "Sends load as callers and trainers do, and reports what they saw",
    description: "The settings name the entries, the tokens and the load. A trainer checks each \
                  sample: delivered once, whole, its versions named, within the bound. The exit \
                  code is 1 when a promise was broken.",
    opts: &[Opt {
        long: "config",
        value: Some("FILE"),
        help: "Settings; see etc/load.ini",
    }],
    cmds: &[
        Cmd {
            name: "call",
            operands: "",
            min_operands: 0,
            max_operands: 0,
            help: "Call services at the rates of the [callers NAME] sections",
            opts: &[],
        },
        Cmd {
            name: "train",
            operands: "",
            min_operands: 0,
            max_operands: 0,
            help: "Train as the [trainer NAME] sections say",
            opts: &[],
        },
    ],
};
