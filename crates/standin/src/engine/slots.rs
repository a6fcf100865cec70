//! Slots of an engine, which are assigned to the waiting stream with the highest priority.

use std::collections::BTreeMap;

use parking_lot::Mutex;
use tokio::sync::oneshot;

#[derive(Debug)]
struct QueueState {
    free: u32,
    next_ticket: u64,
    /// Waiting streams by inverted priority, so that the highest comes first, then by order of arrival.
    waiting: BTreeMap<(u8, u64), oneshot::Sender<()>>,
}

/// The slots of an engine and the queue of the streams that wait for one.
#[derive(Debug)]
pub(crate) struct SlotQueue {
    state: Mutex<QueueState>,
}

/// A slot in use; dropping it assigns the slot to the next waiting stream.
#[derive(Debug)]
pub(crate) struct SlotGuard<'a>(&'a SlotQueue);

impl SlotQueue {
    pub(crate) fn new(slots: u32) -> Self {
        let state = QueueState {
            free: slots,
            next_ticket: 0,
            waiting: BTreeMap::new(),
        };
        let state = Mutex::new(state);
        Self { state }
    }

    /// Waits for a slot.
    pub(crate) async fn acquire(&self, priority: u8) -> SlotGuard<'_> {
        let receiver = {
            let mut state = self.state.lock();
            if state.free > 0 {
                state.free -= 1;
                return SlotGuard(self);
            }
            let (sender, receiver) = oneshot::channel();
            let ticket = state.next_ticket;
            state.next_ticket += 1;
            state.waiting.insert((u8::MAX - priority, ticket), sender);
            receiver
        };
        // Receiving cannot fail, since the sender is kept until it sends. A stream that stops waiting drops its
        // receiver; sending then fails, and the slot goes to the next stream.
        let _ = receiver.await;
        SlotGuard(self)
    }

    fn release(&self) {
        let mut state = self.state.lock();
        while let Some((_, sender)) = state.waiting.pop_first() {
            if sender.send(()).is_ok() {
                return;
            }
        }
        state.free += 1;
    }
}

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        self.0.release();
    }
}
