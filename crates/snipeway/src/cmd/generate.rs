//! `snipeway generate`.

use std::path::Path;

use args::CliSpec;
use args::ParsedArgs;
use eyre::WrapErr;

/// Specifications of the command lines of all programs.
pub const SPECS: [&CliSpec; 7] = [
    &crate::cli::SPEC,
    &entry::cli::SPEC,
    &control::cli::SPEC,
    &demo::cli::SPEC,
    &standin::cli::SPEC,
    &load::cli::SPEC,
    &platform::cli::SPEC,
];

/// Writes the shell completions and man pages of all programs.
pub(crate) fn run(parsed: &ParsedArgs) -> eyre::Result<()> {
    let folder = Path::new(&parsed.operands[0]);
    for spec in SPECS {
        let program = spec.program;
        write(
            folder,
            "man",
            &format!("{program}.1"),
            &args::man::man(spec),
        )?;
        let bash = args::complete::bash(spec);
        write(folder, "completions", &format!("{program}.bash"), &bash)?;
        let zsh = args::complete::zsh(spec);
        write(folder, "completions", &format!("_{program}"), &zsh)?;
        let fish = args::complete::fish(spec);
        write(folder, "completions", &format!("{program}.fish"), &fish)?;
    }
    Ok(())
}

fn write(folder: &Path, subfolder: &str, name: &str, text: &str) -> eyre::Result<()> {
    let folder = folder.join(subfolder);
    let file = folder.join(name);
    std::fs::create_dir_all(&folder)
        .and_then(|()| std::fs::write(&file, text))
        .wrap_err_with(|| format!("could not write {}", file.display()))
}
