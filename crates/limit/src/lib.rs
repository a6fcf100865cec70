//! Admission: who may run now, who waits, and who is refused at once.
//!
//! A request passes its contract's [`ContractLimiter`] (rate, tokens, concurrency) and then waits in the
//! queue of its pool until an upstream has room. The order in which the queue lets requests go is
//! a plug-in ([`order`]): weighted fair, or first come first served as the baseline.

pub mod bucket;
pub mod gate;
pub mod order;
pub mod queue;
pub mod share;

pub use bucket::Bucket;
pub use gate::ContractLimiter;
pub use gate::Limit;
pub use gate::LimitDecision;
pub use order::QueueOrder;
pub use queue::Queue;
pub use queue::QueueDecision;
pub use queue::Ticket;
pub use share::LimitShare;
