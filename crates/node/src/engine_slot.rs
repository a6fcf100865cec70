//! Slots at engines that are reserved for runs of samples.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use kernel::Millis;
use table::Upstream;

use crate::App;
use crate::owner::OwnedStep;

/// A slot at an engine that is reserved for a run of a sample until it is dropped, also when the run never begins.
pub(crate) struct EngineSlot {
    app: Arc<App>,
    owned: Arc<OwnedStep>,
    engine: Arc<Upstream>,
    index: u32,
    started_at: Millis,
    tokens: AtomicU64,
}

impl EngineSlot {
    /// Creates the slot for a run that the engine tracker counts already, with this number of tokens.
    pub(crate) fn reserved(
        app: &Arc<App>,
        owned: &Arc<OwnedStep>,
        engine: Arc<Upstream>,
        index: u32,
        tokens: u64,
    ) -> Self {
        owned.run_started(index, &engine.id);
        Self {
            app: app.clone(),
            owned: owned.clone(),
            engine,
            index,
            started_at: app.clock.now(),
            tokens: AtomicU64::new(tokens),
        }
    }

    /// When it was reserved.
    pub(crate) fn started_at(&self) -> Millis {
        self.started_at
    }

    /// Records an event of `tokens` tokens; `gap` is the time since the previous event in milliseconds.
    pub(crate) fn record_event(&self, gap: Option<f64>, tokens: u64) {
        self.tokens.fetch_add(tokens, Ordering::Relaxed);
        let mut tracker = self.app.engine_tracker.lock();
        tracker.run_grew(&self.engine.id, tokens);
        match gap {
            Some(gap) => tracker.event_received(&self.engine.id, gap),
            None => tracker.engine_answered(&self.engine.id),
        }
    }
}

impl Drop for EngineSlot {
    fn drop(&mut self) {
        let Self { app, engine, .. } = self;
        let tokens = self.tokens.load(Ordering::Relaxed);
        let mut tracker = app.engine_tracker.lock();
        tracker.run_ended(&engine.id, tokens);
        tracker.model_run_ended(&engine.id, self.owned.model(), self.started_at);
        drop(tracker);
        self.owned.run_ended(self.index);
        app.capacity_changed.notify_waiters();
    }
}
