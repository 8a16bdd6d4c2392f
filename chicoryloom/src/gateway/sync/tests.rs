//! Relays whose responses arrive slowly.

use rstest::rstest;

use super::*;

const UNTIL_DUE: Duration = Duration::from_millis(300);

#[rstest]
#[case::not_begun(Duration::ZERO, UNTIL_DUE)]
#[case::large_response(Duration::from_millis(1100), Duration::from_millis(1100))]
#[case::trickle(Duration::from_secs(3600), UNTIL_DUE + takeover::MAX_RECEIVING)]
#[tokio::test(start_paused = true)]
async fn relay_that_trickles_does_not_hold_up_the_takeover(
    #[case] received_after: Duration,
    #[case] expected: Duration,
) {
    let is_receiving = Arc::new(AtomicBool::new(!received_after.is_zero()));
    let receiving = is_receiving.clone();
    tokio::spawn(async move {
        tokio::time::sleep(received_after).await;
        receiving.store(false, Ordering::Relaxed);
    });
    let begun = Instant::now();
    wait_until_due(UNTIL_DUE, &is_receiving).await;
    let waited = begun.elapsed();
    assert!(waited >= expected, "{waited:?}");
    assert!(waited <= expected + 2 * SOURCE_CHECK_INTERVAL, "{waited:?}");
}
