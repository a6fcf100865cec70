//! Tests of command line parsing, the help, man pages and completions.

use args::CliSpec;
use args::Cmd;
use args::Opt;
use args::ParseOutcome;
use args::parse::parse;
use yare::parameterized;

const SPEC: CliSpec = CliSpec {
    program: "snipeway",
    about: "Operates the fleet",
    description: "",
    opts: &[Opt {
        long: "config",
        value: Some("FILE"),
        help: "Settings",
    }],
    cmds: &[
        Cmd {
            name: "contract show",
            operands: "CUSTOMER",
            min_operands: 1,
            max_operands: 1,
            help: "Show a contract",
            opts: &[],
        },
        Cmd {
            name: "audit",
            operands: "",
            min_operands: 0,
            max_operands: 0,
            help: "Show changes",
            opts: &[Opt {
                long: "last",
                value: Some("N"),
                help: "How many",
            }],
        },
    ],
};

fn parse_error(line: &str) -> String {
    match parse(&SPEC, line.split_whitespace()) {
        Ok(parsed) => panic!("accepted {parsed:?}"),
        Err(error) => error.to_string(),
    }
}

#[parameterized(
    unknown_option = { "audit --lasst 3", "unknown option --lasst; did you mean last?" },
    unknown_short_option = { "audit -x", "unknown option -x" },
    unknown_command = { "contract shw a", "unknown command \"contract shw\"; did you mean contract show?" },
    no_command = { "", "a command is missing; see --help" },
    too_few_operands = { "contract show", "usage: snipeway contract show CUSTOMER" },
    too_many_operands = { "audit x", "usage: snipeway audit" },
    option_of_other_command = { "contract show a --last 3", "unknown option --last of contract show" },
    no_value = { "audit --last", "missing argument for option '--last'" },
)]
fn invalid_command_lines_are_explained(line: &str, expected: &str) {
    assert_eq!(parse_error(line), expected);
}

#[test]
fn a_valid_command_line_is_parsed() {
    let outcome = parse(&SPEC, ["contract", "show", "aarhus", "--config", "x"]).unwrap();

    let ParseOutcome::Run(parsed) = outcome else {
        panic!("expected arguments to run with");
    };
    assert_eq!(parsed.cmd, "contract show");
    assert_eq!(parsed.operands, ["aarhus"]);
    assert_eq!(parsed.value("config"), Some("x"));
}

#[test]
fn an_invalid_option_value_is_explained() {
    let Ok(ParseOutcome::Run(parsed)) = parse(&SPEC, ["audit", "--last", "few"]) else {
        panic!("expected arguments to run with");
    };

    let error = parsed.get::<u32>("last", "a number").unwrap_err();

    assert_eq!(
        error.to_string(),
        "--last: expected a number, found \"few\""
    );
}

#[parameterized(
    program = { "--help", "COMMAND" },
    command = { "contract show --help", "CUSTOMER" },
    version = { "--version", "snipeway 0." },
)]
fn help_and_version_are_printed(line: &str, part: &str) {
    let Ok(ParseOutcome::Print(text)) = parse(&SPEC, line.split_whitespace()) else {
        panic!("expected a text to print");
    };

    assert!(text.contains(part), "{text}");
}

#[test]
fn generated_files_contain_every_command() {
    let texts = [
        args::man::man(&SPEC),
        args::complete::bash(&SPEC),
        args::complete::zsh(&SPEC),
        args::complete::fish(&SPEC),
    ];

    for text in texts {
        assert!(
            text.contains("audit") && text.contains("contract"),
            "{text}"
        );
    }
}
