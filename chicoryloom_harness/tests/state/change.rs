//! Changes by operators, under lost answers and races.

use chicoryloom_harness::Error;
use chicoryloom_harness::until;
use chicoryloom_standin::platform::Switches;
use serde_json::json;

use crate::support::Case;

/// Races of two operators.
const RACES: u32 = 8;

#[tokio::test]
async fn lost_answers_are_settled() {
    let case = Case::start(4).await;
    let lose = Switches { lose_answers: 1, ..Switches::default() };
    case.fleet.switch_platform(&lose).await.unwrap();
    let text = case.document(7);
    let written = case.fleet.put_document(1, "calendar", case.version, &text).await.unwrap();
    assert!(written > case.version);
    // The version that was answered is the one that stands.
    let text = case.document(8);
    let again = case.fleet.put_document(2, "calendar", written, &text).await.unwrap();
    case.fleet.in_force(again).await;
    case.fleet.switch_platform(&lose).await.unwrap();
    case.withdraw(0).await;
    case.assert_withdrawn().await;
}

#[tokio::test]
async fn one_of_two_operators_wins() {
    let case = Case::start(4).await;
    let mut version = case.version;
    for race in 0..RACES {
        let texts = [case.document(100 + race), case.document(200 + race)];
        let (a, b) = tokio::join!(
            case.fleet.put_document(0, "calendar", version, &texts[0]),
            case.fleet.put_document(1, "calendar", version, &texts[1]),
        );
        let (won, lost) = match (a, b) {
            (Ok(won), Err(lost)) | (Err(lost), Ok(won)) => (won, lost),
            both => panic!("not exactly one winner: {both:?}"),
        };
        let Error::Refused(_, 409, shown) = lost else {
            panic!("not a conflict: {lost}");
        };
        assert!(shown.contains(&won.to_string()), "the newer version is not shown: {shown}");
        version = won;
    }
}

#[tokio::test]
async fn status_tells_of_acceptance_and_of_hosts_behind() {
    let mut case = Case::start(4).await;
    case.fleet.hosts[3].process.kill().await;
    let text = case.document(9);
    case.version = case.fleet.put_document(0, "calendar", case.version, &text).await.unwrap();
    case.until_accepted().await;
    until("the status shows three hosts in force and one behind", async || {
        let document = &case.state(0).await["documents"][0];
        document["version"] == case.version
            && document["accepted"] == true
            && document["in_force"] == 3
            && document["behind"] == json!(["host-4"])
    })
    .await;
}

#[tokio::test]
async fn invalid_edit_past_the_fleet_leaves_the_last_good_one() {
    let case = Case::start(4).await;
    let url =
        format!("http://{}/v1/objects/documents/calendar", case.fleet.platform.address("listen"));
    let put = json!({ "expected": case.version, "value": "service: [", "write": "by-hand" });
    case.fleet.client().put(url).json(&put).send().await.unwrap().error_for_status().unwrap();
    for host in 0..4 {
        until("the fault is reported", async || {
            case.state(host).await["documents"][0]["fault"]["version"].is_u64()
        })
        .await;
        case.until_answered(host).await;
        assert_eq!(case.state(host).await["documents"][0]["version"], case.version);
    }
}

/// The roster follows the platform's list step by step, and the fleet serves on.
#[tokio::test]
async fn roster_shrinks_and_grows() {
    use chicoryloom_harness::Listing;

    let case = Case::start(6).await;
    let size = async || case.fleet.status(0).await.unwrap()["hosts"].as_u64();
    let shrunk = |host| if host < 3 { Listing::Live } else { Listing::Absent };
    case.fleet.list_hosts(shrunk).await.unwrap();
    until("the roster has three hosts", async || size().await == Some(3)).await;
    case.until_answered(0).await;
    case.fleet.list_hosts(|_| Listing::Live).await.unwrap();
    until("the roster has six hosts", async || size().await == Some(6)).await;
    for host in 0..6 {
        case.until_fresh(host, true).await;
    }
}
