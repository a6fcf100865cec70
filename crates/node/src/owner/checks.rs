//! Asking the platform whether a step has ended.

use std::sync::Arc;

use batch::keys;
use kernel::Millis;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::AGAIN;
use super::Work;
use crate::App;

/// Time without word from the platform after which it is asked whether the step has ended. A
/// sample must not begin more than three seconds after the end.
const CHECK: Millis = 900;

/// The question that is under way, and when it was asked.
#[derive(Debug, Default)]
pub(super) struct Checks {
    asks: JoinSet<bool>,
    checked: Millis,
}

impl Checks {
    /// Waits until a question has been answered, and tells whether the step has ended; [`None`] when
    /// there is no question.
    pub(super) async fn ended(&mut self) -> Option<bool> {
        let ended = self.asks.join_next().await?;
        // A question that panicked had no answer.
        Some(ended.unwrap_or(false))
    }

    /// Asks when nothing was heard for a while. That a step has not ended says nothing of whose it is:
    /// an owner that was replaced meanwhile hears the same.
    pub(super) fn begin(&mut self, app: &Arc<App>, work: &Arc<Work>) {
        let now = app.clock.now();
        let heard = self.checked.max(work.confirmed());
        if now < heard + CHECK || !self.asks.is_empty() {
            return;
        }
        self.checked = now;
        let (app, work) = (app.clone(), work.clone());
        self.asks.spawn(async move {
            match app.plat.get(&keys::end(&work.step)).await {
                Ok(Some(_)) => true,
                Ok(None) => {
                    work.hear(now);
                    false
                }
                Err(error) => {
                    let why = error.to_string();
                    log::info!(target: "owner", id = &*work.step, why = why.as_str(),
                        heard_ms = work.unheard(&app); "not known whether the step has ended");
                    // It is asked again; results are written under the condition that it has not.
                    sleep(AGAIN).await;
                    false
                }
            }
        });
    }
}
