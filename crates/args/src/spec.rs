//! What a command line may hold.

/// An option.
#[derive(Clone, Copy, Debug)]
pub struct Opt {
    /// The long name, without dashes.
    pub long: &'static str,
    /// What its value is called in the help; [`None`] for a switch.
    pub value: Option<&'static str>,
    /// What it does, in one line.
    pub help: &'static str,
}

/// A command of a program that has several.
#[derive(Clone, Copy, Debug)]
pub struct Cmd {
    /// Its name; two words for a command of a group.
    pub name: &'static str,
    /// Its operands as the help shows them.
    pub operands: &'static str,
    /// Fewest operands.
    pub min_operands: usize,
    /// Most operands.
    pub max_operands: usize,
    /// What it does, in one line.
    pub help: &'static str,
    /// Its options, on top of the program's.
    pub opts: &'static [Opt],
}

/// A program's command line.
#[derive(Clone, Copy, Debug)]
pub struct CliSpec {
    /// The program.
    pub program: &'static str,
    /// What it is for, in one line.
    pub about: &'static str,
    /// More about it, for the help and the man page.
    pub description: &'static str,
    /// Options of the program and of each of its commands.
    pub opts: &'static [Opt],
    /// Its commands; none when it does one thing.
    pub cmds: &'static [Cmd],
}

/// Options that every program has.
pub const COMMON: &[Opt] = &[
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
    /// The options of a command, those of the program and those that every program has.
    pub fn all(&self, cmd: Option<&Cmd>) -> Vec<Opt> {
        let own = cmd.map_or(&[][..], |cmd| cmd.opts);
        own.iter().chain(self.opts).chain(COMMON).copied().collect()
    }
}
