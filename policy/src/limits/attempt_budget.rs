//! The budget of hedges and retries.
//!
//! A token bucket: each first attempt earns a fraction of a token and each hedge or retry spends
//! one, so that the extra load stays a fixed share of the traffic. The bucket is small, so that
//! tokens earned while few hedges are needed don't allow a burst of extra load later. Ordinary
//! hedges, for sub-queries that are only a little late, may not spend the last half of the bucket:
//! otherwise normal variance would use up the tokens that lost sub-queries need.

/// Capacity of the bucket, in hundredths of a token.
const CAPACITY_CENTS: u32 = 10 * TOKEN_CENTS;
/// Tokens that only urgent attempts may spend, in hundredths of a token.
const RESERVE_CENTS: u32 = CAPACITY_CENTS / 2;
/// Cost of one hedge or retry, in hundredths of a token.
const TOKEN_CENTS: u32 = 100;

/// How urgently a hedge or retry is needed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptUrgency {
    /// The previous attempt may still be answered soon.
    Ordinary,
    /// The previous attempt failed, is long overdue, or delays the whole request.
    Urgent,
}

/// A token bucket for hedges and retries, filled by first attempts.
#[derive(Clone, Debug)]
pub struct AttemptBudget {
    earn_pct: u32,
    balance_cents: u32,
    slow: bool,
}

impl AttemptBudget {
    /// Allows `earn_pct` hedges and retries per hundred first attempts. The bucket starts with one
    /// token.
    pub fn new(earn_pct: u32) -> Self {
        Self {
            earn_pct,
            balance_cents: TOKEN_CENTS.min(earn_pct * TOKEN_CENTS),
            slow: false,
        }
    }

    /// Adds the share of one first attempt, unless the system is slow.
    pub fn earn(&mut self) {
        if self.slow {
            return;
        }
        self.balance_cents = (self.balance_cents + self.earn_pct).min(CAPACITY_CENTS);
    }

    /// Takes a token for a hedge or a retry; false if too few are left for this urgency.
    pub fn spend(&mut self, urgency: AttemptUrgency) -> bool {
        let reserve = match urgency {
            AttemptUrgency::Ordinary => RESERVE_CENTS,
            AttemptUrgency::Urgent => 0,
        };
        if self.slow || self.balance_cents < TOKEN_CENTS + reserve {
            return false;
        }
        self.balance_cents -= TOKEN_CENTS;
        true
    }

    /// Sets whether the system as a whole is slow: nothing is earned or spent while it is.
    pub fn set_slow(&mut self, slow: bool) {
        self.slow = slow;
    }
}
