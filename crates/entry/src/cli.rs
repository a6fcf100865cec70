//! The command line.

use args::Opt;
use args::Spec;

/// The command line of the program.
pub const SPEC: Spec = Spec {
    program: "snipeway-entry",
    about: "Serves callers, peers and operators on an entry instance",
    more: "SIGTERM or `snipeway drain` makes it leave gracefully: readiness falls first, then \
           nothing more is accepted, and running requests end whole.",
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
