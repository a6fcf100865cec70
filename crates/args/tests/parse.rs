//! Tests of command lines.

use args::CliSpec;
use args::Cmd;
use args::Opt;
use args::Parse;
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

fn error(line: &str) -> String {
    match parse(&SPEC, line.split_whitespace()) {
        Ok(parsed) => panic!("accepted {parsed:?}"),
        Err(error) => error.to_string(),
    }
}

#[parameterized(
    option = { "audit --lasst 3", "unknown option --lasst; did you mean last?" },
    short = { "audit -x", "unknown option -x" },
    command = { "contract shw a", "unknown command \"contract shw\"; did you mean contract show?" },
    none = { "", "a command is missing; see --help" },
    few = { "contract show", "usage: snipeway contract show CUSTOMER" },
    many = { "audit x", "usage: snipeway audit" },
    foreign = { "contract show a --last 3", "unknown option --last of contract show" },
    no_value = { "audit --last", "missing argument for option '--last'" },
)]
fn a_wrong_line_is_explained(line: &str, expected: &str) {
    assert_eq!(error(line), expected);
}

#[test]
fn a_right_line_is_taken_apart() {
    let parsed = parse(&SPEC, ["contract", "show", "aarhus", "--config", "x"]).unwrap();

    let Parse::Run(parsed) = parsed else {
        panic!("no help was asked for");
    };
    assert_eq!(parsed.cmd, "contract show");
    assert_eq!(parsed.operands, ["aarhus"]);
    assert_eq!(parsed.value("config"), Some("x"));
}

#[test]
fn a_value_of_the_wrong_form_is_explained() {
    let Ok(Parse::Run(parsed)) = parse(&SPEC, ["audit", "--last", "few"]) else {
        panic!("not parsed");
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
fn texts_are_shown(line: &str, part: &str) {
    let Ok(Parse::Show(text)) = parse(&SPEC, line.split_whitespace()) else {
        panic!("not shown");
    };

    assert!(text.contains(part), "{text}");
}

#[test]
fn generated_files_name_every_command() {
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
