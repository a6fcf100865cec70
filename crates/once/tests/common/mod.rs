//! A platform that holds one shard, for the tests of the journal.

#![allow(dead_code, reason = "each test file uses its own part")]
#![allow(unreachable_pub, reason = "a module of several test programs")]

use once::Action;
use once::Segment;
use once::Shard;
use once::shard::WriteResult;

/// How the platform treats one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It answers.
    None,
    /// The call never reaches it.
    LostBefore,
    /// The call takes effect and the answer is lost.
    LostAfter,
    /// The answer is lost and the call takes effect at some later time.
    Delayed,
}

/// The platform: the head's revision and the segments that are kept.
#[derive(Debug, Default)]
pub struct Platform {
    pub head: i64,
    pub segments: Vec<Segment>,
    delayed: Vec<(i64, Segment)>,
}

impl Platform {
    fn put(&mut self, head: i64, segment: Segment) -> WriteResult {
        if self.head != head {
            return WriteResult::Conflict;
        }
        self.head += 1;
        self.segments.retain(|kept| kept.seq >= segment.min_seq);
        self.segments.push(segment);
        WriteResult::Committed(self.head)
    }

    /// Lets the oldest delayed call take effect.
    pub fn land(&mut self) {
        if !self.delayed.is_empty() {
            let (head, segment) = self.delayed.remove(0);
            self.put(head, segment);
        }
    }

    /// Carries out what a shard wants next; tells whether there was anything.
    pub fn serve(&mut self, shard: &mut Shard, fault: Fault, now: u64) -> bool {
        match shard.next_action(now) {
            Action::Idle => return false,
            Action::Load { from } if fault == Fault::None => {
                let missing = self.segments.iter().filter(|s| s.seq >= from);
                shard.load_finished(self.head, missing.cloned().collect());
            }
            Action::Load { .. } => shard.load_failed(),
            Action::Write {
                head_revision,
                segment,
            } => {
                let wrote = self.write(head_revision, segment, fault);
                shard.write_finished(wrote);
            }
        }
        true
    }

    fn write(&mut self, head: i64, segment: Segment, fault: Fault) -> WriteResult {
        match fault {
            Fault::None => self.put(head, segment),
            Fault::LostBefore => WriteResult::Unknown,
            Fault::LostAfter => {
                self.put(head, segment);
                WriteResult::Unknown
            }
            Fault::Delayed => {
                self.delayed.push((head, segment));
                WriteResult::Unknown
            }
        }
    }
}
