//! Generates shell completions.

use std::fmt::Write;

use crate::CliSpec;

/// Returns the first word of each command and every long option, each with its help text.
fn top_level_words(spec: &CliSpec) -> Vec<(String, &'static str)> {
    let mut words = Vec::new();
    for cmd in spec.cmds {
        let first = cmd.name.split(' ').next().unwrap_or("").to_owned();
        if !words.iter().any(|(word, _)| *word == first) {
            words.push((first, cmd.help));
        }
    }
    let mut opts = spec.options_for(None);
    opts.extend(spec.cmds.iter().flat_map(|cmd| cmd.opts));
    for opt in opts {
        let long = format!("--{}", opt.long);
        if !words.iter().any(|(word, _)| *word == long) {
            words.push((long, opt.help));
        }
    }
    words
}

/// Returns the first word, second word and help text of each command with a two-word name.
fn subcommands(spec: &CliSpec) -> Vec<(&'static str, &'static str, &'static str)> {
    let subcommands = spec.cmds.iter().filter_map(|cmd| {
        let (first, second) = cmd.name.split_once(' ')?;
        Some((first, second, cmd.help))
    });
    subcommands.collect()
}

/// Returns the completion script for bash.
pub fn bash(spec: &CliSpec) -> String {
    let name = spec.program.replace('-', "_");
    let words: Vec<_> = top_level_words(spec)
        .into_iter()
        .map(|(word, _)| word)
        .collect();
    let mut out = String::new();
    let _ = writeln!(out, "_{name}() {{");
    let _ = writeln!(out, "    local cur=\"${{COMP_WORDS[COMP_CWORD]}}\"");
    let _ = writeln!(out, "    local prev=\"${{COMP_WORDS[COMP_CWORD-1]}}\"");
    let _ = writeln!(out, "    case \"$prev\" in");
    let _ = writeln!(
        out,
        "        --config) COMPREPLY=($(compgen -f -- \"$cur\")); return ;;"
    );
    let subcommands = subcommands(spec);
    let mut groups: Vec<_> = subcommands.iter().map(|(first, _, _)| *first).collect();
    groups.dedup();
    for first in groups {
        let of_group = subcommands.iter().filter(|(other, _, _)| *other == first);
        let seconds: Vec<_> = of_group.map(|(_, second, _)| *second).collect();
        let list = seconds.join(" ");
        let _ = writeln!(
            out,
            "        {first}) COMPREPLY=($(compgen -W \"{list}\" -- \"$cur\")); return ;;"
        );
    }
    let _ = writeln!(out, "    esac");
    let list = words.join(" ");
    let _ = writeln!(out, "    COMPREPLY=($(compgen -W \"{list}\" -- \"$cur\"))");
    let _ = writeln!(out, "}}\ncomplete -F _{name} {}", spec.program);
    out
}

/// Returns the completion script for zsh.
pub fn zsh(spec: &CliSpec) -> String {
    let mut out = format!("#compdef {}\n\nlocal -a words=(\n", spec.program);
    for (word, help) in top_level_words(spec) {
        let help = help.replace('\'', "'\\''").replace(':', "\\:");
        let _ = writeln!(out, "    '{word}:{help}'");
    }
    out.push_str(")\n_describe 'command or option' words\n_files\n");
    out
}

/// Returns the completion script for fish.
pub fn fish(spec: &CliSpec) -> String {
    let mut out = String::new();
    let quote = |help: &str| help.replace('\'', "\\'");
    for (word, help) in top_level_words(spec) {
        let help = quote(help);
        match word.strip_prefix("--") {
            Some(long) => {
                let _ = writeln!(out, "complete -c {} -l {long} -d '{help}'", spec.program);
            }
            None => {
                let _ = writeln!(
                    out,
                    "complete -c {} -n __fish_use_subcommand -a {word} -d '{help}'",
                    spec.program
                );
            }
        }
    }
    for (first, second, help) in subcommands(spec) {
        let help = quote(help);
        let _ = writeln!(
            out,
            "complete -c {} -n '__fish_seen_subcommand_from {first}' -a {second} -d '{help}'",
            spec.program
        );
    }
    out
}
