//! Run keys that a caller takes from series issued by the fleet.

use std::time::Duration;

use chicoryloom_wire::generated::caller::Series;
use tokio::sync::Mutex;
use tokio::time::Instant;

/// Time before its expiry at which a series is given up.
const MARGIN: Duration = Duration::from_secs(15);
/// Pause after a failed try to get a series.
const PAUSE: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct Current {
    series: String,
    next: u64,
    until: Instant,
}

#[derive(Debug, Default)]
struct State {
    current: Option<Current>,
    ask_again: Option<Instant>,
}

/// The run keys of one caller at one service.
#[derive(Debug, Default)]
pub(super) struct Keys {
    state: Mutex<State>,
}

impl Keys {
    /// Gives the current series up, because the host that issued it is gone.
    pub(super) async fn give_up(&self) {
        self.state.lock().await.current = None;
    }

    /// Returns a run key that was never returned before, or `None` if the fleet issues none.
    pub(super) async fn next<F>(&self, issue: F) -> Option<String>
    where
        F: AsyncFnOnce() -> Option<Series>,
    {
        let mut state = self.state.lock().await;
        let now = Instant::now();
        if state.current.as_ref().is_none_or(|current| now >= current.until) {
            if state.ask_again.is_some_and(|at| now < at) {
                return None;
            }
            state.current = issue().await.map(|series| Current {
                series: series.series,
                next: series.first,
                until: now + Duration::from_millis(series.expires_in_ms).saturating_sub(MARGIN),
            });
            state.ask_again = Some(now + PAUSE);
        }
        let current = state.current.as_mut()?;
        let key = format!("{}.{}", current.series, current.next);
        current.next += 1;
        Some(key)
    }
}
