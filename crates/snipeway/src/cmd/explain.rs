//! `snipeway explain`.

use std::io::Read;

use args::ParsedArgs;
use jiff::Timestamp;
use wire::caller::HistoryEntry;
use wire::caller::StepState;

use crate::error::CommandError;

/// Tells what the instances know of a request, a step or an upstream.
pub(crate) async fn run(parsed: &ParsedArgs) -> eyre::Result<()> {
    let about = &parsed.operands[0];
    if let [_, files @ ..] = &*parsed.operands
        && !files.is_empty()
    {
        return story(about, files);
    }
    let settings = super::load(parsed)?;
    let fleet = super::fleet(&settings);
    let mut told = false;
    for (name, answer) in fleet.explain(about).await {
        if let Ok(story) = answer {
            told = true;
            let customer = story.customer.as_deref().unwrap_or("-").to_owned();
            args::print_line!("{about} at {name}, contract {customer}:");
            notes(&story.notes);
        }
    }
    for (_, answer) in fleet.step_state(about).await {
        if let Ok(state) = answer {
            told = true;
            step(&state);
        }
    }
    if !told {
        return Err(CommandError::Unknown(about.clone()).into());
    }
    Ok(())
}

/// Tells the story of something from log files.
fn story(about: &str, files: &[String]) -> eyre::Result<()> {
    let mut text = String::new();
    for file in files {
        match file.as_str() {
            "-" => drop(std::io::stdin().read_to_string(&mut text)?),
            file => text.push_str(&conf::load(file)?),
        }
        text.push('\n');
    }
    let events = operate::story::collect(about, text.lines());
    if events.is_empty() {
        return Err(CommandError::Unknown(about.to_owned()).into());
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

fn notes(notes: &[HistoryEntry]) {
    for note in notes {
        let at = Timestamp::from_millisecond(note.at as i64);
        let at = at.map_or_else(|_| note.at.to_string(), |at| at.to_string());
        args::print_line!("  {at}  {}", note.what);
    }
}

fn step(state: &StepState) {
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
    let c = &state.counts;
    args::print_line!(
        "  {} attempts: {} resumed, {} moved, {} too old and made again, {} given up; {} tokens \
         thrown away",
        c.begun,
        c.resumed,
        c.moved,
        c.stale,
        c.lost,
        c.wasted
    );
    notes(&state.events);
}
