//! Loan requests and offers between the holders of a service's grants; they travel as
//! [`Body::Ask`] and [`Body::Gift`] frames.

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
use super::Shortage;
use crate::clock::Clock;
use crate::control::Published;
use crate::control::View;
use crate::peer;

/// Maximum number of holders that are asked for a loan in one round.
const MAX_LENDERS_ASKED: usize = 3;

/// Requests loans from other holders, and answers their requests.
#[derive(Clone, Debug)]
pub(crate) struct Lender {
    pub(crate) grants: Arc<Grants>,
    pub(crate) published: Arc<Published>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) sender: peer::Sender,
}

impl Lender {
    /// Sends the loan requests of accounts that ran short, until the channel is closed.
    pub(crate) async fn run(self, mut shortages: mpsc::Receiver<Shortage>) {
        while let Some(shortage) = shortages.recv().await {
            let view = self.published.view();
            let ask = Body::Ask(raw::Ask {
                service: shortage.service.to_string(),
                workspace: shortage.workspace.to_string(),
                round: shortage.request.round,
                flow: shortage.request.flow.0,
            });
            for address in self.grants.lenders(&view, &shortage, &*self.clock) {
                self.sender.send(address, ask.clone()).await;
            }
        }
    }

    /// Handles a loan request or offer; returns whether the frame was one.
    pub(crate) async fn handle(&self, frame: &Frame) -> bool {
        let answer = self.grants.handle_frame(frame, &self.published, &*self.clock);
        if let Some((address, body)) = answer {
            self.sender.send(address, body).await;
        }
        matches!(frame.body, Body::Ask(_) | Body::Gift(_))
    }
}

impl Grants {
    /// Returns the addresses of the holders to request a loan from.
    fn lenders(&self, view: &View, shortage: &Shortage, clock: &dyn Clock) -> Vec<SocketAddr> {
        let services = self.services.load();
        let entry = services
            .get(&shortage.service)
            .and_then(|accounts| accounts.entry(&shortage.workspace));
        let peers_by_level =
            entry.map(|entry| entry.lock().peers_by_level(clock.now())).unwrap_or_default();
        let hosts = peers_by_level.iter().filter_map(|host| view.hosts.get(host));
        hosts.take(MAX_LENDERS_ASKED).map(|host| host.peer).collect()
    }

    /// Handles a loan request or offer; returns the answer to send and its address.
    ///
    /// Any frame counts as a sign that its sender is alive.
    fn handle_frame(
        &self,
        frame: &Frame,
        published: &Published,
        clock: &dyn Clock,
    ) -> Option<(SocketAddr, Body)> {
        self.last_seen.record(&frame.sender, clock.now());
        match &frame.body {
            Body::Ask(ask) => self.handle_ask(frame, ask, published, clock),
            Body::Gift(gift) => {
                self.handle_gift(frame, gift, clock);
                None
            }
            Body::Heartbeat(_)
            | Body::Evidence(_)
            | Body::Crash(_)
            | Body::Pull(_)
            | Body::Page(_) => None,
        }
    }

    fn handle_ask(
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
        let accounts = self.accounts(&view, &ask.service.parse().ok()?, now)?;
        if self.is_leaving() {
            return None;
        }
        let mut state = accounts.entry(&workspace)?.lock();
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

    fn handle_gift(&self, frame: &Frame, raw: &raw::Gift, clock: &dyn Clock) {
        let (Ok(service), Ok(workspace)) =
            (raw.service.parse::<id::Service>(), raw.workspace.parse::<id::Workspace>())
        else {
            return;
        };
        let services = self.services.load();
        let Some(entry) = services.get(&service).and_then(|accounts| accounts.entry(&workspace))
        else {
            return;
        };
        let offer = LoanOffer {
            round: raw.round,
            flow: Flow(raw.flow),
            duration: Duration::from_micros(raw.lasting),
        };
        let now = clock.now();
        let mut state = entry.lock();
        state.set_peer_level(&frame.sender, Tokens::from_millis(raw.spare), now);
        if raw.taker == self.me.incarnation.0 {
            state.account.accept(offer, frame.incarnation, now);
        }
    }
}
