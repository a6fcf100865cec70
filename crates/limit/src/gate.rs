//! The limits of one contract on one instance.

use contract::Contract;
use kernel::Millis;

use crate::Bucket;
use crate::LimitShare;

/// Which line of a contract turned a request away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Limit {
    /// `rate` and `burst`.
    Rate,
    /// `tokens`.
    Tokens,
    /// `concurrency`.
    Concurrency,
}

impl Limit {
    /// The contract's key.
    pub fn key(self) -> &'static str {
        match self {
            Self::Rate => "rate",
            Self::Tokens => "tokens",
            Self::Concurrency => "concurrency",
        }
    }
}

/// What a [`ContractLimiter`] says to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitDecision {
    /// It may go on to the queue; [`ContractLimiter::release`] must follow when it is over.
    Admitted,
    /// It is over a limit; trying again after the wait may help.
    Rejected {
        /// The contract's line that decided.
        limit: Limit,
        /// When to come back, in milliseconds.
        retry_after: Millis,
    },
}

/// Wait that is named to a request over the concurrency limit, which no clock frees.
const BUSY_WAIT: Millis = 200;

/// Seconds of tokens that a contract may use at once.
const TOKEN_BURST: f64 = 2.0;

/// The limits of one contract on one instance.
#[derive(Clone, Debug)]
pub struct ContractLimiter {
    rate: Bucket,
    tokens: Bucket,
    slots: u32,
    running: u32,
}

impl ContractLimiter {
    /// Makes the gate of a contract for an instance's share of it.
    pub fn new(contract: &Contract, share: LimitShare, now: Millis) -> Self {
        let mut gate = Self {
            rate: Bucket::new(0.0, contract.burst, now),
            tokens: Bucket::new(0.0, contract.tokens * TOKEN_BURST, now),
            slots: 0,
            running: 0,
        };
        gate.resize(contract, share, now);
        gate
    }

    /// Takes over an amended contract or a changed share.
    pub fn resize(&mut self, contract: &Contract, share: LimitShare, now: Millis) {
        let part = share.fraction();
        let burst = (contract.burst * part).max(1.0);
        self.rate.resize(contract.rate * part, burst, now);
        let tokens = contract.tokens * part;
        self.tokens.resize(tokens, tokens * TOKEN_BURST, now);
        self.slots = share.count(contract.concurrency);
    }

    /// Asks to let one request pass that may generate `tokens` tokens.
    pub fn admit(&mut self, now: Millis, tokens: f64) -> LimitDecision {
        let pass = self.admit_sample(now, tokens);
        if pass != LimitDecision::Admitted {
            return pass;
        }
        if let Err(retry_after) = self.rate.take(now, 1.0) {
            self.tokens.charge(now, -tokens.min(1.0));
            self.release();
            let limit = Limit::Rate;
            return LimitDecision::Rejected { limit, retry_after };
        }
        LimitDecision::Admitted
    }

    /// Asks to let one sample of a step pass: no request of its own, so the rate does not count.
    pub fn admit_sample(&mut self, now: Millis, tokens: f64) -> LimitDecision {
        if self.running >= self.slots {
            return LimitDecision::Rejected {
                limit: Limit::Concurrency,
                retry_after: BUSY_WAIT,
            };
        }
        // A request larger than the burst would never pass; it waits for a full bucket instead,
        // and what it really used is charged afterwards.
        let gauge = tokens.min(1.0);
        if let Err(retry_after) = self.tokens.take(now, gauge) {
            let limit = Limit::Tokens;
            return LimitDecision::Rejected { limit, retry_after };
        }
        self.running += 1;
        LimitDecision::Admitted
    }

    /// Charges tokens that a request generated.
    pub fn charge(&mut self, now: Millis, tokens: f64) {
        self.tokens.charge(now, tokens);
    }

    /// Ends a request that passed.
    pub fn release(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Requests between [`ContractLimiter::admit`] and [`ContractLimiter::release`].
    pub fn running(&self) -> u32 {
        self.running
    }
}
