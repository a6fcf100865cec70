//! Declaration of a program's options and commands.

/// A command line option.
#[derive(Clone, Copy, Debug)]
pub struct Opt {
    /// The long name, without dashes.
    pub long: &'static str,
    /// The placeholder of its value in the help, such as `FILE`; [`None`] for a switch.
    pub value: Option<&'static str>,
    /// A one-line description for the help.
    pub help: &'static str,
}

/// A command of a program that has more than one.
#[derive(Clone, Copy, Debug)]
pub struct Cmd {
    /// The name; two words for a command of a group, such as `contract show`.
    pub name: &'static str,
    /// The operands as shown in the help, such as `FILE...`.
    pub operands: &'static str,
    /// Minimum number of operands.
    pub min_operands: usize,
    /// Maximum number of operands.
    pub max_operands: usize,
    /// A one-line description for the help.
    pub help: &'static str,
    /// Options that only this command accepts, in addition to those of the program.
    pub opts: &'static [Opt],
}

/// The options and commands of a program.
#[derive(Clone, Copy, Debug)]
pub struct CliSpec {
    /// The name of the program.
    pub program: &'static str,
    /// A one-line summary.
    pub about: &'static str,
    /// A paragraph for the help and the man page; may be empty.
    pub description: &'static str,
    /// Options that the program and each of its commands accept.
    pub opts: &'static [Opt],
    /// The commands; empty for a program without commands.
    pub cmds: &'static [Cmd],
}

/// Options that every program accepts.
pub const COMMON_OPTS: &[Opt] = &[
    Opt {
        long: "help",
        value: None,
        help: "Show this help and exit",
    },
    Opt {
        long: "version",
        value: None,
        help: "Show the version and exit",
    },
];

impl CliSpec {
    /// Returns the options of the command if one is given, of the program, and of every program.
    pub fn options_for(&self, cmd: Option<&Cmd>) -> Vec<Opt> {
        let command_opts = cmd.map_or(&[][..], |cmd| cmd.opts);
        command_opts
            .iter()
            .chain(self.opts)
            .chain(COMMON_OPTS)
            .copied()
            .collect()
    }
}
