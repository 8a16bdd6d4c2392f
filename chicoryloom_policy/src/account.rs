//! One holder's account of one workspace's grant: admission, and loans between holders.
//!
//! A holder that runs short of tokens requests a loan from others. A lender lends a part of its
//! rate for a limited time. It lowers its own rate before it answers, and for at least as long as
//! the borrower can use the loan: the borrower counts from the time of its request, which lies
//! before the lender's answer. So the rates of all holders together never exceed the grant's, even
//! if datagrams are lost, late or duplicated. Caps are not lent, they stay with the seats, so the
//! tokens of all holders together never exceed the burst.

use std::time::Duration;

use crate::Moment;
use crate::id;
use crate::limit::Bucket;
use crate::limit::Flow;
use crate::limit::Share;
use crate::limit::Tokens;

/// Maximum duration of a loan.
pub const MAX_LOAN_TIME: Duration = Duration::from_millis(250);
/// Minimum duration of a loan; shorter ones are not worth lending.
const MIN_LOAN_TIME: Duration = Duration::from_millis(20);
/// A lender sets a lent rate aside for longer than the loan's duration, by that duration divided
/// by this, in case the hosts' clocks run at different rates.
const DRIFT_DIVISOR: u32 = 100;
/// Time constant of the demand estimate.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_millis(300);
/// Time for which a holder's tokens should cover its demand.
const RESERVE_TIME: Duration = Duration::from_millis(100);
/// Time before the end of a loan at which a borrower may request another one.
const RENEWAL_LEAD: Duration = Duration::from_millis(80);
/// Demand in requests per second below which a holder counts as idle.
const MIN_DEMAND_PER_SECOND: f64 = 0.5;
/// Factor over the estimated demand up to which rate is borrowed, or kept when lending.
const DEMAND_HEADROOM: f64 = 1.2;
/// Shortest interval between two rounds of loan requests.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(10);
/// Interval after a round that brought a loan.
const ROUND_INTERVAL_AFTER_LOAN: Duration = Duration::from_millis(40);
/// Longest interval between two rounds of loan requests.
const MAX_ROUND_INTERVAL: Duration = Duration::from_millis(640);
/// Maximum number of loans lent, and of loans borrowed, at once.
const MAX_LOANS: usize = 32;

/// A rate that is lent or borrowed until a time on this host's clock.
#[derive(Clone, Copy, Debug)]
struct Loan {
    flow: Flow,
    until: Moment,
}

/// A holder's request to borrow rate from others.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoanRequest {
    /// Number of the round of requests; increases with each round.
    pub round: u64,
    pub flow: Flow,
}

/// A lender's answer to a loan request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoanOffer {
    /// Round of requests that it answers.
    pub round: u64,
    /// Rate lent; zero if nothing can be spared.
    pub flow: Flow,
    /// Time from the borrower's request until the loan ends.
    pub duration: Duration,
}

/// Decaying estimate of the requests per second that arrive.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    per_second: f64,
    updated: Moment,
}

impl Demand {
    fn record(&mut self, now: Moment) {
        self.per_second = self.estimate(now) + DEMAND_TIME_CONSTANT.as_secs_f64().recip();
        self.updated = now;
    }

    fn estimate(&self, now: Moment) -> f64 {
        let spans = now.since(self.updated).as_secs_f64() / DEMAND_TIME_CONSTANT.as_secs_f64();
        self.per_second * (-spans).exp()
    }
}

/// The latest round of loan requests.
#[derive(Clone, Debug)]
struct Round {
    number: u64,
    started: Moment,
    /// Time from this round until the next one may start.
    interval: Duration,
    /// Lenders that have answered this round.
    answered: Vec<id::Incarnation>,
}

/// One holder's account of one workspace's grant.
#[derive(Clone, Debug)]
pub struct Account {
    /// Sum of the shares of the holder's active seats.
    own_share: Share,
    /// Has the rate of `own_share`, less what is lent, plus what is borrowed.
    bucket: Bucket,
    lent: Vec<Loan>,
    borrowed: Vec<Loan>,
    demand: Demand,
    round: Round,
}

impl Account {
    /// Returns an account without a share or tokens.
    pub const fn new(now: Moment) -> Self {
        let no_share = Share { flow: Flow(0), cap: Tokens::ZERO };
        Self {
            own_share: no_share,
            bucket: Bucket::empty(no_share, now),
            lent: Vec::new(),
            borrowed: Vec::new(),
            demand: Demand { per_second: 0.0, updated: now },
            round: Round {
                number: 0,
                started: Moment::ZERO,
                interval: MIN_ROUND_INTERVAL,
                answered: Vec::new(),
            },
        }
    }

    /// Changes the holder's own share of the grant; a larger share adds no tokens.
    pub fn set_share(&mut self, share: Share, now: Moment) {
        if self.own_share != share {
            self.advance(now);
            self.own_share = share;
            self.update_bucket(now);
        }
    }

