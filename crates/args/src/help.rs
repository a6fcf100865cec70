//! Generates the text of `--help`.

use std::fmt::Write;

use crate::CliSpec;
use crate::Cmd;
use crate::Opt;

/// Column at which the descriptions of options and commands begin.
const DESCRIPTION_COLUMN: usize = 30;

/// Number of columns at which paragraphs are wrapped.
const TEXT_COLUMNS: usize = 80;

/// Returns the help of a program, or of one of its commands.
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
            write_commands(&mut out, spec);
        }
    }
    let _ = writeln!(out, "\nOptions:");
    for opt in spec.options_for(cmd) {
        write_entry(&mut out, &option_label(&opt), opt.help);
    }
    if cmd.is_none() && !spec.description.is_empty() {
        let _ = writeln!(out, "\n{}", textwrap::fill(spec.description, TEXT_COLUMNS));
    }
    out
}

fn write_commands(out: &mut String, spec: &CliSpec) {
    if spec.cmds.is_empty() {
        return;
    }
    let _ = writeln!(out, "\nCommands:");
    for cmd in spec.cmds {
        let text = format!("{} {}", cmd.name, cmd.operands);
        write_entry(out, text.trim_end(), cmd.help);
    }
}

fn write_entry(out: &mut String, name: &str, help: &str) {
    if name.len() + 4 > DESCRIPTION_COLUMN {
        let _ = writeln!(out, "  {name}\n{:DESCRIPTION_COLUMN$}{help}", "");
        return;
    }
    let width = DESCRIPTION_COLUMN - 2;
    let _ = writeln!(out, "  {name:width$}{help}");
}

/// Returns an option as the help shows it, such as `--config FILE`.
pub(crate) fn option_label(opt: &Opt) -> String {
    match opt.value {
        Some(value) => format!("--{} {value}", opt.long),
        None => format!("--{}", opt.long),
    }
}
