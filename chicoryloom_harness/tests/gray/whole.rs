//! Cut and crossed answers are never passed on as whole ones.

use chicoryloom_standin::content::Content;
use chicoryloom_standin::target::Switches;
use rstest::rstest;

use super::support::Gray;

#[rstest]
#[case::cut(Switches { cut_share: 0.5, ..Switches::default() })]
#[case::crossed(Switches { cross_share: 0.5, ..Switches::default() })]
#[case::late(Switches { hang_share: 0.2, slow_factor: 20.0, ..Switches::default() })]
#[tokio::test]
async fn answer_that_reads_to_its_end_is_the_right_one(#[case] fault: Switches) {
    let gray = Gray::start(3).await;
    for target in 0..3 {
        gray.fleet.switch_target(target, &fault).await.unwrap();
    }
    let mut whole = 0;
    for seed in 0..60_u64 {
        let length = 20_000 + seed * 1000;
        let Ok(answer) = gray.get(seed as usize % 4, &format!("/bytes/{seed}/{length}")).await
        else {
            continue;
        };
        if answer.status() != 200 {
            continue;
        }
        // A cut answer ends in an error here.
        if let Ok(bytes) = answer.bytes().await {
            let expected: Vec<_> = Content::new(seed, length).flatten().collect();
            assert!(bytes == expected, "answer {seed} is not its own");
            whole += 1;
        }
    }
    assert!(whole > 0, "no answer came whole");
}
