//! Chooses the engine that runs a sample, and decides when a run moves to another engine.
//!
//! Load pattern: the samples of a step arrive all at once every few seconds and may fill every slot.
//! Some engines are slower than others, a third of them may become several times slower, and a few
//! samples run far longer than the rest. A sample queued inside an engine cannot be placed elsewhere,
//! so no engine gets more samples than it has slots; the rest wait here.

mod critical;
mod engine;
mod home_owner;
mod loads;
mod memory;
mod order;
mod pace;
mod round;
mod scale;
mod shares;
mod slot_report;
pub mod slots;
mod tracker;

pub use critical::MoveReason;
pub use critical::RecentGaps;
pub use critical::StepEnd;
pub use critical::UnfinishedSample;
pub use engine::Load;
pub use loads::LoadNotice;
pub use loads::Rejection;
pub use memory::EngineMemory;
pub use order::PendingSample;
pub use order::order_samples;
pub use pace::PaceOutcome;
pub use round::PlacementRound;
pub use scale::LengthScale;
pub use shares::TeamShares;
pub use slot_report::DueReport;
pub use slot_report::ModelDemand;
pub use slot_report::ReportOutcome;
pub use slot_report::SlotReport;
pub use slots::SlotShares;
pub use tracker::EngineTracker;
pub use tracker::PlacementRequest;
