//! Responses of relays that take long to arrive.

use rstest::rstest;
use tokio::time::Instant;

use super::*;

/// Length of the body of a response, which has one record of this size.
const RECORD: usize = 256 * 1024;
/// Parts in which it is written.
const PARTS: usize = 32;

fn response() -> Bytes {
    let position = Position::new(chicoryloom_policy::position::Era(0), 3);
    let record = chicoryloom_policy::replica::Record {
        kind: Kind::Target,
        name: "i-1".into(),
        position,
        generation: chicoryloom_policy::position::Generation::default(),
        value: Some(vec![7; RECORD].into()),
    };
    let update = Update {
        kind: Kind::Target,
        records: vec![record],
        kept: Vec::new(),
        lapsed: Vec::new(),
        whole: true,
        position,
    };
    let incarnation = id::Incarnation(5);
    let response = SyncResponse { incarnation, latest: 4, age_ms: 30, updates: vec![update] };
    message::encode(&response, &Extension::new())
}

/// Starts a relay that writes each part of a response after a pause, and none after `parts`.
async fn start_relay(pause: Duration, parts: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        read(&mut stream, MAX_REQUEST).await.unwrap();
        let response = response();
        let mut frame = u32::try_from(response.len()).unwrap().to_be_bytes().to_vec();
        frame.extend_from_slice(&response);
        for part in frame.chunks(frame.len().div_ceil(PARTS)).take(parts) {
            stream.write_all(part).await.unwrap();
            tokio::time::sleep(pause).await;
        }
        std::future::pending::<()>().await;
    });
    address
}

#[rstest]
#[case::slow_link(Duration::from_millis(60), PARTS, true)]
#[case::stalls_within(Duration::from_millis(5), PARTS / 2, false)]
#[case::is_silent(Duration::ZERO, 0, false)]
#[tokio::test]
async fn response_may_take_any_time_as_long_as_it_goes_on(
    #[case] pause: Duration,
    #[case] parts: usize,
    #[case] is_whole: bool,
) {
    let wait = Duration::from_millis(50);
    let mut follower = Follower::connect(start_relay(pause, parts).await).await.unwrap();
    let is_receiving = AtomicBool::new(false);
    let begun = Instant::now();
    let polled = follower.poll(Positions::default(), None, wait, &is_receiving).await;
    assert!(!is_receiving.load(Ordering::Relaxed));
    let Ok((response, _)) = polled else {
        assert!(!is_whole);
        assert!(begun.elapsed() >= wait, "{:?}", begun.elapsed());
        return;
    };
    assert!(is_whole);
    assert!(begun.elapsed() > wait + RESPONSE_SLACK + STALL_TIMEOUT, "{:?}", begun.elapsed());
    assert_eq!(response.updates[0].records[0].value.as_ref().unwrap().len(), RECORD);
}
