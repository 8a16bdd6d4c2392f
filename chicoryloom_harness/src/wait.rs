//! Waits on conditions.

use std::time::Duration;
use std::time::Instant;

/// Longest wait for any condition; only a broken program takes so long.
const LIMIT: Duration = Duration::from_secs(60);
/// Pause between two looks at a condition.
const PAUSE: Duration = Duration::from_millis(20);

/// Waits until a condition holds.
///
/// # Panics
///
/// Panics with the condition's name if it doesn't hold within a minute.
pub async fn until<F>(name: &str, condition: F)
where
    F: AsyncFn() -> bool,
{
    let started = Instant::now();
    while !condition().await {
        assert!(started.elapsed() < LIMIT, "waited in vain until {name}");
        tokio::time::sleep(PAUSE).await;
    }
}
