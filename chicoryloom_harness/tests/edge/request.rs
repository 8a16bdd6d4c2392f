//! What of a request reaches a target, and which requests are refused.

use rstest::rstest;

use crate::support::Edge;

const ROUTES: &str = "  - { name: all, path: /, open: true }
  - { name: seats, path: /seats, methods: [POST] }";

#[tokio::test]
async fn key_reaches_no_target_wherever_it_stands() {
    let edge = Edge::start("", ROUTES).await;
    let key = &edge.key;
    let encoded = format!("%{:02x}{}", key.as_bytes()[0], &key[1..]);
    let body = format!("5\r\nhello\r\n0\r\nx-trailer: {key}\r\n\r\n");
    let answer = edge
        .raw(
            &format!("POST /calendar/a?k={key}&e={encoded}&access_token=t&day=1 HTTP/1.1"),
            &format!(
                "host: h\r\ncookie: a=1; s={key}; e={encoded}; chicory_key=t\r\nx-copy: <{key}>\r\n\
                 referer: http://h/?k={encoded}\r\nx-api-key: t\r\nproxy-authorization: Basic t\r\n\
                 trailer: x-trailer\r\nte: trailers\r\nconnection: close, x-hop\r\nx-hop: 1\r\n\
                 chicory-workspace: forged\r\nx-http-method-override: DELETE\r\n\
                 transfer-encoding: chunked\r\n\r\n{body}"
            ),
        )
        .await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    let runs = edge.fleet.journals().await.unwrap();
    let run = runs.iter().find(|run| run.path == "/a?day=1").expect("the query is stripped");
    let shown = format!("{run:?}");
    assert!(!shown.contains(&key[1..]), "{shown}");
    let mut names: Vec<_> = run.headers.iter().map(|(name, _)| name.as_str()).collect();
    names.sort_unstable();
    let expected = [
        "chicory-deadline-ms",
        "chicory-request-id",
        "chicory-workspace",
        "cookie",
        "host",
        "transfer-encoding",
    ];
    assert_eq!(names, expected);
    assert!(run.headers.contains(&("cookie".to_owned(), "a=1".to_owned())));
    assert_eq!(run.workspace, "prairie");
}

#[rstest]
#[case("GET /calendar/open/../seats HTTP/1.1", "", "malformed")]
#[case("GET /calendar/open/%2e%2e/seats HTTP/1.1", "", "malformed")]
#[case("GET /calendar//seats HTTP/1.1", "", "malformed")]
#[case("GET /calendar/open%2Fseats HTTP/1.1", "", "malformed")]
#[case("GET /calendar/a HTTP/1.1", "upgrade: websocket\r\nconnection: upgrade\r\n", "malformed")]
#[case("CONNECT calendar:80 HTTP/1.1", "", "malformed")]
#[case("GET /calendar/a HTTP/1.1", "authorization: Bearer two\r\n", "malformed")]
#[case("GET /nowhere/a HTTP/1.1", "", "route")]
#[case("GET /chicory/v1/other HTTP/1.1", "", "route")]
#[tokio::test]
async fn ambiguous_request_is_not_run(
    #[case] line: &str,
    #[case] headers: &str,
    #[case] code: &str,
) {
    let edge = Edge::start("", ROUTES).await;
    let before = edge.fleet.journals().await.unwrap().len();
    let close = if headers.contains("connection") { "" } else { "connection: close\r\n" };
    let answer = edge.raw(line, &format!("host: h\r\n{close}{headers}")).await;
    assert!(answer.contains("chicory-run: not-run"), "{answer}");
    assert!(answer.contains(&format!("\"code\":\"{code}\"")), "{answer}");
    assert_eq!(edge.fleet.journals().await.unwrap().len(), before);
}

#[tokio::test]
async fn encoded_path_takes_the_route_that_its_target_will_see() {
    let edge = Edge::start("", ROUTES).await;
    let url = edge.url("/%73eats");
    let answer = edge.fleet.client().post(&url).send().await.unwrap();
    assert_eq!(answer.status(), 401, "the route that needs a key was passed by");
}

#[tokio::test]
async fn other_forms_of_a_request_reach_the_target_as_one_form() {
    let edge = Edge::start("", ROUTES).await;
    let absolute = edge
        .raw("GET http://elsewhere/calendar/absolute HTTP/1.1", "host: h\r\nconnection: close\r\n")
        .await;
    assert!(absolute.starts_with("HTTP/1.1 200"), "{absolute}");
    let old = edge.raw("GET /calendar/old HTTP/1.0", "").await;
    assert!(old.starts_with("HTTP/1.0 200"), "{old}");
    // The transfer encoding counts alone; the length is dropped, so no second request hides in it.
    let chunked = "transfer-encoding: chunked\r\n";
    let length = "content-length: 30\r\n";
    let body = "0\r\n\r\nGET /calendar/hidden HTTP/1.1\r\n";
    for (path, framing) in
        [("first", format!("{length}{chunked}")), ("second", format!("{chunked}{length}"))]
    {
        let text = format!("host: h\r\nconnection: close\r\n{framing}\r\n{body}");
        edge.raw(&format!("POST /calendar/{path} HTTP/1.1"), &text).await;
    }
    let two = "content-length: 1\r\ncontent-length: 2\r\n\r\nab";
    let refused = edge.raw("POST /calendar/two HTTP/1.1", two).await;
    assert!(refused.starts_with("HTTP/1.1 400"), "{refused}");
    let runs = edge.fleet.journals().await.unwrap();
    for path in ["/absolute", "/old", "/first", "/second"] {
        let run = runs.iter().find(|run| run.path == path);
        let headers = &run.unwrap_or_else(|| panic!("{path} ran")).headers;
        assert!(!headers.iter().any(|(_, value)| value.contains("elsewhere")));
    }
    assert!(!runs.iter().any(|run| run.path.contains("hidden") || run.path == "/two"));
}
