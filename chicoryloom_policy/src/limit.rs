//! Token buckets in integer arithmetic, so that rounding never increases a share of a grant.

use std::iter::Sum;
use std::ops::Add;
use std::time::Duration;

use crate::Moment;
use crate::unit::Rate;

/// Parts per token; one nanosecond at a rate of one [`Flow`] unit adds one part.
const PARTS_PER_TOKEN: u128 = 1_000_000_000_000_000;
/// [`Flow`] units per request per second.
const FLOW_UNITS_PER_RPS: f64 = 1_000_000.0;

/// An amount of tokens in units of 1e-15 token.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Tokens(u128);

impl Tokens {
    /// No tokens.
    pub const ZERO: Self = Self(0);
    /// One token, the cost of one request.
    pub const ONE: Self = Self(PARTS_PER_TOKEN);

    /// Returns a whole number of tokens.
    pub const fn whole(count: u32) -> Self {
        Self(count as u128 * PARTS_PER_TOKEN)
    }

    /// Returns an amount given in thousandths of a token.
    pub const fn from_millis(thousandths: u64) -> Self {
        Self(thousandths as u128 * (PARTS_PER_TOKEN / 1000))
    }

    /// Returns the amount in thousandths of a token, rounded down.
    pub fn millis(self) -> u64 {
        u64::try_from(self.0 / (PARTS_PER_TOKEN / 1000)).unwrap_or(u64::MAX)
    }

    /// Returns the difference, zero if `other` is larger.
    #[must_use]
    pub const fn minus(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Returns the amount as a floating-point number, for estimates only.
    pub fn estimate(self) -> f64 {
        self.0 as f64 / PARTS_PER_TOKEN as f64
    }

    /// Returns an estimated number of tokens, rounded down; zero if it is negative.
    pub fn from_estimate(tokens: f64) -> Self {
        Self((tokens.max(0.0) * PARTS_PER_TOKEN as f64) as u128)
    }
}

impl Add for Tokens {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl Sum for Tokens {
    fn sum<I: Iterator<Item = Self>>(tokens: I) -> Self {
        tokens.fold(Self::ZERO, Add::add)
    }
}

/// A rate in millionths of a request per second.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Flow(pub u64);

impl Flow {
    /// Returns the tokens that accrue over a span.
    pub const fn over(self, span: Duration) -> Tokens {
        Tokens((self.0 as u128).saturating_mul(span.as_nanos()))
    }

    /// Returns the time in which an amount accrues, rounded up; [`Duration::MAX`] if it never does.
    pub fn time_for(self, tokens: Tokens) -> Duration {
        if self.0 == 0 {
            return Duration::MAX;
        }
        let nanos = tokens.0.div_ceil(u128::from(self.0));
        u64::try_from(nanos).map_or(Duration::MAX, Duration::from_nanos)
    }

    /// Returns the difference, zero if `other` is larger.
    #[must_use]
    pub const fn minus(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Returns the rate in requests per second, for estimates only.
    pub fn estimate(self) -> f64 {
        self.0 as f64 / FLOW_UNITS_PER_RPS
    }

    /// Returns an estimated rate, rounded down; zero if it is negative.
    pub fn from_estimate(per_second: f64) -> Self {
        Self((per_second.max(0.0) * FLOW_UNITS_PER_RPS) as u64)
    }
}

impl From<Rate> for Flow {
    fn from(rate: Rate) -> Self {
        Self::from_estimate(rate.per_second())
    }
}

impl Add for Flow {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl Sum for Flow {
    fn sum<I: Iterator<Item = Self>>(flows: I) -> Self {
        flows.fold(Self::default(), Add::add)
    }
}

/// A rate and the maximum number of tokens held at once.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Share {
    pub flow: Flow,
    pub cap: Tokens,
}

impl Add for Share {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self { flow: self.flow + other.flow, cap: self.cap + other.cap }
    }
}

impl Sum for Share {
    fn sum<I: Iterator<Item = Self>>(shares: I) -> Self {
        shares.fold(Self::default(), Add::add)
    }
}

/// A token bucket that admits at most `cap + flow × w` requests over any span `w`.
#[derive(Clone, Debug)]
pub struct Bucket {
    share: Share,
    /// Tokens at `refilled`; at most the share's cap.
    level: Tokens,
    /// Time of the latest refill; never moves back.
    refilled: Moment,
}

impl Bucket {
    /// Returns an empty bucket.
    pub const fn empty(share: Share, now: Moment) -> Self {
        Self { share, level: Tokens::ZERO, refilled: now }
    }

