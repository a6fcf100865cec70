//! Enforces the limits of one contract on one instance.

use contract::Contract;
use kernel::Millis;

use crate::LimitShare;
use crate::TokenBucket;

/// The contract setting that caused a rejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Limit {
    /// The settings `rate` and `burst`.
    Rate,
    /// The setting `tokens`.
    Tokens,
    /// The setting `concurrency`.
    Concurrency,
}

impl Limit {
    /// Returns the name of the setting in the contract.
    pub fn key(self) -> &'static str {
        match self {
            Self::Rate => "rate",
            Self::Tokens => "tokens",
            Self::Concurrency => "concurrency",
        }
    }
}

/// Decision of a [`ContractLimiter`] on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitDecision {
    /// It may enter the queue; [`ContractLimiter::release`] must be called when it has ended.
    Admitted,
    /// It exceeds a limit; a retry after the wait may succeed.
    Rejected {
        /// The exceeded limit.
        limit: Limit,
        /// Wait before a retry, in milliseconds.
        retry_after: Millis,
    },
}

/// Wait returned to requests that exceed the concurrency limit; when a slot becomes free cannot be computed
/// from the clock.
const CONCURRENCY_WAIT: Millis = 200;

/// Maximum burst of tokens, in seconds at the contract's token rate.
const TOKEN_BURST_SECONDS: f64 = 2.0;

/// Enforces the limits of one contract on one instance.
#[derive(Clone, Debug)]
pub struct ContractLimiter {
    rate: TokenBucket,
    tokens: TokenBucket,
    slots: u32,
    running: u32,
}

impl ContractLimiter {
    /// Creates a limiter for an instance's share of a contract.
    pub fn new(contract: &Contract, share: LimitShare, now: Millis) -> Self {
        let mut limiter = Self {
            rate: TokenBucket::new(0.0, contract.burst, now),
            tokens: TokenBucket::new(0.0, contract.token_rate * TOKEN_BURST_SECONDS, now),
            slots: 0,
            running: 0,
        };
        limiter.resize(contract, share, now);
        limiter
    }

    /// Applies a changed contract or share.
    pub fn resize(&mut self, contract: &Contract, share: LimitShare, now: Millis) {
        let fraction = share.fraction();
        let burst = (contract.burst * fraction).max(1.0);
        self.rate
            .resize(contract.request_rate * fraction, burst, now);
        let tokens = contract.token_rate * fraction;
        self.tokens
            .resize(tokens, tokens * TOKEN_BURST_SECONDS, now);
        self.slots = share.scale(contract.concurrency);
    }

    /// Decides on a request that may generate `tokens` tokens.
    pub fn admit(&mut self, now: Millis, tokens: f64) -> LimitDecision {
        let decision = self.admit_sample(now, tokens);
        if decision != LimitDecision::Admitted {
            return decision;
        }
        if let Err(retry_after) = self.rate.take(now, 1.0) {
            self.tokens.charge(now, -tokens.min(1.0));
            self.release();
            let limit = Limit::Rate;
            return LimitDecision::Rejected { limit, retry_after };
        }
        LimitDecision::Admitted
    }

    /// Decides on a sample of a step. It isn't a request of its own, so the rate limit doesn't apply.
    pub fn admit_sample(&mut self, now: Millis, tokens: f64) -> LimitDecision {
        if self.running >= self.slots {
            return LimitDecision::Rejected {
                limit: Limit::Concurrency,
                retry_after: CONCURRENCY_WAIT,
            };
        }
        // A request larger than the burst could never be admitted if all its tokens were taken here. At most
        // one is taken; the tokens that it generates are charged afterwards.
        let initial = tokens.min(1.0);
        if let Err(retry_after) = self.tokens.take(now, initial) {
            let limit = Limit::Tokens;
            return LimitDecision::Rejected { limit, retry_after };
        }
        self.running += 1;
        LimitDecision::Admitted
    }

    /// Charges the tokens that a request has generated.
    pub fn charge(&mut self, now: Millis, tokens: f64) {
        self.tokens.charge(now, tokens);
    }

    /// Releases the slot of an admitted request that has ended.
    pub fn release(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Returns the number of admitted requests that have not been released.
    pub fn running(&self) -> u32 {
        self.running
    }
}
