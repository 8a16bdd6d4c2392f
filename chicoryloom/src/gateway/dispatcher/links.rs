//! This host's links to targets.

use std::sync::Arc;
use std::time::Duration;

use chicoryloom_policy::Moment;
use chicoryloom_policy::catalog::Target;
use chicoryloom_policy::holdback::Fingerprint;
use chicoryloom_policy::id;
use chicoryloom_policy::loss;
use chicoryloom_policy::loss::Answer;
use chicoryloom_policy::loss::Over;
use chicoryloom_policy::reach::Listed;
use chicoryloom_policy::withdrawal::Availability;
use rand::seq::IteratorRandom;
use serde_json::json;

use super::Dispatcher;
use super::Endpoint;
use super::Service;
use super::State;
use crate::target::Failure;

/// `Retry-After` of a request that is refused by a host without links. Other hosts serve it now, and
/// the locator names them once the news has reached it.
pub(super) const CUT_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Time in which a target answers a check of the links.
const CHECK_TIMEOUT: Duration = Duration::from_millis(600);

/// Targets with losses that are tried at a time.
const MAX_SUSPECTS: usize = 3;

impl Dispatcher {
    /// Records that a target answered, whatever it said, over a connection that was opened at
    /// `opened` if that is known, and which request if it was a caller's.
    pub(in crate::gateway) fn record_answer(
        &self,
        endpoint: &Endpoint,
        opened: Option<Moment>,
        request: Option<Fingerprint>,
    ) {
        let now = self.clock.now();
        let answer = Answer { target: &endpoint.target.instance, opened, request };
        let verdicts = {
            let mut state = self.lock();
            state.reach.record_answer(now);
            state.losses.record_answer(answer, now)
        };
        self.apply_verdicts(verdicts, now);
    }

    /// Records that a target has been out of reach since a moment.
    pub(in crate::gateway) fn record_unreached(&self, endpoint: &Endpoint, since: Moment) {
        let now = self.clock.now();
        let mut state = self.lock();
        if Self::is_evacuated(&state, endpoint) {
            return;
        }
        let remains = |endpoint: &&Arc<Endpoint>| !Self::is_evacuated(&state, endpoint);
        let size = |service: &Service| service.targets.iter().filter(remains).count();
        let sizes = state.services.values().map(size);
        let sizes: Vec<_> = sizes.filter(|size| *size > 0).collect();
        let listed = Listed { targets: sizes.iter().sum(), services: sizes.len() };
        let Target { instance, service, .. } = &*endpoint.target;
        let is_news = state.reach.record_unreached(instance, service, listed, since, now);
        self.links_changed.notify_one();
        if !is_news {
            return;
        }
        let silence_ms = state.reach.silence(now).as_millis() as u64;
        let unreached = state.reach.unreached();
        state.losses.dismiss();
        state.services.values_mut().for_each(Service::refuse_waiters);
        drop(state);
        let fields =
            json!({ "silence_ms": silence_ms, "unreached": unreached, "listed": listed.targets });
        self.events.emit("links_cut", fields);
    }

    /// Returns whether a request for a service can't be served, as no connection can be opened to its
    /// targets and none is open that may be used.
    pub(super) fn is_unreachable(
        state: &mut State,
        service: &id::Service,
        is_repeatable: bool,
        now: Moment,
    ) -> bool {
        if state.reach.can_open() && !state.reach.is_cut() {
            return false;
        }
        if !state.reach.admits(is_repeatable, now) {
            return true;
        }
        let targets = state.services.get(service).map_or(&[][..], |service| &service.targets);
        let has_connection = |endpoint: &Arc<Endpoint>| {
            endpoint.backend.has_idle() || endpoint.backend.gauge().in_flight() > 0
        };
        !targets.is_empty() && !targets.iter().any(has_connection)
    }

    /// Ends the wait of requests that can't be served as their connections are gone.
    pub(super) fn refuse_unreachable(state: &mut State, now: Moment) {
        if state.reach.can_open() && !state.reach.is_cut() {
            return;
        }
        let waiting = state.services.iter().filter(|(_, service)| !service.queue.is_empty());
        let names: Vec<_> = waiting.map(|(name, _)| name.clone()).collect();
        for name in names {
            if Self::is_unreachable(state, &name, false, now)
                && let Some(service) = state.services.get_mut(&name)
            {
                service.refuse_waiters();
            }
        }
    }

    /// Records whether a target answered on a connection that was opened from `begun` on.
    pub(in crate::gateway) fn record_opening(
        &self,
        endpoint: &Endpoint,
        begun: Moment,
        is_answered: bool,
    ) {
        let now = self.clock.now();
        let ended = {
            let mut state = self.lock();
            if !is_answered {
                state.reach.record_unopened(&endpoint.target.instance);
                state.losses.record_unopened(&endpoint.target.instance, begun);
                return;
            }
            state.reach.record_opened(begun, now)
        };
        if let Some(since) = ended {
            let silence_ms = now.since(since).as_millis() as u64;
            self.events.emit("links_up", json!({ "silence_ms": silence_ms }));
            self.links_changed.notify_one();
        }
    }

    /// Records that an answer to a request which was sent at `sent` is late.
    pub(in crate::gateway) fn record_late(&self, sent: Moment) {
        let now = self.clock.now();
        self.lock().reach.record_late(sent, now);
    }

