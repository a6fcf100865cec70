//! Command-line options.

use args::CliSpec;
use args::Opt;

/// The command line of `snipeway-standin`.
pub const SPEC: CliSpec = CliSpec {
    program: "snipeway-standin",
    about: "Serves stand-ins for the platform, engines, services and stores",
    description: "Each section of the settings, [platform NAME], [engine NAME], [service NAME] or \
                  [store NAME], is served at its own address. A stand-in's faults are read with \
                  GET /fault and replaced by posting a JSON object there. For tests and trials \
                  only.",
    opts: &[Opt {
        long: "config",
        value: Some("FILE"),
        help: "Settings; see etc/standin.ini",
    }],
    cmds: &[],
};
