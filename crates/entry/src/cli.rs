//! Command line of `snipeway-entry`.

use args::CliSpec;
use args::Opt;

/// Specification of the command line.
pub const SPEC: CliSpec = CliSpec {
    program: "snipeway-entry",
    about: "Serves callers, peers and operators on an entry instance",
    description: "SIGTERM or `snipeway drain` makes it leave gracefully: readiness falls first, \
                  then nothing more is accepted, and running requests end whole.",
    opts: &[
        Opt {
            long: "config",
            value: Some("FILE"),
            help: "Settings; see etc/entry.ini",
        },
        Opt {
            long: "check",
            value: None,
            help: "Check the settings and exit",
        },
    ],
    cmds: &[],
};
