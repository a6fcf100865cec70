//! `snipeway explain`.

use args::Parsed;
use jiff::Timestamp;
use wire::caller::Note;
use wire::caller::StepState;

use crate::error::CommandError;

/// Tells what the instances know of a request, a step or an upstream.
pub(crate) async fn run(parsed: &Parsed) -> eyre::Result<()> {
    let settings = super::load(parsed)?;
    let about = &parsed.operands[0];
    let fleet = super::fleet(&settings);
    let mut told = false;
    for (name, answer) in fleet.explain(about).await {
        if let Ok(story) = answer {
            told = true;
            let customer = story.customer.as_deref().unwrap_or("-").to_owned();
            args::say!("{about} at {name}, contract {customer}:");
            notes(&story.notes);
        }
    }
    for (_, answer) in fleet.step(about).await {
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

fn notes(notes: &[Note]) {
    for note in notes {
        let at = Timestamp::from_millisecond(note.at as i64);
        let at = at.map_or_else(|_| note.at.to_string(), |at| at.to_string());
        args::say!("  {at}  {}", note.what);
    }
}

fn step(state: &StepState) {
    args::say!(
        "step {} at {}, contract {}:",
        state.step,
        state.instance,
        state.customer
    );
    args::say!(
        "  {} samples: {} with the trainer, {} ready, {} running",
        state.total,
        state.held,
        state.ready,
        state.running
    );
    let c = &state.counts;
    args::say!(
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
