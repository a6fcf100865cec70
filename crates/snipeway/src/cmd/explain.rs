//! `snipeway explain`.

use std::io::Read;

use args::ParsedArgs;
use jiff::Timestamp;
use wire::caller::HistoryEntry;
use wire::caller::StepState;

use crate::error::CommandError;

/// Prints the instances' histories of a request, a step or an upstream, or its timeline from log files if any are given.
pub(crate) async fn run(parsed: &ParsedArgs) -> eyre::Result<()> {
    let subject = &parsed.operands[0];
    if let [_, files @ ..] = &*parsed.operands
        && !files.is_empty()
    {
        return print_timeline(subject, files);
    }
    let settings = super::load_settings(parsed)?;
    let fleet = super::fleet(&settings);
    let mut found = false;
    for (name, result) in fleet.explain(subject).await {
        if let Ok(history) = result {
            found = true;
            let customer = history.customer.as_deref().unwrap_or("-").to_owned();
            args::print_line!("{subject} at {name}, contract {customer}:");
            print_entries(&history.notes);
        }
    }
    for (_, result) in fleet.step_state(subject).await {
        if let Ok(state) = result {
            found = true;
            print_step(&state);
        }
    }
    if !found {
        return Err(CommandError::UnknownSubject(subject.clone()).into());
    }
    Ok(())
}

/// Prints the timeline of a subject from log files; `-` is standard input.
fn print_timeline(subject: &str, files: &[String]) -> eyre::Result<()> {
    let mut text = String::new();
    for file in files {
        match file.as_str() {
            "-" => drop(std::io::stdin().read_to_string(&mut text)?),
            file => text.push_str(&conf::load(file)?),
        }
        text.push('\n');
    }
    let events = operate::timeline::collect(subject, text.lines());
    if events.is_empty() {
        return Err(CommandError::UnknownSubject(subject.to_owned()).into());
    }
    for event in events {
        let fields = event.fields.iter();
        let fields: Vec<_> = fields
            .map(|(name, value)| format!("{name}={value}"))
            .collect();
        let (at, process, what) = (event.at, event.process, event.what);
        args::print_line!("{at}  {process}  {what}: {}", fields.join(" "));
    }
    Ok(())
}

fn print_entries(entries: &[HistoryEntry]) {
    for entry in entries {
        let time = Timestamp::from_millisecond(entry.at as i64);
        let time = time.map_or_else(|_| entry.at.to_string(), |time| time.to_string());
        args::print_line!("  {time}  {}", entry.what);
    }
}

fn print_step(state: &StepState) {
    args::print_line!(
        "step {} at {}, contract {}:",
        state.step,
        state.instance,
        state.customer
    );
    args::print_line!(
        "  {} samples: {} with the trainer, {} ready, {} running",
        state.total,
        state.held,
        state.ready,
        state.running
    );
    let counts = &state.counts;
    args::print_line!(
        "  {} attempts: {} resumed, {} moved, {} too old and made again, {} given up; {} tokens \
         thrown away",
        counts.begun,
        counts.resumed,
        counts.moved,
        counts.stale,
        counts.lost,
        counts.wasted
    );
    print_entries(&state.events);
}