    /// Returns the tokens at the latest refill.
    pub const fn level(&self) -> Tokens {
        self.level
    }

    /// Returns the rate and cap of the bucket.
    pub const fn share(&self) -> Share {
        self.share
    }

    /// Changes the rate and cap as of `now`; tokens above the new cap are lost.
    pub fn set_share(&mut self, share: Share, now: Moment) {
        self.refill(now);
        self.share = share;
        self.level = self.level.min(share.cap);
    }

    /// Takes one token, or returns the time until one is available.
    pub fn take(&mut self, now: Moment) -> Result<(), Duration> {
        self.refill(now);
        if self.level >= Tokens::ONE {
            self.level = self.level.minus(Tokens::ONE);
            return Ok(());
        }
        Err(self.time_to_token())
    }

    /// Returns the time from the latest refill until a token is available; [`Duration::MAX`] if the
    /// bucket never holds one.
    pub fn time_to_token(&self) -> Duration {
        if self.share.cap < Tokens::ONE {
            return Duration::MAX;
        }
        self.share.flow.time_for(Tokens::ONE.minus(self.level))
    }

    /// Removes up to `tokens` and returns how many were removed.
    pub fn withdraw(&mut self, tokens: Tokens) -> Tokens {
        let taken = tokens.min(self.level);
        self.level = self.level.minus(taken);
        taken
    }

    /// Adds tokens, up to the cap.
    pub fn deposit(&mut self, tokens: Tokens) {
        self.level = (self.level + tokens).min(self.share.cap);
    }

    /// Adds the tokens that accrued since the latest refill.
    pub fn refill(&mut self, now: Moment) {
        let accrued = self.share.flow.over(now.since(self.refilled));
        self.level = (self.level + accrued).min(self.share.cap);
        self.refilled = self.refilled.max(now);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn share(per_second: f64, burst: u32) -> Share {
        Share { flow: Flow::from_estimate(per_second), cap: Tokens::whole(burst) }
    }

    #[test]
    fn bucket_admits_burst_then_rate() {
        let mut bucket = Bucket::empty(share(10.0, 2), Moment::ZERO);
        let later = Moment::from_millis(60_000);
        assert!(bucket.take(later).is_ok());
        assert!(bucket.take(later).is_ok());
        assert_eq!(bucket.take(later), Err(Duration::from_millis(100)));
        assert!(bucket.take(later.after(Duration::from_millis(100))).is_ok());
    }

    #[test]
    fn very_small_and_very_large_rates_are_exact() {
        let mut slow = Bucket::empty(share(0.001, 1), Moment::ZERO);
        for second in 1..1000 {
            assert!(slow.take(Moment::from_millis(second * 1000)).is_err());
        }
        assert!(slow.take(Moment::from_millis(1_000_000)).is_ok());
        let mut fast = Bucket::empty(share(1e12, u32::MAX), Moment::ZERO);
        fast.refill(Moment::from_millis(1));
        assert_eq!(fast.level(), Tokens::whole(1_000_000_000));
        fast.refill(Moment::from_millis(u64::MAX / 2));
        assert_eq!(fast.level(), Tokens::whole(u32::MAX));
    }

    #[test]
    fn bucket_with_a_cap_below_one_token_never_admits() {
        let mut bucket = Bucket::empty(share(10.0, 0), Moment::ZERO);
        assert_eq!(bucket.take(Moment::from_millis(1000)), Err(Duration::MAX));
    }

    #[test]
    fn smaller_share_removes_tokens_and_a_larger_one_adds_none() {
        let mut bucket = Bucket::empty(share(10.0, 10), Moment::ZERO);
        let later = Moment::from_millis(5000);
        bucket.set_share(share(1.0, 2), later);
        assert_eq!(bucket.level(), Tokens::whole(2));
        bucket.set_share(share(10.0, 10), later);
        assert_eq!(bucket.level(), Tokens::whole(2));
    }
}
