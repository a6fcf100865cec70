//! Which engine runs a sample, and when a run moves to another engine.
//!
//! Load pattern: a step's samples come all at once every few seconds and may fill every slot; some
//! engines are slower than others, a third of them may become several times slower, and a few
//! samples run far longer than the rest. A sample that waits inside an engine's queue cannot be
//! placed elsewhere, so no engine gets more than its slots; what does not fit waits here.

mod engine;
mod fleet;
mod memory;
mod order;
mod round;
mod scale;

pub use engine::Load;
pub use fleet::EngineTracker;
pub use fleet::PlacementRequest;
pub use memory::EngineMemory;
pub use order::PendingSample;
pub use order::order_samples;
pub use round::PlacementRound;
pub use scale::Scale;
