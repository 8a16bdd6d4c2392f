//! Limits that targets name on the requests of all hosts together.

use chicoryloom_policy::Moment;
use chicoryloom_policy::throttle::InvalidLimit;
use chicoryloom_policy::throttle::Limit;
use serde_json::json;

use super::Dispatcher;
use super::Endpoint;

impl Dispatcher {
    /// Records the limit that an answer names, or that it names none.
    pub(super) fn observe_limit(
        &self,
        endpoint: &Endpoint,
        limit: Option<Result<Limit, InvalidLimit>>,
        sent: Moment,
    ) {
        let limit = match limit.transpose() {
            Ok(limit) => limit,
            Err(error) => {
                log::warn!(
                    "target: {} of {}: its limit is ignored: {error}",
                    endpoint.target.instance,
                    endpoint.target.service
                );
                return;
            }
        };
        let now = self.clock.now();
        let change = self.lock().limits.observe(&endpoint.process(), limit, sent, now);
        if let Some(change) = change {
            self.events.emit(
                "target_limit",
                json!({
                    "target": endpoint.target.instance.as_str(),
                    "service": endpoint.target.service.as_str(),
                    "per_second": change.limit.map(Limit::per_second), "by": "answer",
                }),
            );
        }
    }

    /// Counts a request that is sent to a target which had named a limit.
    pub(in crate::gateway) fn count_send(&self, endpoint: &Endpoint) {
        let mut state = self.lock();
        if state.limits.get(&endpoint.process()).is_some() {
            state.limited_sends += 1;
        }
    }

    /// Returns how many targets have a limit.
    pub(in crate::gateway) fn limited_targets(&self) -> u64 {
        self.lock().limits.count() as u64
    }

    /// Returns how many requests were sent to targets that had named a limit.
    pub(in crate::gateway) fn limited_sends(&self) -> u64 {
        self.lock().limited_sends
    }
}