    /// Admits one request, or returns the time until one can be admitted.
    pub fn admit(&mut self, now: Moment) -> Result<(), Duration> {
        self.demand.record(now);
        self.advance(now);
        self.bucket.take(now)
    }

    /// Returns the tokens available at `now`.
    pub fn level(&mut self, now: Moment) -> Tokens {
        self.advance(now);
        self.bucket.level()
    }

    /// Returns the time at which the last loan to another holder ends.
    pub fn lent_until(&self) -> Option<Moment> {
        self.lent.iter().map(|loan| loan.until).max()
    }

    /// Refills the bucket up to `now`, with the rate changes where loans ended on the way.
    fn advance(&mut self, now: Moment) {
        while let Some(end) = self.next_loan_end().filter(|end| *end <= now) {
            self.bucket.refill(end);
            self.lent.retain(|loan| loan.until > end);
            self.borrowed.retain(|loan| loan.until > end);
            self.update_bucket(end);
        }
        self.bucket.refill(now);
    }

    fn next_loan_end(&self) -> Option<Moment> {
        self.lent.iter().chain(&self.borrowed).map(|loan| loan.until).min()
    }

    /// Sets the bucket's share by the own share and the current loans.
    fn update_bucket(&mut self, now: Moment) {
        let borrowed = self.borrowed.iter().map(|loan| loan.flow).sum();
        let flow = self.own_share.flow.minus(self.lent_flow()) + borrowed;
        self.bucket.set_share(Share { flow, cap: self.own_share.cap }, now);
    }

    fn lent_flow(&self) -> Flow {
        self.lent.iter().map(|loan| loan.flow).sum()
    }

    /// Returns the loan to request from other holders, or `None` if the account is not short of
    /// tokens or it is too early for another round.
    pub fn request_loan(&mut self, now: Moment) -> Option<LoanRequest> {
        self.advance(now);
        if now < self.round.started.after(self.round.interval) {
            return None;
        }
        let demand = self.demand.estimate(now);
        let flow =
            Flow::from_estimate(demand * DEMAND_HEADROOM).minus(self.flow_after_renewal(now));
        let reserve = Tokens::from_estimate(demand * RESERVE_TIME.as_secs_f64()) + Tokens::ONE;
        let is_short = flow > Flow(0) && self.bucket.level() < reserve;
        let can_hold_token = self.own_share.cap >= Tokens::ONE;
        if demand < MIN_DEMAND_PER_SECOND || !is_short || !can_hold_token {
            return None;
        }
        self.round = Round {
            number: self.round.number + 1,
            started: now,
            interval: (self.round.interval * 2).min(MAX_ROUND_INTERVAL),
            answered: Vec::new(),
        };
        Some(LoanRequest { round: self.round.number, flow })
    }

    /// Returns the rate that will still be available when a renewed loan can have arrived.
    fn flow_after_renewal(&self, now: Moment) -> Flow {
        let outlasting = self.borrowed.iter().filter(|loan| loan.until > now.after(RENEWAL_LEAD));
        self.own_share.flow.minus(self.lent_flow()) + outlasting.map(|loan| loan.flow).sum()
    }

    /// Lends another holder what this one can spare, for `duration` at most.
    ///
    /// `duration` must end before this host stops being fresh, so that a loan from a seat that this
    /// host has lost without knowing it ends before the seat is active elsewhere.
    pub fn lend(&mut self, request: LoanRequest, duration: Duration, now: Moment) -> LoanOffer {
        self.advance(now);
        let duration = duration.min(MAX_LOAN_TIME);
        let no_loan = LoanOffer { round: request.round, flow: Flow(0), duration };
        if duration < MIN_LOAN_TIME || self.lent.len() >= MAX_LOANS {
            return no_loan;
        }
        // A borrowed rate may end sooner than the loan, so only the account's own rate is lent.
        let free = self.own_share.flow.minus(self.lent_flow());
        let needed = Flow::from_estimate(self.demand.estimate(now) * DEMAND_HEADROOM);
        let flow = free.minus(needed).min(request.flow);
        if flow == Flow(0) {
            return no_loan;
        }
        self.lent.push(Loan { flow, until: now.after(duration + duration / DRIFT_DIVISOR) });
        self.update_bucket(now);
        LoanOffer { flow, ..no_loan }
    }

    /// Accepts a loan from another holder; returns whether it was added.
    ///
    /// Each lender's answer to the latest round counts once, and none after the loan's end.
    pub fn accept(&mut self, offer: LoanOffer, lender: id::Incarnation, now: Moment) -> bool {
        self.advance(now);
        let until = self.round.started.after(offer.duration);
        let is_first_answer = !self.round.answered.contains(&lender);
        if offer.round != self.round.number || !is_first_answer || now >= until {
            return false;
        }
        self.round.answered.push(lender);
        if offer.flow == Flow(0) || self.borrowed.len() >= MAX_LOANS {
            return false;
        }
        self.round.interval = ROUND_INTERVAL_AFTER_LOAN;
        self.borrowed.push(Loan { flow: offer.flow, until });
        self.update_bucket(now);
        true
    }
}
