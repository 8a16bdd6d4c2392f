//! Asks and gifts between the holders of a service's grants.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chicoryloom_policy::account::LoanOffer;
use chicoryloom_policy::account::LoanRequest;
use chicoryloom_policy::id;
use chicoryloom_policy::limit::Flow;
use chicoryloom_policy::limit::Tokens;
use chicoryloom_wire::frame::Body;
use chicoryloom_wire::frame::Frame;
use chicoryloom_wire::generated::frame as raw;
use tokio::sync::mpsc;

use super::Grants;
use super::Short;
use crate::clock::Clock;
use crate::control::Published;
use crate::control::View;
use crate::peer;

/// Holders that one round asks.
const ASKED: usize = 3;

/// Asks other holders, and answers their asks.
#[derive(Clone, Debug)]
pub(crate) struct Lender {
    pub(crate) grants: Arc<Grants>,
    pub(crate) published: Arc<Published>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) sender: peer::Sender,
}

impl Lender {
    /// Sends the asks of accounts that ran short, until the accounts are gone.
    pub(crate) async fn lend(self, mut shorts: mpsc::Receiver<Short>) {
        while let Some(short) = shorts.recv().await {
            let view = self.published.view();
            let ask = Body::Ask(raw::Ask {
                service: short.service.to_string(),
                workspace: short.workspace.to_string(),
                round: short.request.round,
                flow: short.request.flow.0,
            });
            for address in self.grants.givers(&view, &short, &*self.clock) {
                self.sender.send(address, ask.clone()).await;
            }
        }
    }

    /// Takes an ask or a gift; tells whether the frame was one.
    pub(crate) async fn hear(&self, frame: &Frame) -> bool {
        let answer = self.grants.hear(frame, &self.published, &*self.clock);
        if let Some((address, body)) = answer {
            self.sender.send(address, body).await;
        }
        matches!(frame.body, Body::Ask(_) | Body::Gift(_))
    }
}

impl Grants {
    /// Returns the addresses of the holders to ask.
    fn givers(&self, view: &View, short: &Short, clock: &dyn Clock) -> Vec<SocketAddr> {
        let books = self.books.load();
        let entry = books.get(&short.service).and_then(|book| book.entry(&short.workspace));
        let richest = entry.map(|entry| entry.lock().richest(clock.now())).unwrap_or_default();
        let hosts = richest.iter().filter_map(|host| view.hosts.get(host));
        hosts.take(ASKED).map(|host| host.peer).collect()
    }

    /// Takes an ask or a gift; returns the answer to send and where to.
    fn hear(
        &self,
        frame: &Frame,
        published: &Published,
        clock: &dyn Clock,
    ) -> Option<(SocketAddr, Body)> {
        self.heard.note(&frame.sender, clock.now());
        match &frame.body {
            Body::Ask(ask) => self.hear_ask(frame, ask, published, clock),
            Body::Gift(gift) => {
                self.hear_gift(frame, gift, clock);
                None
            }
            Body::Heartbeat(_)
            | Body::Evidence(_)
            | Body::Crash(_)
            | Body::Pull(_)
            | Body::Page(_) => None,
        }
    }

    fn hear_ask(
        &self,
        frame: &Frame,
        ask: &raw::Ask,
        published: &Published,
        clock: &dyn Clock,
    ) -> Option<(SocketAddr, Body)> {
        let view = published.view();
        let address = view.hosts.get(&frame.sender)?.peer;
        let workspace: id::Workspace = ask.workspace.parse().ok()?;
        let now = clock.now();
        let book = self.book(&view, &ask.service.parse().ok()?, now)?;
        if self.is_leaving() {
            return None;
        }
        let mut state = book.entry(&workspace)?.lock();
        let request = LoanRequest { round: ask.round, flow: Flow(ask.flow) };
        let offer = state.account.lend(request, published.fresh_until().since(now), now);
        let body = raw::Gift {
            service: ask.service.clone(),
            workspace: ask.workspace.clone(),
            taker: frame.incarnation.0,
            round: offer.round,
            flow: offer.flow.0,
            lasting: u64::try_from(offer.duration.as_micros()).unwrap_or(u64::MAX),
            spare: state.account.level(now).millis(),
        };
        Some((address, Body::Gift(body)))
    }

    fn hear_gift(&self, frame: &Frame, raw: &raw::Gift, clock: &dyn Clock) {
        let (Ok(service), Ok(workspace)) =
            (raw.service.parse::<id::Service>(), raw.workspace.parse::<id::Workspace>())
        else {
            return;
        };
        let books = self.books.load();
        let Some(entry) = books.get(&service).and_then(|book| book.entry(&workspace)) else {
            return;
        };
        let offer = LoanOffer {
            round: raw.round,
            flow: Flow(raw.flow),
            duration: Duration::from_micros(raw.lasting),
        };
        let now = clock.now();
        let mut state = entry.lock();
        state.note_level(&frame.sender, Tokens::from_millis(raw.spare), now);
        if raw.taker == self.me.incarnation.0 {
            state.account.accept(offer, frame.incarnation, now);
        }
    }
}
