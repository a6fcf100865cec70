//! The INI representation of contracts.

use std::fmt::Display;
use std::fmt::Write;
use std::str::FromStr;

use conf::Document;
use conf::DurationMs;
use conf::List;
use conf::Rate;
use conf::Section;
use conf::SettingsErrors;
use kernel::Name;

use crate::Contract;
use crate::CostPreference;
use crate::NonIdempotentRule;
use crate::UnscoredPolicy;
use crate::model::MAX_CLASS;

/// Default maximum duration of a request.
const DEFAULT_DEADLINE: DurationMs = DurationMs(30_000);

impl FromStr for CostPreference {
    type Err = conf::SettingsErrorKind;

    fn from_str(text: &str) -> Result<Self, conf::SettingsErrorKind> {
        match text {
            "idle" => Ok(Self::Idle),
            "staleness" => Ok(Self::Staleness),
            _ => Err(conf::SettingsErrorKind::Syntax { text: text.into() }),
        }
    }
}

impl FromStr for UnscoredPolicy {
    type Err = conf::SettingsErrorKind;

    fn from_str(text: &str) -> Result<Self, conf::SettingsErrorKind> {
        match text {
            "wait" => Ok(Self::Wait),
            "pass" => Ok(Self::Pass),
            _ => Err(conf::SettingsErrorKind::Syntax { text: text.into() }),
        }
    }
}

impl Display for UnscoredPolicy {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Wait => "wait",
            Self::Pass => "pass",
        })
    }
}

impl Display for CostPreference {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Idle => "idle",
            Self::Staleness => "staleness",
        })
    }
}

/// Parses a contract and validates it as a whole. `file` names the source in error messages.
///
/// # Errors
///
/// Returns all mistakes in the text at once.
///
/// # Examples
///
/// ```
/// use contract::ini;
///
/// let text = "[contract]\ncustomer = aarhus\ntoken-sha256 = 00\nrate = 5\n";
/// let mistakes = ini::parse("aarhus.ini", text).unwrap_err();
/// assert!(mistakes.to_string().contains("token-sha256"));
/// ```
pub fn parse(file: &str, text: &str) -> Result<Contract, SettingsErrors> {
    let mut doc = Document::parse(file, text);
    let mut section = doc.take_section("contract");
    let contract = parse_fields(&mut section);
    doc.finish_section(section);
    doc.finish()?;
    // Each missing field has recorded a mistake, so `finish` has returned if there was one.
    contract.ok_or(SettingsErrors(Vec::new()))
}

fn parse_fields(s: &mut Section) -> Option<Contract> {
    let customer = s.require("customer", "a name");
    let token = s.require("token-sha256", "64 hexadecimal digits");
    let models = s.get_or(
        "models",
        "names separated by commas",
        List::<Name>(Vec::new()),
    );
    let services = s.get_or(
        "services",
        "names separated by commas",
        List::<Name>(Vec::new()),
    );
    let rate = s.require::<Rate>("rate", "requests a second");
    let burst = s.get::<Rate>("burst", "a number of requests");
    let concurrency = s.require("concurrency", "a number of requests");
    let tokens = s.get_or("tokens", "tokens a second", Rate(0.0));
    let class = s.get_or("class", "a priority class from 0 to 7", 3);
    let weight = s.get_or("weight", "a share of at least 1", 1);
    let deadline = s.get_or(
        "deadline",
        "a span of time such as 800ms or 5s",
        DEFAULT_DEADLINE,
    );
    let max_staleness = s.get_or("staleness", "a number of weight versions", 1);
    let cost_preference = s.get_or("weighs", "idle or staleness", CostPreference::Idle);
    let once = s.get_or(
        "once",
        "SERVICE:METHOD:/path rules separated by commas",
        List::<NonIdempotentRule>(Vec::new()),
    );
    let scorer = s.get_or(
        "scorer",
        "the name of a plain service",
        List::<Name>(Vec::new()),
    );
    let unscored = s.get_or("unscored", "wait or pass", UnscoredPolicy::Wait);
    if scorer.0.len() > 1 {
        s.report_invalid("scorer", "one name at most");
    }
    if class > MAX_CLASS {
        s.report_invalid("class", "a priority class from 0 to 7");
    }
    if weight == 0 {
        s.report_invalid("weight", "a share of at least 1");
    }
    if concurrency == Some(0) {
        s.report_invalid("concurrency", "at least 1");
    }
    if rate.is_some_and(|rate| rate.0 == 0.0) {
        s.report_invalid("rate", "more than 0 requests a second");
    }
    if deadline.0 == 0 {
        s.report_invalid("deadline", "a span of time above 0");
    }
    if once
        .0
        .iter()
        .any(|rule| !services.0.contains(&rule.service))
    {
        s.report_invalid("once", "rules for services of this contract");
    }
    if !models.0.is_empty() && tokens.0 == 0.0 {
        s.report_invalid(
            "tokens",
            "more than 0 tokens a second, as the contract has models",
        );
    }
    let rate = rate?;
    Some(Contract {
        customer: customer?,
        token_digest: token?,
        models: models.0,
        services: services.0,
        request_rate: rate.0,
        burst: burst.map_or(rate.0.max(1.0), |burst| burst.0.max(1.0)),
        concurrency: concurrency?,
        token_rate: tokens.0,
        class,
        weight,
        deadline: deadline.0,
        max_staleness,
        cost_preference,
        non_idempotent: once.0,
        scorer: scorer.0.into_iter().next(),
        unscored,
    })
}

