//! Shell completions.

use std::fmt::Write;

use crate::CliSpec;

/// Every first word and long option that a program takes, with explanations.
fn words(spec: &CliSpec) -> Vec<(String, &'static str)> {
    let mut words = Vec::new();
    for cmd in spec.cmds {
        let first = cmd.name.split(' ').next().unwrap_or("").to_owned();
        if !words.iter().any(|(word, _)| *word == first) {
            words.push((first, cmd.help));
        }
    }
    let mut opts = spec.all(None);
    opts.extend(spec.cmds.iter().flat_map(|cmd| cmd.opts));
    for opt in opts {
        let long = format!("--{}", opt.long);
        if !words.iter().any(|(word, _)| *word == long) {
            words.push((long, opt.help));
        }
    }
    words
}

/// Second words of the commands that have two.
fn seconds(spec: &CliSpec) -> Vec<(&'static str, &'static str, &'static str)> {
    let pairs = spec.cmds.iter().filter_map(|cmd| {
        let (first, second) = cmd.name.split_once(' ')?;
        Some((first, second, cmd.help))
    });
    pairs.collect()
}

/// Writes the completions for bash.
pub fn bash(spec: &CliSpec) -> String {
    let name = spec.program.replace('-', "_");
    let all: Vec<_> = words(spec).into_iter().map(|(word, _)| word).collect();
    let mut out = String::new();
    let _ = writeln!(out, "_{name}() {{");
    let _ = writeln!(out, "    local cur=\"${{COMP_WORDS[COMP_CWORD]}}\"");
    let _ = writeln!(out, "    local prev=\"${{COMP_WORDS[COMP_CWORD-1]}}\"");
    let _ = writeln!(out, "    case \"$prev\" in");
    let _ = writeln!(
        out,
        "        --config) COMPREPLY=($(compgen -f -- \"$cur\")); return ;;"
    );
    let pairs = seconds(spec);
    let mut firsts: Vec<_> = pairs.iter().map(|(first, _, _)| *first).collect();
    firsts.dedup();
    for first in firsts {
        let of_first = pairs.iter().filter(|(other, _, _)| *other == first);
        let seconds: Vec<_> = of_first.map(|(_, second, _)| *second).collect();
        let list = seconds.join(" ");
        let _ = writeln!(
            out,
            "        {first}) COMPREPLY=($(compgen -W \"{list}\" -- \"$cur\")); return ;;"
        );
    }
    let _ = writeln!(out, "    esac");
    let list = all.join(" ");
    let _ = writeln!(out, "    COMPREPLY=($(compgen -W \"{list}\" -- \"$cur\"))");
    let _ = writeln!(out, "}}\ncomplete -F _{name} {}", spec.program);
    out
}

/// Writes the completions for zsh.
pub fn zsh(spec: &CliSpec) -> String {
    let mut out = format!("#compdef {}\n\nlocal -a words=(\n", spec.program);
    for (word, help) in words(spec) {
        let help = help.replace('\'', "'\\''").replace(':', "\\:");
        let _ = writeln!(out, "    '{word}:{help}'");
    }
    out.push_str(")\n_describe 'command or option' words\n_files\n");
    out
}

/// Writes the completions for fish.
pub fn fish(spec: &CliSpec) -> String {
    let mut out = String::new();
    let quote = |help: &str| help.replace('\'', "\\'");
    for (word, help) in words(spec) {
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
    for (first, second, help) in seconds(spec) {
        let help = quote(help);
        let _ = writeln!(
            out,
            "complete -c {} -n '__fish_seen_subcommand_from {first}' -a {second} -d '{help}'",
            spec.program
        );
    }
    out
}
