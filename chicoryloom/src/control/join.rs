//! Loads the state from peers while the platform is unreachable.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chicoryloom_policy::id;
use rand::seq::SliceRandom;
use xtra::Address;

use super::Control;
use super::Published;
use crate::peer::Puller;

/// Pause before each round over all seeds.
const ROUND_PAUSE: Duration = Duration::from_millis(500);
/// Rounds between two warnings in the log.
const ROUNDS_PER_WARNING: u32 = 20;
/// Round of the first warning; an ordinary start takes fewer rounds.
const FIRST_WARNING_ROUND: u32 = 5;

/// Pulls from the seeds in turn until the host has a roster.
pub(crate) async fn join(
    mut seeds: Vec<SocketAddr>,
    puller: Puller,
    published: Arc<Published>,
    control: Address<Control>,
) {
    for round in 0_u32.. {
        tokio::time::sleep(ROUND_PAUSE).await;
        seeds.shuffle(&mut rand::rng());
        for seed in &seeds {
            if is_known(&published) || !control.is_connected() {
                return;
            }
            puller.pull(*seed, id::Revision::default(), &control).await;
        }
        if is_known(&published) || !control.is_connected() {
            return;
        }
        if round % ROUNDS_PER_WARNING == FIRST_WARNING_ROUND {
            log::warn!("control: neither the platform nor a peer answers; serving nothing");
        }
    }
}

fn is_known(published: &Published) -> bool {
    published.view().roster.version > id::Revision::default()
}