    /// Checks the links unless a target answers soon, as a connection broke that may have been the
    /// target's or its request's fault.
    pub(in crate::gateway) fn doubt_links(&self) {
        let now = self.clock.now();
        self.lock().reach.doubt(now);
    }

    /// Checks the links, as a host of the data centre lost its own, unless a target answered lately.
    pub(in crate::gateway) fn question_links(&self) {
        let now = self.clock.now();
        self.lock().reach.question(now);
        self.links_changed.notify_one();
    }

    /// Returns whether this host is cut off from all targets.
    pub(in crate::gateway) fn is_cut(&self) -> bool {
        self.lock().reach.is_cut()
    }

    /// Returns the time since a target last answered, and how many were out of reach since.
    pub(in crate::gateway) fn silence(&self) -> (Duration, usize) {
        let (state, now) = (self.lock(), self.clock.now());
        (state.reach.silence(now), state.reach.unreached())
    }

    /// Tries some targets if the links are in doubt, or if it is to be shown why connections broke.
    pub(in crate::gateway) fn check_links(&self) {
        let now = self.clock.now();
        let mut state = self.lock();
        let suspects = state.losses.check(now);
        if suspects.is_empty() && !state.reach.is_check_due(now) {
            return;
        }
        self.apply_listing(&mut state);
        let endpoints = Self::checked_endpoints(&state, now);
        let targets: Vec<_> = endpoints
            .iter()
            .map(|endpoint| (&endpoint.target.instance, &endpoint.target.service))
            .collect();
        let chosen = state.reach.check(&targets, now, &mut rand::rng());
        let Some(dispatcher) = self.weak_self.upgrade() else { return };
        let spawn = |endpoint: &Arc<Endpoint>, over: Over| {
            let (dispatcher, endpoint) = (dispatcher.clone(), endpoint.clone());
            tokio::spawn(async move { dispatcher.check_link(&endpoint, over).await });
        };
        let is_suspect = |endpoint: &&Arc<Endpoint>| suspects.contains(&endpoint.target.instance);
        let is_chosen = |endpoint: &&Arc<Endpoint>| chosen.contains(&&endpoint.target.instance);
        for endpoint in endpoints.iter().filter(is_chosen) {
            spawn(endpoint, Over::New);
        }
        let tried = endpoints.iter().filter(is_suspect);
        for endpoint in tried.choose_multiple(&mut rand::rng(), MAX_SUSPECTS) {
            spawn(endpoint, Over::New);
        }
        if !suspects.is_empty() {
            let others: Vec<_> =
                endpoints.iter().filter(|endpoint| !is_suspect(endpoint)).collect();
            let have_idle: Vec<_> = others.iter().map(|one| one.backend.has_idle()).collect();
            for (index, over) in loss::witnesses(&have_idle, &mut rand::rng()) {
                spawn(others[index], over);
            }
        }
    }

    /// Returns the targets that may be tried: those that take requests and have no limit, or all that
    /// are not leaving if there is none, since a host that can't try any would stay cut off.
    fn checked_endpoints(state: &State, now: Moment) -> Vec<Arc<Endpoint>> {
        // Before the configuration is known, nobody knows which request is a check of a target's health.
        let Some(catalog) = &state.catalog else { return Vec::new() };
        let services =
            state.services.iter().filter(|(name, _)| catalog.services.contains_key(*name));
        let all = services.flat_map(|(_, service)| &service.targets);
        let is_free = |endpoint: &&Arc<Endpoint>| {
            Self::availability(state, endpoint, now) == Availability::Now
                && state.throttle.limit(&endpoint.process(), now).is_none()
        };
        let free: Vec<_> = all.clone().filter(is_free).cloned().collect();
        if !free.is_empty() {
            return free;
        }
        let stays = |endpoint: &&Arc<Endpoint>| {
            Self::availability(state, endpoint, now) != Availability::Never
        };
        all.filter(stays).cloned().collect()
    }

    /// Asks a target for its health, since only an answer shows that the link works.
    async fn check_link(&self, endpoint: &Endpoint, over: Over) {
        let begun = self.clock.now();
        let path = {
            let state = self.lock();
            state.catalog.as_ref().and_then(|catalog| {
                catalog.services.get(&endpoint.target.service)?.health_path.clone()
            })
        };
        let path = path.as_deref().unwrap_or("/");
        if over == Over::Idle {
            let check = endpoint.backend.check_idle(path);
            if let Ok(Some(Ok(age))) = tokio::time::timeout(CHECK_TIMEOUT, check).await {
                self.record_answer(endpoint, Some(self.clock.now().before(age)), None);
            }
            return;
        }
        let check = endpoint.backend.check(path, self.warmup_header.as_ref());
        match tokio::time::timeout(CHECK_TIMEOUT, check).await {
            Ok(Ok((warmup, age))) => {
                self.record_warmth(endpoint, warmup);
                self.record_opening(endpoint, begun, true);
                self.record_answer(endpoint, Some(self.clock.now().before(age)), None);
            }
            Ok(Err(Failure::Cap)) => {}
            Ok(Err(_)) | Err(_) => {
                self.record_opening(endpoint, begun, false);
                self.record_unreached(endpoint, begun);
            }
        }
    }
}
