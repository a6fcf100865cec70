//! Slots that go to the waiting stream with the highest priority.

use std::collections::BTreeMap;

use parking_lot::Mutex;
use tokio::sync::oneshot;

#[derive(Debug)]
struct Room {
    free: u32,
    next: u64,
    /// Waiting streams by priority, highest first, then by arrival.
    waiting: BTreeMap<(u8, u64), oneshot::Sender<()>>,
}

/// The slots of an engine.
#[derive(Debug)]
pub(crate) struct Turns {
    room: Mutex<Room>,
}

/// One slot; dropping it passes it on.
#[derive(Debug)]
pub(crate) struct Turn<'a>(&'a Turns);

impl Turns {
    pub(crate) fn new(slots: u32) -> Self {
        let room = Room {
            free: slots,
            next: 0,
            waiting: BTreeMap::new(),
        };
        let room = Mutex::new(room);
        Self { room }
    }

    /// Waits for a slot.
    pub(crate) async fn take(&self, priority: u8) -> Turn<'_> {
        let receiver = {
            let mut room = self.room.lock();
            if room.free > 0 {
                room.free -= 1;
                return Turn(self);
            }
            let (sender, receiver) = oneshot::channel();
            let next = room.next;
            room.next += 1;
            room.waiting.insert((u8::MAX - priority, next), sender);
            receiver
        };
        // The sender is kept until it sends, so waiting cannot fail. A stream that stops waiting
        // drops the receiver, and the slot goes to the next one.
        let _ = receiver.await;
        Turn(self)
    }

    fn pass(&self) {
        let mut room = self.room.lock();
        while let Some((_, sender)) = room.waiting.pop_first() {
            if sender.send(()).is_ok() {
                return;
            }
        }
        room.free += 1;
    }
}

impl Drop for Turn<'_> {
    fn drop(&mut self) {
        self.0.pass();
    }
}
