//! A stand-in for the platform's store, as PROTOCOL.md describes it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http::Connection;

#[derive(Default)]
struct State {
    revision: u64,
    /// Objects by kind and name, each as its fields besides the metadata, and its revision.
    objects: BTreeMap<(String, String), (u64, Vec<u8>)>,
    /// Changes: revision, kind, name, fields, and whether the object was deleted.
    history: Vec<(u64, String, String, Vec<u8>, bool)>,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

/// Returns an object with the bytes that its writer gave for its fields, whatever they are.
fn object(name: &str, revision: u64, fields: &[u8]) -> Vec<u8> {
    let metadata = format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"createdAt\":1,\
         \"finalizers\":[],\"deleting\":false}},"
    );
    [metadata.as_bytes(), fields, b"}"].concat()
}

/// Returns the text of a string field.
fn string(text: &str, field: &str) -> Option<String> {
    let at = text.find(&format!("\"{field}\""))?;
    let rest = &text[at + field.len() + 2..];
    let rest = rest.trim_start().strip_prefix(':')?.trim_start().strip_prefix('"')?;
    Some(rest[..rest.find('"')?].to_owned())
}

/// Returns the text of an object's field that is an object itself.
fn nested(text: &str, field: &str) -> Option<String> {
    let at = text.find(&format!("\"{field}\""))?;
    let rest = &text[at..];
    let begin = rest.find('{')?;
    let mut depth = 0;
    for (index, byte) in rest.bytes().enumerate().skip(begin) {
        match byte {
            b'{' => depth += 1,
            b'}' => depth -= 1,
            _ => {}
        }
        if depth == 0 {
            return Some(rest[begin..=index].to_owned());
        }
    }
    None
}

impl Store {
    pub fn start(address: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let store = Self { address, state: Arc::default() };
        let served = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = served.clone();
                std::thread::spawn(move || served.serve(Connection::new(stream)));
            }
        });
        Ok(store)
    }

    /// Writes an object; `fields` are its fields besides the metadata, as JSON without the braces.
    pub fn put(&self, kind: &str, name: &str, fields: impl AsRef<[u8]>) -> u64 {
        let fields = fields.as_ref();
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let key = (kind.to_owned(), name.to_owned());
        state.objects.insert(key, (revision, fields.to_owned()));
        state.history.push((revision, kind.into(), name.into(), fields.into(), false));
        self.state.1.notify_all();
        revision
    }

    fn serve(&self, mut connection: Connection) {
        loop {
            let end = Instant::now() + Duration::from_secs(60);
            let Ok(head) = connection.head(end) else { return };
            let (body, _) = connection.body(&head, end, None);
            let body = String::from_utf8_lossy(&body).into_owned();
            let (status, answer) = self.answer(head.word(0), head.word(1), &body);
            // The store takes 4 ms for an answer.
            std::thread::sleep(Duration::from_millis(4));
            let text = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                answer.len()
            );
            if !connection.send(&[text.as_bytes(), &answer].concat()) {
                return;
            }
        }
    }

    fn answer(&self, method: &str, target: &str, body: &str) -> (u16, Vec<u8>) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(known, _)| *known == name).map(|(_, value)| value.to_owned())
        };
        let mut parts = path.trim_start_matches("/objects/").split('/');
        let (kind, name) = (parts.next().unwrap_or(""), parts.next().unwrap_or(""));
        match method {
            "GET" => match parameter("watch") {
                Some(after) => {
                    let after = after.parse().unwrap_or(0);
                    let wait = parameter("waitMs").and_then(|text| text.parse().ok()).unwrap_or(0);
                    self.watch(kind, after, Duration::from_millis(wait))
                }
                None => self.list(kind, &parameter("after").unwrap_or_default()),
            },
            "POST" | "PUT" => {
                let Some(name) = string(body, "name").or(Some(name.to_owned())) else {
                    return (400, b"{}".into());
                };
                let known = (kind.to_owned(), name.clone());
                if method == "POST" && self.state.0.lock().unwrap().objects.contains_key(&known) {
                    return (409, b"{}".into());
                }
                let specification = nested(body, "specification").unwrap_or_else(|| "null".into());
                let fields = format!("\"specification\":{specification},\"status\":null");
                let revision = self.put(kind, &name, &fields);
                (200, object(&name, revision, fields.as_bytes()))
            }
            _ => (404, b"{}".into()),
        }
    }

    fn list(&self, kind: &str, after: &str) -> (u16, Vec<u8>) {
        const PAGE: usize = 50;
        let state = self.state.0.lock().unwrap();
        let all =
            state.objects.iter().filter(|((of, name), _)| of == kind && name.as_str() > after);
        let mut items: Vec<_> =
            all.take(PAGE + 1).map(|((_, name), (at, fields))| object(name, *at, fields)).collect();
        let more = items.len() > PAGE;
        items.truncate(PAGE);
        let items = items.join(&b","[..]);
        let end = format!("],\"more\":{more},\"asOf\":{}}}", state.revision);
        (200, [b"{\"items\":[", &items[..], end.as_bytes()].concat())
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> (u16, Vec<u8>) {
        let end = Instant::now() + wait;
        let mut state = self.state.0.lock().unwrap();
        loop {
            let events: Vec<_> = state
                .history
                .iter()
                .filter(|(at, of, ..)| *at > after && of == kind)
                .map(|(at, _, name, fields, deleted)| {
                    let begin = format!("{{\"deleted\":{deleted},\"object\":");
                    [begin.as_bytes(), &object(name, *at, fields), b"}"].concat()
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(&b","[..]);
                let end = format!("],\"asOf\":{}}}", state.revision);
                return (200, [b"{\"events\":[", &events[..], end.as_bytes()].concat());
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }
}
