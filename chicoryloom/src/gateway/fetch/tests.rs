//! Holders that answer slowly, fail or never finish.

use rstest::rstest;
use tokio::time::Instant;

use super::*;

const PAUSE: Duration = Duration::from_millis(500);

/// What a holder does.
#[derive(Clone, Copy, Debug)]
enum Holder {
    Answers(u64),
    Fails(u64),
    Trickles,
}

#[rstest]
#[case::first_trickles(&[Holder::Trickles, Holder::Answers(100)], Some((1, 600)))]
#[case::two_trickle(&[Holder::Trickles, Holder::Trickles, Holder::Answers(100)], Some((2, 1100)))]
#[case::failure_is_followed_at_once(&[Holder::Fails(10), Holder::Answers(100)], Some((1, 110)))]
#[case::slow_one_goes_on(&[Holder::Answers(900), Holder::Trickles], Some((0, 900)))]
#[case::all_fail(&[Holder::Fails(10), Holder::Fails(10)], None)]
#[tokio::test(start_paused = true)]
async fn holder_that_trickles_does_not_hold_up_a_version(
    #[case] holders: &[Holder],
    #[case] expected: Option<(usize, u64)>,
) {
    let begun = Instant::now();
    let attempts = holders.iter().enumerate().map(|(at, holder)| async move {
        match holder {
            Holder::Answers(ms) => {
                tokio::time::sleep(Duration::from_millis(*ms)).await;
                Some(at)
            }
            Holder::Fails(ms) => {
                tokio::time::sleep(Duration::from_millis(*ms)).await;
                None
            }
            Holder::Trickles => std::future::pending().await,
        }
    });
    let first = stagger(attempts, PAUSE, MAX_HOLDERS).await;
    let took = |at| (at, u64::try_from(begun.elapsed().as_millis()).unwrap());
    assert_eq!(first.map(took), expected);
}

#[tokio::test(start_paused = true)]
async fn at_most_the_limit_of_holders_is_asked_at_a_time() {
    let running = std::cell::Cell::new(0);
    let attempts = (0..10).map(|_| async {
        running.set(running.get() + 1);
        std::future::pending::<Option<()>>().await
    });
    let asked = stagger(attempts, PAUSE, MAX_HOLDERS);
    assert!(tokio::time::timeout(20 * PAUSE, asked).await.is_err());
    assert_eq!(running.get(), MAX_HOLDERS);
}
