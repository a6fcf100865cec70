//! Admission control: decides which requests run, wait or are rejected.
//!
//! A request passes its contract's [`ContractLimiter`] (rate, tokens, concurrency) and then waits in the
//! queue of its pool until an upstream has room. The order of the queue is a plug-in ([`order`]):
//! weighted fair queueing, strict priorities with fair queueing within each, or first come, first served as the
//! baseline. A [`CallGate`] puts an adaptive [`Window`] behind the queue, for upstreams that many instances share. A
//! [`Shedder`] rejects calls that an instance has no processor time for.

pub mod bucket;
pub mod gate;
pub mod limiter;
pub mod order;
pub mod overload;
pub mod queue;
pub mod share;
pub mod window;

pub use bucket::TokenBucket;
pub use gate::CallGate;
pub use limiter::ContractLimiter;
pub use limiter::Limit;
pub use limiter::LimitDecision;
pub use order::QueueOrder;
pub use overload::Shedder;
pub use queue::Queue;
pub use queue::QueueDecision;
pub use queue::Ticket;
pub use share::LimitShare;
pub use window::Signal;
pub use window::Window;
