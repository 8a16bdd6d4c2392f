//! One holder's account of one workspace's grant: admission, and loans between holders.
//!
//! A holder that runs short asks others. A giver lends a part of its rate for a while. It lowers
//! its own rate before it answers, and for at least as long as the taker can use the loan: the
//! taker counts from the moment of its ask, which lies before the giver's answer. So the rates of
//! all holders together never pass the grant's, whatever datagrams are lost, late or doubled.
//! Caps stay with the seats, so the tokens of all holders never pass the burst.

use std::time::Duration;

use crate::Moment;
use crate::id;
use crate::limit::Bucket;
use crate::limit::Flow;
use crate::limit::Share;
use crate::limit::Tokens;

/// Longest time that a loan lasts.
pub const MAX_LOAN_TIME: Duration = Duration::from_millis(250);
/// Shortest loan worth an answer.
const MIN_LOAN_TIME: Duration = Duration::from_millis(20);
/// Part of a loan's time by which a giver waits longer, against clocks that run unevenly.
const DRIFT_DIVISOR: u32 = 100;
/// Time constant of the demand estimate.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_millis(300);
/// Demand for which a holder wants to have tokens, as a span.
const RESERVE_TIME: Duration = Duration::from_millis(100);
/// Time before the end of a loan from which on a taker asks anew.
const RENEWAL_LEAD: Duration = Duration::from_millis(80);
/// Demand in requests a second below which a holder counts as idle.
const MIN_DEMAND_PER_SECOND: f64 = 0.5;
/// Headroom over the estimated demand when rate is borrowed.
const DEMAND_HEADROOM: f64 = 1.2;
/// Shortest pause between two rounds of asks.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(10);
/// Pause after a round that brought something.
const ROUND_INTERVAL_AFTER_LOAN: Duration = Duration::from_millis(40);
/// Longest pause between two rounds of asks.
const MAX_ROUND_INTERVAL: Duration = Duration::from_millis(640);
/// Loans on either side held at once.
const MAX_LOANS: usize = 32;

/// A rate lent or borrowed until a moment on this host's clock.
#[derive(Clone, Copy, Debug)]
struct Loan {
    flow: Flow,
    until: Moment,
}

/// What a holder asks others for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoanRequest {
    /// Number of the round of asks; counts up.
    pub round: u64,
    pub flow: Flow,
}

/// What a holder gives to another.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoanOffer {
    /// Round of asks that it answers.
    pub round: u64,
    /// Rate lent; zero if nothing can be spared.
    pub flow: Flow,
    /// Time from the taker's ask until the loan ends.
    pub duration: Duration,
}

/// Estimate of the requests a second that arrive.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    per_second: f64,
    at: Moment,
}

impl Demand {
    fn record(&mut self, now: Moment) {
        self.per_second = self.at(now) + DEMAND_TIME_CONSTANT.as_secs_f64().recip();
        self.at = now;
    }

    fn at(&self, now: Moment) -> f64 {
        let spans = now.since(self.at).as_secs_f64() / DEMAND_TIME_CONSTANT.as_secs_f64();
        self.per_second * (-spans).exp()
    }
}

/// The latest round of asks.
#[derive(Clone, Debug)]
struct Round {
    number: u64,
    started: Moment,
    /// Pause until the next round may start.
    interval: Duration,
    /// Givers that have answered it.
    answered: Vec<id::Incarnation>,
}

/// One holder's account of one workspace's grant.
#[derive(Clone, Debug)]
pub struct Account {
    /// Sum of the shares of the seats that the holder admits by.
    own_share: Share,
    /// Goes by `own`, less what is lent, plus what is borrowed.
    bucket: Bucket,
    lent: Vec<Loan>,
    borrowed: Vec<Loan>,
    demand: Demand,
    round: Round,
}

impl Account {
    /// Returns an account that holds nothing.
    pub const fn new(now: Moment) -> Self {
        let nothing = Share { flow: Flow(0), cap: Tokens::ZERO };
        Self {
            own_share: nothing,
            bucket: Bucket::empty(nothing, now),
            lent: Vec::new(),
            borrowed: Vec::new(),
            demand: Demand { per_second: 0.0, at: now },
            round: Round {
                number: 0,
                started: Moment::ZERO,
                interval: MIN_ROUND_INTERVAL,
                answered: Vec::new(),
            },
        }
    }

    /// Goes by another share of the grant; an added share brings no tokens.
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

    /// Returns the tokens at a moment.
    pub fn level(&mut self, now: Moment) -> Tokens {
        self.advance(now);
        self.bucket.level()
    }

    /// Returns the moment at which the last loan to another holder ends.
    pub fn lent_until(&self) -> Option<Moment> {
        self.lent.iter().map(|loan| loan.until).max()
    }

    /// Brings the bucket up to a moment, past the ends of loans on the way.
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

    fn update_bucket(&mut self, now: Moment) {
        let borrowed = self.borrowed.iter().map(|loan| loan.flow).sum();
        let flow = self.own_share.flow.minus(self.lent_flow()) + borrowed;
        self.bucket.set_share(Share { flow, cap: self.own_share.cap }, now);
    }

    fn lent_flow(&self) -> Flow {
        self.lent.iter().map(|loan| loan.flow).sum()
    }

    /// Returns what to ask other holders for, or `None` if nothing is short or it is too early.
    pub fn request_loan(&mut self, now: Moment) -> Option<LoanRequest> {
        self.advance(now);
        if now < self.round.started.after(self.round.interval) {
            return None;
        }
        let demand = self.demand.at(now);
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

    /// Returns the rate that will still be there when a renewal can have arrived.
    fn flow_after_renewal(&self, now: Moment) -> Flow {
        let outlasting = self.borrowed.iter().filter(|loan| loan.until > now.after(RENEWAL_LEAD));
        self.own_share.flow.minus(self.lent_flow()) + outlasting.map(|loan| loan.flow).sum()
    }

    /// Gives another holder what this one can spare, for `duration` at the most.
    ///
    /// `duration` ends before this host stops being fresh, so a loan of a seat that was lost
    /// unknown to this host ends before the seat binds elsewhere.
    pub fn lend(&mut self, request: LoanRequest, duration: Duration, now: Moment) -> LoanOffer {
        self.advance(now);
        let duration = duration.min(MAX_LOAN_TIME);
        let nothing = LoanOffer { round: request.round, flow: Flow(0), duration };
        if duration < MIN_LOAN_TIME || self.lent.len() >= MAX_LOANS {
            return nothing;
        }
        // What is borrowed may end sooner than the loan, so only an own rate is lent.
        let free = self.own_share.flow.minus(self.lent_flow());
        let needed = Flow::from_estimate(self.demand.at(now) * DEMAND_HEADROOM);
        let flow = free.minus(needed).min(request.flow);
        if flow == Flow(0) {
            return nothing;
        }
        self.lent.push(Loan { flow, until: now.after(duration + duration / DRIFT_DIVISOR) });
        self.update_bucket(now);
        LoanOffer { flow, ..nothing }
    }

    /// Takes a gift from another holder; tells whether it was taken.
    ///
    /// Each giver's answer to the latest round is taken once, and none after its end.
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
