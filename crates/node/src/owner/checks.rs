//! Asking the platform whether a step has ended.

use std::sync::Arc;

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
    asks: JoinSet<()>,
    checked: Millis,
}

impl Checks {
    /// Waits until a question has been answered; [`None`] when there is none.
    pub(super) async fn ended(&mut self) -> Option<()> {
        self.asks.join_next().await.map(|_| ())
    }

    /// Asks when nothing was heard for a while.
    pub(super) fn begin(&mut self, app: &Arc<App>, work: &Arc<Work>) {
        let now = app.clock.now();
        let heard = self.checked.max(work.heard());
        if now < heard + CHECK || !self.asks.is_empty() {
            return;
        }
        self.checked = now;
        let (app, work) = (app.clone(), work.clone());
        self.asks.spawn(async move {
            if let Err(error) = work.ask(&app).await {
                let why = error.to_string();
                log::info!(target: "owner", id = &*work.step, why = why.as_str(),
                    heard_ms = work.unheard(&app); "not known whether the step is open");
                // It is asked again; results are written under the condition that it has not ended.
                sleep(AGAIN).await;
            }
        });
    }
}
