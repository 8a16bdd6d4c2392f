//! What of a target's answer reaches its caller, and what the HTTP library must not do.

use rstest::rstest;

use crate::support::Edge;
use crate::support::Scripted;

const ROUTES: &str = "  - { name: all, path: / }";

/// Answers by path; a path that ends in `close` gets no answer.
fn script(head: &str) -> Option<&'static str> {
    let path = head.split(' ').nth(1).unwrap_or_default();
    Some(match path {
        "/head" => "HTTP/1.1 200 OK\r\ncontent-length: 5000\r\n\r\n",
        "/204" => "HTTP/1.1 204 No Content\r\nx-mark: 1\r\n\r\n",
        "/304" => "HTTP/1.1 304 Not Modified\r\netag: \"1\"\r\n\r\n",
        "/103" => {
            "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n\
             HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
        }
        "/redirect" => "HTTP/1.1 302 Found\r\nlocation: /other\r\ncontent-length: 0\r\n\r\n",
        "/gzip" => {
            "HTTP/1.1 200 OK\r\ncontent-encoding: gzip\r\ncontent-length: 9\r\n\r\nno archiv"
        }
        "/hop" => {
            "HTTP/1.1 200 OK\r\nconnection: x-hop\r\nx-hop: 1\r\nkeep-alive: timeout=9\r\n\
             chicory-workspace: other\r\ntransfer-encoding: chunked\r\ntrailer: x-end\r\n\r\n\
             2\r\nok\r\n0\r\nx-end: 1\r\n\r\n"
        }
        "/101" => "HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n",
        "/close" => return None,
        "/000" => "HTTP/1.1 000 Odd\r\ncontent-length: 2\r\n\r\nok",
        "/099" => "HTTP/1.1 099 Odd\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        "/2000" => "HTTP/1.1 2000 Odd\r\ncontent-length: 2\r\n\r\nok",
        "/20" => "HTTP/1.1 20 Odd\r\nconnection: close\r\n\r\nok",
        "/abc" => "HTTP/1.1 abc Odd\r\ncontent-length: 2\r\n\r\nok",
        "/742" => "HTTP/1.1 742 Odd\r\ncontent-length: 2\r\n\r\nok",
        _ => "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
    })
}

#[rstest]
#[case("HEAD", "/head", "HTTP/1.1 200", "content-length: 5000", "")]
#[case("GET", "/204", "HTTP/1.1 204", "x-mark: 1", "")]
#[case("GET", "/304", "HTTP/1.1 304", "etag: \"1\"", "")]
#[case("GET", "/103", "HTTP/1.1 200", "content-length: 2", "ok")]
#[case("GET", "/redirect", "HTTP/1.1 302", "location: /other", "")]
#[case("GET", "/742", "HTTP/1.1 742", "content-length: 2", "ok")]
#[case("GET", "/gzip", "HTTP/1.1 200", "content-encoding: gzip", "no archiv")]
#[tokio::test]
async fn answer_passes_as_it_is(
    #[case] method: &str,
    #[case] path: &str,
    #[case] status: &str,
    #[case] header: &str,
    #[case] body: &str,
) {
    let target = Scripted::start(script).await;
    let edge = Edge::before(&target, "", ROUTES).await;
    let line = format!("{method} /calendar{path} HTTP/1.1");
    let answer = edge.raw(&line, "host: h\r\nconnection: close\r\n").await;
    let (head, rest) = answer.split_once("\r\n\r\n").unwrap();
    assert!(head.starts_with(status), "{answer}");
    assert!(head.contains(header), "{answer}");
    assert_eq!(rest, body);
    assert_eq!(target.heads(path).len(), 1);
    assert_eq!(target.heads("/other").len(), 0, "a redirect was followed");
}

#[tokio::test]
async fn headers_of_one_connection_stay_behind() {
    let target = Scripted::start(script).await;
    let edge = Edge::before(&target, "", ROUTES).await;
    let headers = "host: h\r\nte: trailers\r\nconnection: close\r\n";
    let answer = edge.raw("GET /calendar/hop HTTP/1.1", headers).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    for name in ["x-hop", "keep-alive", "chicory-workspace", "trailer", "x-end"] {
        assert!(!answer.contains(&format!("{name}:")), "{name} in {answer}");
    }
}

#[tokio::test]
async fn change_of_protocol_by_the_target_is_no_answer() {
    let target = Scripted::start(script).await;
    let edge = Edge::before(&target, "", ROUTES).await;
    let answer = edge.raw("GET /calendar/101 HTTP/1.1", "host: h\r\nconnection: close\r\n").await;
    assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
    assert!(answer.contains("chicory-run: unknown"), "{answer}");
}

/// Guards against answers without a valid status that callers get as answers (MIXED).
#[rstest]
#[tokio::test]
async fn answer_without_a_status_is_no_answer(
    #[values("/000", "/099", "/2000", "/20", "/abc")] path: &str,
    #[values("GET", "POST")] method: &str,
) {
    let target = Scripted::start(script).await;
    let edge = Edge::before(&target, "", ROUTES).await;
    let headers = "host: h\r\ncontent-length: 0\r\nconnection: close\r\n";
    let answer = edge.raw(&format!("{method} /calendar{path} HTTP/1.1"), headers).await;
    assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
    assert!(answer.contains("chicory-run: unknown"), "{answer}");
    assert_eq!(target.heads(path).len(), 1);
}

/// The idle connection is closed by the target only once it has read the next request.
#[tokio::test]
async fn pooled_connection_that_the_target_closes_leads_to_no_second_run() {
    let target = Scripted::start(script).await;
    let edge = Edge::before(&target, "", ROUTES).await;
    let client = edge.fleet.client();
    for round in 1..=5 {
        let warm = client.get(edge.url("/warm")).bearer_auth(&edge.key).send().await.unwrap();
        assert_eq!(warm.status(), 200);
        let answer = client.post(edge.url("/close")).bearer_auth(&edge.key).send().await.unwrap();
        assert_eq!(answer.status(), 502);
        assert_eq!(answer.headers()["chicory-run"], "unknown");
        assert_eq!(target.heads("/close").len(), round, "a request was sent again");
    }
}

#[tokio::test]
async fn expected_continuation_is_given() {
    let edge = Edge::start("", ROUTES).await;
    let headers =
        "host: h\r\nexpect: 100-continue\r\ncontent-length: 2\r\nconnection: close\r\n\r\nok";
    let answer = edge.raw("POST /calendar/upload HTTP/1.1", headers).await;
    assert!(answer.starts_with("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200"), "{answer}");
    let runs = edge.fleet.journals().await.unwrap();
    let run = runs.iter().find(|run| run.path == "/upload").unwrap();
    assert!(!run.headers.iter().any(|(name, _)| name == "expect"));
}
