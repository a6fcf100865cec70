//! In which order samples are begun, and which are moved: a plug-in.

use kernel::plugin::Plugin;
use kernel::plugin::inventory;

/// A sample that waits to be begun or resumed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Waiting {
    /// Its ordinal in the step.
    pub index: u32,
    /// Its group.
    pub group: u32,
    /// Tokens that it has already.
    pub so_far: u32,
    /// Expected tokens in all.
    pub expect: f64,
    /// Whether a sample of its group has finished.
    pub known: bool,
    /// Whether a sample of its group runs now.
    pub probed: bool,
}

/// A sample that runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Running {
    /// Its ordinal in the step.
    pub index: u32,
    /// Tokens a second of its attempt.
    pub speed: f64,
    /// Times that it was moved.
    pub moves: u32,
    /// Milliseconds since its attempt began.
    pub age: u64,
}

/// Decides for one step.
pub trait Decide: Send {
    /// Returns the position of the sample to begin; `waiting` is never empty.
    fn pick(&mut self, waiting: &[Waiting]) -> usize;

    /// Returns the ordinals of running samples to move to another engine.
    fn moves(&mut self, running: &[Running]) -> Vec<u32>;
}

/// A policy that the settings choose by name.
pub struct Policy {
    /// The name.
    pub name: &'static str,
    /// Makes the decisions of one step.
    pub make: fn() -> Box<dyn Decide>,
}

inventory::collect!(Policy);

impl Plugin for Policy {
    const KIND: &'static str = "step policy";

    fn name(&self) -> &'static str {
        self.name
    }
}

/// In the order of the step, nothing moved: the baseline.
#[derive(Debug, Default)]
struct Inorder;

impl Decide for Inorder {
    fn pick(&mut self, _: &[Waiting]) -> usize {
        0
    }

    fn moves(&mut self, _: &[Running]) -> Vec<u32> {
        Vec::new()
    }
}

/// Learns each group's length from one sample first, then begins those with most left, and moves
/// a sample off an engine that is much slower than the others.
///
/// A sample is moved, never doubled: taking the first of two runs to finish would favour short
/// samples and so bias what the trainer learns.
#[derive(Debug, Default)]
struct Longest;

/// Part of the median speed below which a sample is moved.
const SLOW: f64 = 0.4;

/// Milliseconds that an attempt runs before its speed is judged.
const JUDGE: u64 = 500;

/// Times that one sample is moved for speed.
const MOVES: u32 = 2;

/// Fewest running samples whose median means anything.
const FEW: usize = 4;

fn left(sample: &Waiting) -> f64 {
    sample.expect - f64::from(sample.so_far)
}

impl Decide for Longest {
    fn pick(&mut self, waiting: &[Waiting]) -> usize {
        let probe = waiting.iter().position(|s| !s.known && !s.probed);
        if let Some(probe) = probe {
            return probe;
        }
        (0..waiting.len())
            .max_by(|a, b| left(&waiting[*a]).total_cmp(&left(&waiting[*b])))
            .unwrap_or(0)
    }

    fn moves(&mut self, running: &[Running]) -> Vec<u32> {
        if running.len() < FEW {
            return Vec::new();
        }
        let mut speeds: Vec<f64> = running.iter().map(|s| s.speed).collect();
        speeds.sort_by(f64::total_cmp);
        let median = speeds[speeds.len() / 2];
        running
            .iter()
            .filter(|s| s.age >= JUDGE && s.moves < MOVES && s.speed < SLOW * median)
            .map(|s| s.index)
            .collect()
    }
}

inventory::submit! {
    Policy { name: "inorder", make: || Box::<Inorder>::default() }
}

inventory::submit! {
    Policy { name: "longest", make: || Box::<Longest>::default() }
}
