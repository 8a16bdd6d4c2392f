//! A stand-in for the platform's metadata store, which loses nothing and keeps all of its history.

use std::collections::BTreeMap;
use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Head;

/// Time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Longest wait of a watch.
const MAX_WAIT: Duration = Duration::from_secs(30);
/// Interval at which a listener looks whether it is to be closed.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(5);

#[derive(Clone, Debug)]
struct Object {
    revision: u64,
    specification: String,
}

#[derive(Debug)]
struct Change {
    revision: u64,
    kind: String,
    text: String,
    is_deleted: bool,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    /// By kind and name.
    objects: BTreeMap<(String, String), Object>,
    history: Vec<Change>,
}

#[derive(Clone, Debug)]
pub struct Store {
    state: Arc<Mutex<State>>,
    changed: Arc<Condvar>,
}

/// An address at which a store answers, until it is closed.
#[derive(Debug)]
pub struct Entrance {
    is_open: Arc<AtomicBool>,
}

impl Entrance {
    /// Refuses further connections; calls that wait are still answered.
    pub fn close(&self) {
        self.is_open.store(false, Ordering::Relaxed);
        thread::sleep(2 * ACCEPT_INTERVAL);
    }
}

fn render(name: &str, object: &Object) -> String {
    format!(
        r#"{{"metadata":{{"name":"{name}","revision":{},"createdAt":1,"finalizers":[],"deleting":false}},"specification":{},"status":null}}"#,
        object.revision, object.specification
    )
}

/// Returns the text of the string or object that follows a key.
fn value_of<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    let from = text.find(&format!("\"{key}\":"))? + key.len() + 3;
    let rest = &text[from..];
    if let Some(string) = rest.strip_prefix('"') {
        return string.split('"').next();
    }
    let mut depth = 0;
    for (at, byte) in rest.bytes().enumerate() {
        match byte {
            b'{' => depth += 1,
            b'}' => depth -= 1,
            _ => {}
        }
        if depth == 0 {
            return Some(&rest[..=at]);
        }
    }
    None
}

impl Store {
    pub fn new() -> Self {
        let state = State { revision: 500, ..State::default() };
        Self { state: Arc::new(Mutex::new(state)), changed: Arc::default() }
    }

    /// Answers calls at an address.
    pub fn serve(&self, address: SocketAddr) -> io::Result<Entrance> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let is_open = Arc::new(AtomicBool::new(true));
        let (store, open) = (self.clone(), is_open.clone());
        thread::spawn(move || {
            while open.load(Ordering::Relaxed) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(ACCEPT_INTERVAL);
                    continue;
                };
                let store = store.clone();
                thread::spawn(move || store.answer(stream));
            }
        });
        Ok(Entrance { is_open })
    }

    /// Writes an object, as the operator or a server does; its acknowledgement is the return.
    pub fn put(&self, kind: &str, name: &str, specification: &str) {
        let mut state = self.state.lock().unwrap();
        let known = state.objects.get(&(kind.to_owned(), name.to_owned()));
        if known.is_some_and(|known| known.specification == specification) {
            return;
        }
        state.revision += 1;
        let object = Object { revision: state.revision, specification: specification.to_owned() };
        state.change(kind, name, &object, false);
        state.objects.insert((kind.to_owned(), name.to_owned()), object);
        drop(state);
        self.changed.notify_all();
    }

    fn answer(&self, mut stream: TcpStream) {
        let answered = stream.set_nonblocking(false).and_then(|()| self.try_answer(&mut stream));
        // A caller that left needs no answer.
        let _ = answered;
    }

    fn try_answer(&self, stream: &mut TcpStream) -> io::Result<()> {
        let Some(head) = Head::read(stream)? else { return Ok(()) };
        let body = String::from_utf8_lossy(&head.read_body(stream)?).into_owned();
        thread::sleep(ANSWER_TIME);
        let (status, text) = self.call(head.word(0), head.word(1), &body);
        write!(
            stream,
            "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\
             Connection: close\r\n\r\n{text}",
            text.len()
        )
    }

    fn call(&self, method: &str, target: &str, body: &str) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<_, _> =
            query.split('&').filter_map(|one| one.split_once('=')).collect();
        let mut words = path.trim_start_matches("/objects/").split('/');
        let kind = words.next().unwrap_or_default();
        let name = words.next();
        match (method, name) {
            ("GET", None) => match query.get("watch").and_then(|after| after.parse().ok()) {
                Some(after) => {
                    let wait = query.get("waitMs").and_then(|wait| wait.parse().ok());
                    let wait = Duration::from_millis(wait.unwrap_or_default()).min(MAX_WAIT);
                    (200, self.watch(kind, after, wait))
                }
                None => (200, self.list(kind, query.get("after").copied().unwrap_or_default())),
            },
            ("GET", Some(name)) => {
                let state = self.state.lock().unwrap();
                let object = state.objects.get(&(kind.to_owned(), name.to_owned()));
                object.map_or((404, "{}".to_owned()), |object| (200, render(name, object)))
            }
            ("POST", None) => match (value_of(body, "name"), value_of(body, "specification")) {
                (Some(name), Some(specification)) => {
                    let key = (kind.to_owned(), name.to_owned());
                    if self.state.lock().unwrap().objects.contains_key(&key) {
                        return (409, "{}".to_owned());
                    }
                    self.put(kind, name, specification);
                    (200, "{}".to_owned())
                }
                _ => (400, "{}".to_owned()),
            },
            ("PUT", Some(name)) => match value_of(body, "specification") {
                Some(specification) => {
                    self.put(kind, name, specification);
                    (200, "{}".to_owned())
                }
                None => (400, "{}".to_owned()),
            },
            _ => (404, "{}".to_owned()),
        }
    }

    fn list(&self, kind: &str, after: &str) -> String {
        let state = self.state.lock().unwrap();
        let objects =
            state.objects.iter().filter(|((of, name), _)| of == kind && name.as_str() > after);
        let items: Vec<_> = objects.map(|((_, name), object)| render(name, object)).collect();
        format!(r#"{{"items":[{}],"more":false,"asOf":{}}}"#, items.join(","), state.revision)
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> String {
        let end = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let news = state.history.iter().filter(|one| one.kind == kind && one.revision > after);
            let events = news
                .map(|one| format!(r#"{{"object":{},"deleted":{}}}"#, one.text, one.is_deleted));
            let events: Vec<_> = events.collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return format!(r#"{{"events":[{}],"asOf":{}}}"#, events.join(","), state.revision);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

impl State {
    fn change(&mut self, kind: &str, name: &str, object: &Object, is_deleted: bool) {
        let (revision, text) = (self.revision, render(name, object));
        self.history.push(Change { revision, kind: kind.to_owned(), text, is_deleted });
    }
}
