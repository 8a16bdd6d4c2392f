//! A stand-in for the platform's store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::http::Connection;
use crate::http::Head;

#[derive(Debug, Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Value>,
    /// Changes: revision, kind, object, and whether it was deleted.
    events: Vec<(u64, String, Value, bool)>,
    /// How often waiting watches have been cut off.
    cuts: u64,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// The store; it answers until the process ends.
#[derive(Clone, Debug)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Store {
    pub fn start(address: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let state = Mutex::new(State { revision: 100, ..State::default() });
        let shared = Arc::new(Shared { state, changed: Condvar::new() });
        let store = Self { address, shared };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(Connection::new(stream)));
            }
        });
        Ok(store)
    }

    /// Writes an object, without its metadata.
    pub fn put(&self, kind: &str, name: &str, mut object: Value) -> u64 {
        let mut state = self.shared.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        object["metadata"] = json!({
            "name": name, "revision": revision, "createdAt": revision, "finalizers": [],
            "deleting": false,
        });
        state.objects.insert((kind.to_owned(), name.to_owned()), object.clone());
        state.events.push((revision, kind.to_owned(), object, false));
        self.shared.changed.notify_all();
        revision
    }

    pub fn delete(&self, kind: &str, name: &str) {
        let mut state = self.shared.state.lock().unwrap();
        let Some(object) = state.objects.remove(&(kind.to_owned(), name.to_owned())) else {
            return;
        };
        state.revision += 1;
        let revision = state.revision;
        state.events.push((revision, kind.to_owned(), object, true));
        self.shared.changed.notify_all();
    }

    /// Cuts off all watches that wait.
    pub fn cut_watches(&self) {
        self.shared.state.lock().unwrap().cuts += 1;
        self.shared.changed.notify_all();
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(head)) = connection.read_head() {
            let Ok(body) = connection.read_body(&head) else { return };
            let Some((status, answer)) = self.answer(&head, &body) else { return };
            let text = answer.to_string();
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                text.len()
            );
            if connection.write(format!("{head}{text}").as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Returns the status and the body of an answer, or `None` if the call is cut off.
    fn answer(&self, head: &Head, body: &[u8]) -> Option<(u16, Value)> {
        let (path, query) = head.target().split_once('?').unwrap_or((head.target(), ""));
        let query: BTreeMap<&str, &str> =
            query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let mut parts = path.trim_start_matches("/objects/").split('/');
        let kind = parts.next().unwrap_or_default().to_owned();
        let name = parts.next().map(str::to_owned);
        let answer = match (head.method(), name) {
            ("GET", None) => match query.get("watch").and_then(|text| text.parse().ok()) {
                Some(after) => {
                    let wait = query.get("waitMs").and_then(|text| text.parse().ok());
                    let wait = Duration::from_millis(wait.unwrap_or_default());
                    return self.watch(&kind, after, wait);
                }
                None => self.list(&kind),
            },
            ("POST", None) => {
                let Ok(object) = serde_json::from_slice::<Value>(body) else {
                    return Some((400, json!({})));
                };
                let name = object["metadata"]["name"].as_str().unwrap_or_default().to_owned();
                let known = (kind.clone(), name.clone());
                if let Some(known) = self.shared.state.lock().unwrap().objects.get(&known) {
                    return Some((409, known.clone()));
                }
                self.put(&kind, &name, object.clone());
                (200, object)
            }
            ("PUT", Some(name)) => {
                let Ok(object) = serde_json::from_slice::<Value>(body) else {
                    return Some((400, json!({})));
                };
                self.put(&kind, &name, object.clone());
                (200, object)
            }
            _ => (404, json!({})),
        };
        Some(answer)
    }

    fn list(&self, kind: &str) -> (u16, Value) {
        let state = self.shared.state.lock().unwrap();
        let items: Vec<_> = state
            .objects
            .iter()
            .filter(|((of, _), _)| of == kind)
            .map(|(_, object)| object.clone())
            .collect();
        (200, json!({ "items": items, "more": false, "asOf": state.revision }))
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> Option<(u16, Value)> {
        let end = Instant::now() + wait;
        let mut state = self.shared.state.lock().unwrap();
        let cuts = state.cuts;
        loop {
            let events: Vec<_> = state
                .events
                .iter()
                .filter(|(revision, of, ..)| *revision > after && of == kind)
                .map(|(_, _, object, deleted)| json!({ "object": object, "deleted": deleted }))
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= end {
                return Some((200, json!({ "events": events, "asOf": state.revision })));
            }
            if state.cuts > cuts {
                return None;
            }
            state = self.shared.changed.wait_timeout(state, end - now).unwrap().0;
        }
    }
}
