//! The text of `--help`.

use std::fmt::Write;

use crate::CliSpec;
use crate::Cmd;
use crate::Opt;

/// Column at which explanations begin.
const COLUMN: usize = 30;

/// Columns of running text.
const WIDTH: usize = 80;

/// Writes the help of a program, or of one of its commands.
pub fn help(spec: &CliSpec, cmd: Option<&Cmd>) -> String {
    let mut out = String::new();
    match cmd {
        Some(cmd) => {
            let _ = writeln!(out, "{}\n", cmd.help);
            let usage = format!("{} {} {}", spec.program, cmd.name, cmd.operands);
            let _ = writeln!(out, "Usage: {} [OPTION]...", usage.trim_end());
        }
        None => {
            let _ = writeln!(out, "{}\n", spec.about);
            let command = if spec.cmds.is_empty() { "" } else { " COMMAND" };
            let _ = writeln!(out, "Usage: {}{command} [OPTION]...", spec.program);
            commands(&mut out, spec);
        }
    }
    let _ = writeln!(out, "\nOptions:");
    for opt in spec.all(cmd) {
        line(&mut out, &name(&opt), opt.help);
    }
    if cmd.is_none() && !spec.description.is_empty() {
        let _ = writeln!(out, "\n{}", textwrap::fill(spec.description, WIDTH));
    }
    out
}

fn commands(out: &mut String, spec: &CliSpec) {
    if spec.cmds.is_empty() {
        return;
    }
    let _ = writeln!(out, "\nCommands:");
    for cmd in spec.cmds {
        let text = format!("{} {}", cmd.name, cmd.operands);
        line(out, text.trim_end(), cmd.help);
    }
}

fn line(out: &mut String, name: &str, help: &str) {
    if name.len() + 4 > COLUMN {
        let _ = writeln!(out, "  {name}\n{:COLUMN$}{help}", "");
        return;
    }
    let width = COLUMN - 2;
    let _ = writeln!(out, "  {name:width$}{help}");
}

/// The name of an option with that of its value.
pub(crate) fn name(opt: &Opt) -> String {
    match opt.value {
        Some(value) => format!("--{} {value}", opt.long),
        None => format!("--{}", opt.long),
    }
}
