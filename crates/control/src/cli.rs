//! Command-line options.

use args::CliSpec;
use args::Opt;

/// The command line of `snipeway-control`.
pub const SPEC: CliSpec = CliSpec {
    program: "snipeway-control",
    about: "Takes leases on control work and gives orders to upstreams",
    description: "It reads the same settings as the entry beside it. SIGTERM makes it give its \
                  leases back.",
    opts: &[Opt {
        long: "config",
        value: Some("FILE"),
        help: "Settings; see etc/entry.ini",
    }],
    cmds: &[],
};
