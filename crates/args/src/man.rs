//! Generates man pages.

use roff::Roff;
use roff::bold;
use roff::italic;
use roff::roman;

use crate::CliSpec;
use crate::Opt;

/// Returns the man page of a program in roff.
pub fn man(spec: &CliSpec) -> String {
    let mut page = Roff::new();
    let version = concat!("snipeway ", env!("CARGO_PKG_VERSION"));
    page.control("TH", [spec.program, "1", "", version, "snipeway"]);
    page.control("SH", ["NAME"]);
    page.text([roman(format!("{} - {}", spec.program, spec.about))]);
    page.control("SH", ["SYNOPSIS"]);
    let command = if spec.cmds.is_empty() { "" } else { " COMMAND" };
    page.text([
        bold(spec.program),
        roman(command),
        roman(" ["),
        italic("OPTION"),
        roman("]..."),
    ]);
    if !spec.description.is_empty() {
        page.control("SH", ["DESCRIPTION"]);
        page.text([roman(spec.description)]);
    }
    if !spec.cmds.is_empty() {
        page.control("SH", ["COMMANDS"]);
        for cmd in spec.cmds {
            page.control("TP", []);
            page.text([bold(cmd.name), roman(" "), italic(cmd.operands)]);
            page.text([roman(cmd.help)]);
            write_options(&mut page, cmd.opts);
        }
    }
    page.control("SH", ["OPTIONS"]);
    write_options(&mut page, &spec.options_for(None));
    page.control("SH", ["EXIT STATUS"]);
    for (code, text) in [
        ("0", "Done."),
        ("1", "Failed."),
        ("2", "The command line or the settings are wrong."),
    ] {
        page.control("TP", []);
        page.text([bold(code)]);
        page.text([roman(text)]);
    }
    page.to_roff()
}

fn write_options(page: &mut Roff, opts: &[Opt]) {
    for opt in opts {
        page.control("TP", []);
        let name = bold(format!("--{}", opt.long));
        match opt.value {
            Some(value) => page.text([name, roman(" "), italic(value)]),
            None => page.text([name]),
        };
        page.text([roman(opt.help)]);
    }
}
