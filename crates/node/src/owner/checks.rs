//! Asking the platform whether a step is open, in time to begin no sample long after its end.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use batch::keys;
use futures_util::future::Either;
use futures_util::future::select;
use kernel::Millis;
use plat::Answer;
use plat::Call;
use plat::Item;
use plat::PlatError;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::timeout;

use super::OwnedStep;
use crate::App;
use crate::claim;
use crate::through;
use crate::through::Others;

/// What the time in which an end has to be in force is divided by to give the time after which a question is asked through
/// others as well.
const PATIENCE: u64 = 10;

/// What it is divided by to give the time that a question may take with both.
const LIMIT: u64 = 3;

/// What a question came to.
enum Came {
    /// The step's head.
    Head(Option<Item>),
    /// Neither this instance nor others that were reached reach the platform.
    Outage,
    /// Nothing was heard here, though the platform may serve others.
    Nothing(PlatError),
}

/// The question that is under way.
#[derive(Debug, Default)]
pub(super) struct Checks {
    asks: JoinSet<()>,
}

impl Checks {
    /// Waits until a question has been answered; [`None`] when there is none.
    pub(super) async fn ended(&mut self) -> Option<()> {
        self.asks.join_next().await.map(|_| ())
    }

    /// Asks when nothing was heard for a while.
    pub(super) fn begin(&mut self, app: &Arc<App>, work: &Arc<OwnedStep>) {
        if !self.asks.is_empty() {
            return;
        }
        let asked = app.clock.now();
        {
            let mut word = work.word.lock();
            if !word.is_check_due(asked) {
                return;
            }
            word.start_check(asked);
        }
        let (app, work) = (app.clone(), work.clone());
        self.asks
            .spawn(async move { question(&app, &work, asked).await });
    }
}

async fn question(app: &Arc<App>, work: &OwnedStep, asked: Millis) {
    // One that was turned away a moment ago has the others ask at once.
    let patience = match app.plat.is_unserved() {
        true => 0,
        false => app.settings.cancel / PATIENCE,
    };
    let head = match hear(app, work, patience).await {
        Came::Head(item) => claim::ownership_state(asked, work.rev, item.as_ref()),
        Came::Outage => {
            // When the others were asked.
            work.word.lock().record_outage(asked + patience);
            return work.unknown(app, "nobody reaches the platform");
        }
        Came::Nothing(error) => Err(error),
    };
    match head {
        Ok(standing) => {
            work.stand(app, standing);
        }
        Err(error) => work.unknown(app, &error.to_string()),
    }
}

/// Asks the platform, and others to ask it when it does not answer soon.
async fn hear(app: &Arc<App>, work: &OwnedStep, patience: Millis) -> Came {
    let call = Call::Get(keys::head(&work.step));
    let limit = Duration::from_millis(app.settings.cancel / LIMIT);
    let patience = Duration::from_millis(patience);
    let direct = pin!(in_time(limit, app.plat.call_direct(&call)));
    let others = pin!(async {
        sleep(patience).await;
        through::any(app, &call, limit - patience).await
    });
    let (error, said) = match select(direct, others).await {
        Either::Left((Ok(answer), _)) | Either::Right((Others::Answer(answer), _)) => {
            return head_of(answer);
        }
        Either::Left((Err(error), others)) => (error, others.await),
        Either::Right((said, direct)) => match direct.await {
            Ok(answer) => return head_of(answer),
            Err(error) => (error, said),
        },
    };
    match said {
        Others::Answer(answer) => head_of(answer),
        Others::Away if error.is_unavailable() => Came::Outage,
        Others::Away | Others::Nobody => Came::Nothing(error),
    }
}

async fn in_time(
    limit: Duration,
    call: impl Future<Output = Result<Answer, PlatError>>,
) -> Result<Answer, PlatError> {
    timeout(limit, call)
        .await
        .unwrap_or(Err(PlatError::NoAnswer))
}

fn head_of(answer: Answer) -> Came {
    match answer {
        Answer::Range(range) => Came::Head(range.items.into_iter().next()),
        _ => Came::Nothing(PlatError::Garbled),
    }
}
