//! Admission control: decides which requests run, wait or are rejected.
//!
//! A request passes its contract's [`ContractLimiter`] (rate, tokens, concurrency) and then waits in the
//! queue of its pool until an upstream has room. The order of the queue is a plug-in ([`order`]):
//! weighted fair queueing, or first come, first served as the baseline. A [`Shedder`] rejects calls that an instance
//! has no processor time for.

pub mod bucket;
pub mod limiter;
pub mod order;
pub mod overload;
pub mod queue;
pub mod share;

pub use bucket::TokenBucket;
pub use limiter::ContractLimiter;
pub use limiter::Limit;
pub use limiter::LimitDecision;
pub use order::QueueOrder;
pub use overload::Shedder;
pub use queue::Queue;
pub use queue::QueueDecision;
pub use queue::Ticket;
pub use share::LimitShare;
