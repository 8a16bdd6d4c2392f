//! Sends the requests of the curl commands that the program prints, and checks that the README
//! shows no others.

use std::fs;
use std::io::BufRead;
use std::io::BufReader;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use reqwest::Client;
use reqwest::Method;

/// Last line of the program's text.
const LAST_LINE: &str = "Ctrl-C ends the fleet.";

/// The program; it is killed when dropped.
struct Dev {
    child: Child,
    text: String,
}

impl Drop for Dev {
    fn drop(&mut self) {
        // Errors are ignored: the process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Dev {
    fn start() -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_chicoryloom-dev"));
        let mut child = command.stdout(Stdio::piped()).spawn().unwrap();
        let mut text = String::new();
        for line in BufReader::new(child.stdout.take().unwrap()).lines() {
            text.push_str(&line.unwrap());
            text.push('\n');
            if text.trim_end().ends_with(LAST_LINE) {
                break;
            }
        }
        Self { child, text }
    }
}

/// A request, as a curl command line describes it.
#[derive(Clone, Debug)]
struct Call {
    method: Method,
    headers: Vec<(String, String)>,
    url: String,
}

impl Call {
    /// Parses the curl command lines of a text.
    fn parse_all(text: &str) -> Vec<Self> {
        let lines = text.lines().map(str::trim).filter(|line| line.starts_with("curl "));
        lines.map(|line| Self::from_words(&words(line))).collect()
    }

    fn from_words(words: &[String]) -> Self {
        let mut call = Self { method: Method::GET, headers: Vec::new(), url: String::new() };
        let mut words = words[1..].iter();
        while let Some(word) = words.next() {
            match word.as_str() {
                "-i" => {}
                "-X" => call.method = words.next().unwrap().parse().unwrap(),
                "-H" => {
                    let (name, value) = words.next().unwrap().split_once(": ").unwrap();
                    call.headers.push((name.to_owned(), value.to_owned()));
                }
                url => call.url = url.to_owned(),
            }
        }
        call
    }

    /// Returns the call without host and port, which differ from run to run.
    fn without_authority(&self) -> String {
        let path = self.url.splitn(4, '/').nth(3).unwrap_or_default();
        format!("{} {:?} {path}", self.method, self.headers)
    }
}

/// Splits a line into words like a shell; the only quotes that it knows are single ones.
fn words(line: &str) -> Vec<String> {
    let mut words = Vec::new();
    for (index, part) in line.split('\'').enumerate() {
        if index % 2 == 1 {
            words.push(part.to_owned());
        } else {
            words.extend(part.split_whitespace().map(str::to_owned));
        }
    }
    words
}

#[tokio::test]
async fn printed_calls_work_and_the_readme_has_no_others() {
    let dev = Dev::start();
    let calls = Call::parse_all(&dev.text);
    assert!(calls.len() >= 9, "{}", dev.text);
    let client = Client::builder().no_proxy().build().unwrap();
    for call in &calls {
        let mut request = client.request(call.method.clone(), &call.url);
        for (name, value) in &call.headers {
            request = request.header(name, value);
        }
        let answer = request.send().await.unwrap();
        let foreign = call.headers.iter().any(|(_, value)| value.contains("foreign"));
        let expected = if foreign { 401 } else { 200 };
        assert_eq!(answer.status(), expected, "{call:?}");
        assert!(!answer.bytes().await.unwrap().is_empty(), "{call:?}");
    }

    let readme = Path::new(env!("CARGO_MANIFEST_DIR")).join("../README.md");
    let shown = Call::parse_all(&fs::read_to_string(readme).unwrap());
    let printed: Vec<_> = calls.iter().map(Call::without_authority).collect();
    assert!(shown.len() >= 5, "the README shows {} calls", shown.len());
    for call in shown {
        assert!(printed.contains(&call.without_authority()), "the program does not print {call:?}");
        assert!(call.url.contains("127.0.0.1:8100/") || call.url.contains("127.0.0.1:8101/"));
    }
}
