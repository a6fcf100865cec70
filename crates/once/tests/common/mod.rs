//! An in-memory platform with one journal shard, for the tests of the journal.

#![allow(dead_code, reason = "each test file uses its own part")]
#![allow(unreachable_pub, reason = "a module of several test programs")]

use once::Action;
use once::Segment;
use once::Shard;
use once::shard::WriteResult;

/// The fault that one platform call meets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The call succeeds.
    None,
    /// The request is lost.
    RequestLost,
    /// The call takes effect but its reply is lost.
    ReplyLost,
    /// The reply is lost and the call takes effect later.
    Delayed,
}

/// The platform's state: the head's revision and the stored segments.
#[derive(Debug, Default)]
pub struct Platform {
    pub head_revision: i64,
    pub segments: Vec<Segment>,
    delayed: Vec<(i64, Segment)>,
}

impl Platform {
    fn put(&mut self, head_revision: i64, segment: Segment) -> WriteResult {
        if self.head_revision != head_revision {
            return WriteResult::Conflict;
        }
        self.head_revision += 1;
        self.segments.retain(|kept| kept.seq >= segment.min_seq);
        self.segments.push(segment);
        WriteResult::Committed(self.head_revision)
    }

    /// Applies the oldest delayed write.
    pub fn apply_delayed(&mut self) {
        if !self.delayed.is_empty() {
            let (head_revision, segment) = self.delayed.remove(0);
            self.put(head_revision, segment);
        }
    }

    /// Carries out the shard's next action; returns whether there was one.
    pub fn run_action(&mut self, shard: &mut Shard, fault: Fault, now: u64) -> bool {
        match shard.next_action(now) {
            Action::Idle => return false,
            Action::Load { from } if fault == Fault::None => {
                let missing = self.segments.iter().filter(|s| s.seq >= from);
                shard.load_finished(self.head_revision, missing.cloned().collect());
            }
            Action::Load { .. } => shard.load_failed(),
            Action::Write {
                head_revision,
                segment,
            } => {
                let result = self.write(head_revision, segment, fault);
                shard.write_finished(result);
            }
        }
        true
    }

    fn write(&mut self, head_revision: i64, segment: Segment, fault: Fault) -> WriteResult {
        match fault {
            Fault::None => self.put(head_revision, segment),
            Fault::RequestLost => WriteResult::Unknown,
            Fault::ReplyLost => {
                self.put(head_revision, segment);
                WriteResult::Unknown
            }
            Fault::Delayed => {
                self.delayed.push((head_revision, segment));
                WriteResult::Unknown
            }
        }
    }
}