fn join<T: Display>(items: &[T]) -> String {
    let items: Vec<_> = items.iter().map(T::to_string).collect();
    items.join(", ")
}

/// Renders a contract as INI text, from which [`parse`] produces the same contract.
pub fn render(c: &Contract) -> String {
    let mut out = String::from("[contract]\n");
    let mut line = |key: &str, value: &dyn Display| {
        let _ = writeln!(out, "{key} = {value}");
    };
    line("customer", &c.customer);
    line("token-sha256", &c.token_digest);
    line("models", &join(&c.models));
    line("services", &join(&c.services));
    line("rate", &c.request_rate);
    line("burst", &c.burst);
    line("concurrency", &c.concurrency);
    line("tokens", &c.token_rate);
    line("class", &c.class);
    line("weight", &c.weight);
    line("deadline", &DurationMs(c.deadline));
    line("staleness", &c.max_staleness);
    line("weighs", &c.cost_preference);
    line("once", &join(&c.non_idempotent));
    let scorer: Vec<_> = c.scorer.iter().collect();
    line("scorer", &join(&scorer));
    line("unscored", &c.unscored);
    out
}

/// Changes single keys of a contract and validates the result as a whole.
///
/// # Errors
///
/// Returns all mistakes in the changed contract, including unknown keys.
pub fn amend(
    contract: &Contract,
    changes: &[(String, String)],
) -> Result<Contract, SettingsErrors> {
    let mut lines: Vec<String> = render(contract).lines().map(str::to_owned).collect();
    for (key, value) in changes {
        let line = format!("{key} = {value}");
        let prefix = format!("{key} = ");
        match lines.iter_mut().find(|old| old.starts_with(&prefix)) {
            Some(old) => *old = line,
            None => lines.push(line),
        }
    }
    parse("amendment", &lines.join("\n"))
}

/// One differing line of two contracts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LineDiff {
    /// The old line; [`None`] if the change only adds one.
    pub before: Option<String>,
    /// The new line; [`None`] if the change only removes one.
    pub after: Option<String>,
}

/// Returns the lines in which two contracts differ, or all lines of `after` if there was no contract before.
pub fn diff(before: Option<&Contract>, after: &Contract) -> Vec<LineDiff> {
    let new = render(after);
    let Some(before) = before else {
        let add = |line: &str| LineDiff {
            before: None,
            after: Some(line.into()),
        };
        return new.lines().skip(1).map(add).collect();
    };
    let old = render(before);
    old.lines()
        .zip(new.lines())
        .filter(|(old, new)| old != new)
        .map(|(old, new)| LineDiff {
            before: Some(old.into()),
            after: Some(new.into()),
        })
        .collect()
}
