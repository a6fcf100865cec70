//! Checks at the platform whether a step is open, often enough that no sample is started long after its end.

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
use crate::peer_relay;
use crate::peer_relay::RelayedRead;
use crate::step_head;

/// The cancellation bound of a step divided by this is the time after which an unanswered check is also sent through
/// other instances.
const RELAY_DELAY_DIVISOR: u64 = 10;

/// The cancellation bound of a step divided by this is the time limit of a check, direct and relayed.
const CHECK_TIMEOUT_DIVISOR: u64 = 3;

/// Result of [`read_head`].
enum HeadRead {
    /// The step's head, if there is one.
    Head(Option<Item>),
    /// Neither this instance reaches the platform nor the other instances that answered, if there are any.
    Outage,
    /// The read failed, but the platform may serve other instances.
    Failed(PlatError),
}

/// The running check of a step.
#[derive(Debug, Default)]
pub(super) struct Checks {
    running: JoinSet<()>,
}

impl Checks {
    /// Waits until a check has finished; [`None`] when none is running.
    pub(super) async fn finished(&mut self) -> Option<()> {
        self.running.join_next().await.map(|_| ())
    }

    /// Starts a check if one is due.
    pub(super) fn begin(&mut self, app: &Arc<App>, owned: &Arc<OwnedStep>) {
        if !self.running.is_empty() {
            return;
        }
        let sent_at = app.clock.now();
        {
            let mut confirmation = owned.confirmation.lock();
            if !confirmation.is_check_due(sent_at) {
                return;
            }
            confirmation.start_check(sent_at);
        }
        let (app, owned) = (app.clone(), owned.clone());
        self.running
            .spawn(async move { check(&app, &owned, sent_at).await });
    }
}

async fn check(app: &Arc<App>, owned: &OwnedStep, sent_at: Millis) {
    // An instance that the platform does not serve relays the read through others without delay.
    let relay_delay = match app.plat.is_unserved() {
        true => 0,
        false => app.settings.end_limit / RELAY_DELAY_DIVISOR,
    };
    let state = match read_head(app, owned, relay_delay).await {
        HeadRead::Head(item) => step_head::ownership_state(sent_at, owned.rev, item.as_ref()),
        HeadRead::Outage => {
            // The outage is confirmed as of the time at which the other instances were asked to relay the read.
            owned
                .confirmation
                .lock()
                .record_outage(sent_at + relay_delay);
            return owned.log_unconfirmed(app, "no instance reaches the platform");
        }
        HeadRead::Failed(error) => Err(error),
    };
    match state {
        Ok(state) => {
            owned.apply_state(app, state);
        }
        Err(error) => owned.log_unconfirmed(app, &error.to_string()),
    }
}

/// Reads the head of a step from the platform, and also through other instances if there is no answer after
/// `relay_delay` milliseconds.
async fn read_head(app: &Arc<App>, owned: &OwnedStep, relay_delay: Millis) -> HeadRead {
    let call = Call::Get(keys::head(&owned.step));
    let limit = Duration::from_millis(app.settings.end_limit / CHECK_TIMEOUT_DIVISOR);
    let relay_delay = Duration::from_millis(relay_delay);
    let direct = pin!(with_timeout(limit, app.plat.call_direct(&call)));
    let relayed = pin!(async {
        sleep(relay_delay).await;
        peer_relay::relay_read(app, &call, limit - relay_delay).await
    });
    let (error, others) = match select(direct, relayed).await {
        Either::Left((Ok(answer), _)) | Either::Right((RelayedRead::Answer(answer), _)) => {
            return decode_answer(answer);
        }
        Either::Left((Err(error), relayed)) => (error, relayed.await),
        Either::Right((others, direct)) => match direct.await {
            Ok(answer) => return decode_answer(answer),
            Err(error) => (error, others),
        },
    };
    match others {
        RelayedRead::Answer(answer) => decode_answer(answer),
        RelayedRead::Unavailable if error.is_unavailable() => HeadRead::Outage,
        RelayedRead::Unavailable | RelayedRead::NoReply => HeadRead::Failed(error),
    }
}

async fn with_timeout(
    limit: Duration,
    call: impl Future<Output = Result<Answer, PlatError>>,
) -> Result<Answer, PlatError> {
    timeout(limit, call)
        .await
        .unwrap_or(Err(PlatError::NoAnswer))
}

fn decode_answer(answer: Answer) -> HeadRead {
    match answer {
        Answer::Range(range) => HeadRead::Head(range.items.into_iter().next()),
        _ => HeadRead::Failed(PlatError::Garbled),
    }
}
